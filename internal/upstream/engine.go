package upstream

import (
	"context"
	"io"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/answer"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// Engine is one model engine. Its methods may be called concurrently.
type Engine interface {
	// Chat starts a chat completion, or resumes one. Errors are *AttemptError.
	Chat(ctx context.Context, req ChatRequest) (ChatStream, error)
	// Cancel ends the generation of an attempt. Canceling one that is not running is not
	// an error.
	Cancel(ctx context.Context, attempt answer.AttemptID) error
	// Load returns the engine's latest load report, which may lag.
	Load(ctx context.Context) (LoadReport, error)
	// CacheEvents returns the cache events with a sequence number above after
	// that the engine still holds.
	CacheEvents(ctx context.Context, after uint64) (CacheEvents, error)
	// Order carries out one order. The error is a *StaleFenceError if the engine has
	// received a higher fencing number. After any other error the order may have been
	// carried out, which State shows.
	Order(ctx context.Context, order Order) error
	// State returns the engine's state as changed by orders.
	State(ctx context.Context) (OrderState, error)
	// ExportKV returns the KV cache under key. The caller closes it.
	ExportKV(ctx context.Context, key string) (io.ReadCloser, error)
	// ImportKV stores a KV cache under key.
	ImportKV(ctx context.Context, key string, body io.Reader) error
}

// ChatStream is a streamed answer. Its methods must be called from one goroutine, except
// for Close and Detach, which may be called concurrently.
type ChatStream interface {
	// Next returns the next event; after one with Done set it returns io.EOF. The
	// event's Data is valid until the next call. Errors are *AttemptError.
	Next(ctx context.Context) (answer.Event, error)
	// Buffered returns the next event if it has already been read, and false
	// otherwise. It never waits and reports no errors; the following call of Next
	// does.
	Buffered() (answer.Event, bool)
	// BootID returns the boot ID that the engine sent with this answer.
	BootID() fleet.BootID
	// Facts returns what is certain about the attempt so far.
	Facts() answer.Facts
	// Close releases the stream. If it neither ended nor failed, the generation is
	// canceled at the engine, which takes up to CancelTimeout.
	Close() error
	// Detach releases the stream without canceling the generation, so that the attempt
	// can be resumed.
	Detach() error
}

// CancelTimeout bounds the cancellation of a generation when a stream is closed.
const CancelTimeout = 2 * time.Second

// ChatRequest is one attempt at a chat completion.
type ChatRequest struct {
	Attempt answer.AttemptID
	// Body is the caller's request with stream and include_usage set.
	Body []byte
	// Resume continues the generation of Attempt after the token event numbered Offset.
	Resume   bool
	Offset   uint64
	Priority fleet.Priority
	// MaxStall is the longest time without an event, including the time before the answer's
	// header; 0 means no timeout.
	MaxStall time.Duration
	// BeforeWrite, if set, is called before a connection is opened, and again when the
	// transport reads the body. An error from it ends the attempt. On the first call no
	// byte was sent; on the second the request's header may have been sent, but nothing
	// of its body.
	BeforeWrite func() error
}

// LoadReport is an engine's report of its load.
type LoadReport struct {
	Boot            fleet.BootID      `json:"boot_id"`
	Running         int               `json:"running"`
	Waiting         int               `json:"waiting"`
	KVUsed          int64             `json:"kv_used"`
	KVCapacity      int64             `json:"kv_capacity"`
	TokensPerSecond float64           `json:"tokens_per_second"`
	Models          []fleet.ModelName `json:"models"`
	// AsOfMillis is the time of the report in Unix milliseconds of the engine's clock.
	AsOfMillis int64 `json:"as_of_ms"`
}

// Kinds of cache events.
const (
	CacheStored  = "stored"
	CacheEvicted = "evicted"
)

// CacheEvent reports that a prefix was stored or evicted.
type CacheEvent struct {
	Seq  uint64 `json:"seq"`
	Kind string `json:"kind"`
	// Key is the prompt_cache_key of the request that created the prefix.
	Key    string `json:"key"`
	Tokens int    `json:"tokens"`
}

// CacheEvents is a sequence of cache events. If First exceeds the requested number by
// more than one, events are missing.
type CacheEvents struct {
	Boot fleet.BootID `json:"boot_id"`
	// First is the lowest sequence number that the engine still holds, and Next that of its
	// next event.
	First  uint64       `json:"first"`
	Next   uint64       `json:"next"`
	Events []CacheEvent `json:"events"`
}

// Kinds of orders.
const (
	OrderLoad   = "load"
	OrderUnload = "unload"
	OrderRole   = "role"
)

// Order instructs an engine to load or unload a model, or to change its role.
type Order struct {
	Kind    string              `json:"kind"`
	Model   fleet.ModelName     `json:"model,omitempty"`
	Adapter string              `json:"adapter,omitempty"`
	Version string              `json:"version,omitempty"`
	Role    string              `json:"role,omitempty"`
	Fence   fleet.FencingNumber `json:"fence"`
}

// OrderState is the state of an engine that orders change.
type OrderState struct {
	Fence  fleet.FencingNumber `json:"fence"`
	Models []fleet.ModelName   `json:"models"`
	Role   string              `json:"role"`
}
