package standin

import (
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// EngineConfig configures an Engine. The zero value of each field means the
// default that its comment names.
type EngineConfig struct {
	// Models are the models loaded at the start; none means every model is served.
	Models []string
	// Role is the role at the start; default "mixed".
	Role string
	// StepTime is how long a decode step takes; default 8 ms.
	StepTime time.Duration
	// StepTimePerRequest lengthens a step for each running request; default 20 µs.
	StepTimePerRequest time.Duration
	// PrefillTime is the cost of one prompt token that is not cached; default 20 µs.
	PrefillTime time.Duration
	// PrefillChunk is the most prompt tokens that one step covers; default 512.
	PrefillChunk int
	// MaxRunning is the most requests in one batch; default 64.
	MaxRunning int
	// MaxWaiting is the most requests that wait for a batch; default 256.
	MaxWaiting int
	// KVCapacity is the memory for running requests, in tokens; default 1,000,000.
	KVCapacity int
	// CacheTokens is the memory for cached prefixes, in tokens; default 200,000.
	CacheTokens int
	// DefaultTokens is the length of an answer without max_tokens; default 64.
	DefaultTokens int
	// MaxTokens bounds the length of an answer; default 65,536.
	MaxTokens int
	// ColdTime is how long the engine is cold after its start and after each load
	// order; default 0, warm at once.
	ColdTime time.Duration
	// ColdConcurrency is the most requests that a cold engine serves at full
	// speed; default 2.
	ColdConcurrency int
	// ColdSlowdown multiplies the step time of a cold engine that runs more than
	// ColdConcurrency requests; default 8.
	ColdSlowdown int
	// LoadLag is the maximum age of a load report; default 500 ms.
	LoadLag time.Duration
	// EventDelay is the delay before a cache event is published; default 500 ms.
	EventDelay time.Duration
	// EventGapEvery drops every n-th cache event; default 0, none.
	EventGapEvery int
	// EventCapacity bounds the number of cache events kept; when it is exceeded, the
	// oldest are dropped until half of it is left. Default 4,096.
	EventCapacity int
	// ResumeTime is how long a generation without a reader stays resumable;
	// default 10 s.
	ResumeTime time.Duration
	// IgnoreFence accepts orders with an old fencing number.
	IgnoreFence bool
	// OrderTime is how long an order takes to execute; default 0.
	OrderTime time.Duration
	// KVBytesPerToken is the size of an exported token; default 64 bytes.
	KVBytesPerToken int
	// MaxBodyBytes bounds a request's body; default 16 MiB.
	MaxBodyBytes int64
	// BootID identifies this start of the process; default a random one.
	BootID string
}

// coldRejectFactor is the multiple of ColdConcurrency at which a cold engine rejects
// new requests: it does so while it has that many requests in flight.
const coldRejectFactor = 4

func (c EngineConfig) withDefaults() EngineConfig {
	fleet.SetDefault(&c.Role, "mixed")
	fleet.SetDefault(&c.StepTime, 8*time.Millisecond)
	fleet.SetDefault(&c.StepTimePerRequest, 20*time.Microsecond)
	fleet.SetDefault(&c.PrefillTime, 20*time.Microsecond)
	fleet.SetDefault(&c.PrefillChunk, 512)
	fleet.SetDefault(&c.MaxRunning, 64)
	fleet.SetDefault(&c.MaxWaiting, 256)
	fleet.SetDefault(&c.KVCapacity, 1_000_000)
	fleet.SetDefault(&c.CacheTokens, 200_000)
	fleet.SetDefault(&c.DefaultTokens, 64)
	fleet.SetDefault(&c.MaxTokens, 1<<16)
	fleet.SetDefault(&c.ColdConcurrency, 2)
	fleet.SetDefault(&c.ColdSlowdown, 8)
	fleet.SetDefault(&c.LoadLag, 500*time.Millisecond)
	fleet.SetDefault(&c.EventDelay, 500*time.Millisecond)
	fleet.SetDefault(&c.EventCapacity, 4096)
	fleet.SetDefault(&c.ResumeTime, 10*time.Second)
	fleet.SetDefault(&c.KVBytesPerToken, 64)
	fleet.SetDefault(&c.MaxBodyBytes, 16<<20)
	return c
}

// ServiceConfig configures a Service. The zero value of each field means the
// default that its comment names.
type ServiceConfig struct {
	// WorkTime is how long a booking or lookup takes; default 2 ms.
	WorkTime time.Duration
	// MaxInFlight is the most requests in flight; more are answered 503. Default
	// 1,024.
	MaxInFlight int
	// MaxBodyBytes bounds a request's body; default 1 MiB.
	MaxBodyBytes int64
	// BootID identifies this start of the process; default a random one.
	BootID string
}

func (c ServiceConfig) withDefaults() ServiceConfig {
	fleet.SetDefault(&c.WorkTime, 2*time.Millisecond)
	fleet.SetDefault(&c.MaxInFlight, 1024)
	fleet.SetDefault(&c.MaxBodyBytes, 1<<20)
	return c
}
