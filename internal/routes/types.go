package routes

import (
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// Kind says how often a request of a route may run.
type Kind uint8

// The kinds of routes.
const (
	// KindOnce requests run at most once.
	KindOnce Kind = iota
	// KindIdempotent requests may run more than once.
	KindIdempotent
	// KindStream requests are answered by a stream of events. They run at most
	// once unless the route lets a stream be resumed.
	KindStream
)

// Table is one version of the routing table. It is never changed once it is
// published.
type Table struct {
	// Version orders tables; the highest one is in force.
	Version    uint64
	Routes     []Route
	Pools      []Pool
	Workspaces []Workspace
	Limits     CallerLimits
}

// Route tells what becomes of the requests of one host and path prefix.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Target is the time to the whole answer, or to a stream's first event, that
	// the operators aim at.
	Target time.Duration
	// GapTarget is the longest pause between a stream's events that the operators
	// aim at.
	GapTarget time.Duration
	// Priority ranks the route; 0 is the most urgent.
	Priority int
	Split    []Share
	// MaxAttempts is the most upstreams that one request may be sent to.
	MaxAttempts int
	// Public routes ask for no key.
	Public bool
	// Affinity routes carry prompts, which upstreams cache by their parts.
	Affinity bool
	// Resumable streams may go on at another upstream.
	Resumable bool
}

// Repeatable tells whether a request of the route may run again after one that
// may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Share is the part of a route's requests that one pool gets.
type Share struct {
	Pool   fleet.PoolID
	Weight int
}

// Pool is a group of upstreams that serve the same requests.
type Pool struct {
	Name       fleet.PoolID
	HealthPath string
	// MaxConnections is what one upstream accepts from all routers together.
	MaxConnections int
	// ColdStart is how long an upstream stays cold after its start, and ColdRate
	// how many requests a second it bears meanwhile; 0 means that the pool's
	// upstreams have no cold start.
	ColdStart time.Duration
	ColdRate  float64
	// Engine is set for pools of model engines.
	Engine *Engine
}

// Engine is what a pool's model engines have in common.
type Engine struct {
	// Slots is how many requests an engine runs at once.
	Slots int
	// CacheTokens is the memory that running requests and cached parts share.
	CacheTokens int
	// Transfers tells whether engines hand cached parts over to each other.
	Transfers bool
}

// Workspace is a customer with its keys.
type Workspace struct {
	ID   fleet.WorkspaceID
	Keys []string
	// Priority takes precedence over the route's where set.
	Priority *int
}

// CallerLimits bound what a caller may send and how long it may stay idle.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}
