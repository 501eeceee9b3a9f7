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
	// Cancel ends the generation of attempt. Cancelling one that is not running
	// is no error.
	Cancel(ctx context.Context, attempt answer.AttemptID) error
	// Load returns the engine's latest, lagging, load report.
	Load(ctx context.Context) (LoadReport, error)
	// CacheEvents returns the cache events with a sequence number above after
	// that the engine still holds.
	CacheEvents(ctx context.Context, after uint64) (CacheEvents, error)
	// Order carries out one order. The error is a *StaleFenceError if the engine
	// has seen a higher fencing number. After any other error the order may have
	// been carried out: State tells.
	Order(ctx context.Context, order Order) error
	// State reads back what orders have made of the engine.
	State(ctx context.Context) (OrderState, error)
	// ExportKV returns the KV cache under key. The caller closes it.
	ExportKV(ctx context.Context, key string) (io.ReadCloser, error)
	// ImportKV stores a KV cache under key.
	ImportKV(ctx context.Context, key string, body io.Reader) error
}

// ChatStream is a streamed answer. It serves one goroutine, but for Close and
// Detach, which may be called from any.
type ChatStream interface {
	// Next returns the next event; after one with Done set it returns io.EOF. The
	// event's Data is valid until the next call. Errors are *AttemptError.
	Next(ctx context.Context) (answer.Event, error)
	// Buffered returns the next event, as Next does, if it was read already, and
	// false otherwise. It never waits; an error is left to Next.
	Buffered() (answer.Event, bool)
	// BootID returns the engine's boot ID as of this answer.
	BootID() fleet.BootID
	// Facts returns what is certain about the attempt so far.
	Facts() answer.Facts
	// Close releases the stream. If it neither ended nor failed, the generation
	// is cancelled at the engine, which takes up to CancelTimeout.
	Close() error
	// Detach releases the stream and lets the engine go on, so that the attempt
	// can be resumed.
	Detach() error
}

// CancelTimeout bounds the cancelling of a generation when a stream is closed.
const CancelTimeout = 2 * time.Second

// ChatRequest is one attempt at a chat completion.
type ChatRequest struct {
	Attempt answer.AttemptID
	// Body is the caller's request with stream and include_usage set.
	Body []byte
	// Resume continues the generation of Attempt after token event Offset.
	Resume   bool
	Offset   uint64
	Priority fleet.Priority
	// MaxStall is the longest pause between bytes, the one before the answer's
	// headers included; 0 means none is too long.
	MaxStall time.Duration
	// BeforeWrite, if set, is asked before a connection is opened, and again when
	// the transport takes the body. An error from it ends the attempt: at the
	// first time no byte left, at the second the request's head may have left,
	// but none of its body.
	BeforeWrite func() error
}

// LoadReport is an engine's view of its load.
type LoadReport struct {
	Boot            fleet.BootID      `json:"boot_id"`
	Running         int               `json:"running"`
	Waiting         int               `json:"waiting"`
	KVUsed          int64             `json:"kv_used"`
	KVCapacity      int64             `json:"kv_capacity"`
	TokensPerSecond float64           `json:"tokens_per_second"`
	Models          []fleet.ModelName `json:"models"`
	// AsOfMillis is when the engine took the report, in Unix milliseconds of its
	// own clock.
	AsOfMillis int64 `json:"as_of_ms"`
}

// Kinds of cache events.
const (
	CacheStored  = "stored"
	CacheEvicted = "evicted"
)

// CacheEvent tells that a prefix was stored or evicted.
type CacheEvent struct {
	Seq  uint64 `json:"seq"`
	Kind string `json:"kind"`
	// Key is the prompt_cache_key of the request that made the prefix.
	Key    string `json:"key"`
	Tokens int    `json:"tokens"`
}

// CacheEvents is a run of cache events. A First above the number asked for plus
// one shows a gap.
type CacheEvents struct {
	Boot   fleet.BootID `json:"boot_id"`
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

// Order tells an engine to load or unload a model, or to change its role.
type Order struct {
	Kind    string              `json:"kind"`
	Model   fleet.ModelName     `json:"model,omitempty"`
	Adapter string              `json:"adapter,omitempty"`
	Version string              `json:"version,omitempty"`
	Role    string              `json:"role,omitempty"`
	Fence   fleet.FencingNumber `json:"fence"`
}

// OrderState is what orders have made of an engine.
type OrderState struct {
	Fence  fleet.FencingNumber `json:"fence"`
	Models []fleet.ModelName   `json:"models"`
	Role   string              `json:"role"`
}
