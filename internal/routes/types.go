package routes

import (
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// Kind determines how many times a request of a route may run.
type Kind uint8

// Kinds of routes.
const (
	// KindOnce requests run at most once.
	KindOnce Kind = iota
	// KindIdempotent requests may run more than once.
	KindIdempotent
	// KindStream requests are answered by a stream of events. They run at most
	// once, unless the route is Resumable.
	KindStream
)

// Table is one version of the routing table. It is immutable once published.
type Table struct {
	// Version numbers the tables; the table with the highest one is in force.
	Version uint64
	Routes  []Route
	Pools   []Pool
	// Workspaces hold the keys with which routes that aren't public may be called; nil means that
	// they need none.
	Workspaces []Workspace
	Limits     CallerLimits
}

// Route determines how requests of one host and path prefix are handled.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the maximum time that a caller waits.
	Timeout time.Duration
	// Target is the operators' latency objective: the time to the complete answer,
	// or to a stream's first event.
	Target time.Duration
	// GapTarget is the operators' objective for the longest pause between a stream's
	// events.
	GapTarget time.Duration
	// Priority ranks the route; 0 is the most urgent.
	Priority int
	Split    []Share
	// MaxAttempts is the maximum number of upstreams that one request is sent to.
	MaxAttempts int
	// Public routes require no API key.
	Public bool
	// Affinity is set for routes whose requests carry prompts: upstreams cache parts
	// of prompts, so that requests should go to an upstream that has them cached.
	Affinity bool
	// Resumable is set if a stream may be resumed at another upstream.
	Resumable bool
}

// Repeatable reports whether a request of the route may be retried after an attempt
// that may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Share is a pool's weight in the split of a route's requests.
type Share struct {
	Pool   fleet.PoolID
	Weight int
}

// Pool is a group of upstreams that serve the same requests.
type Pool struct {
	Name       fleet.PoolID
	HealthPath string
	// MaxConnections is the number of connections that one upstream accepts from all
	// routers together.
	MaxConnections int
	// ColdStart is how long an upstream stays cold after its start, and ColdRate
	// the requests per second that it sustains until then; 0 means that the pool's
	// upstreams have no cold start.
	ColdStart time.Duration
	ColdRate  float64
	// Engine is set for pools of model engines.
	Engine *Engine
}

// Engine holds the properties that all model engines of a pool share.
type Engine struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// CacheTokens is the memory, in tokens, that in-flight requests and cached parts
	// of prompts share.
	CacheTokens int
	// Transfers is set if engines can transfer cached parts of prompts to each other.
	Transfers bool
}

// Workspace holds a workspace's API keys.
type Workspace struct {
	ID   fleet.WorkspaceID
	Keys []string
	// Priority overrides the route's priority if set.
	Priority *int
}

// CallerLimits bounds the size of callers' requests, the time to receive their
// headers, and the time that a connection may stay idle.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}
