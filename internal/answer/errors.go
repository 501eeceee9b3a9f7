package answer

import "github.com/wigeonflow/wigeonflow/internal/fleet"

var errs = fleet.Errors.NewSubNamespace("answer")

var (
	// ErrEventTooLarge means an event exceeds the parser's bound.
	ErrEventTooLarge = errs.NewType("event_too_large")
	// ErrBadEvent means an event's data is not a chat.completion.chunk.
	ErrBadEvent = errs.NewType("bad_event")
	// ErrTooLarge means a whole answer exceeds its bound.
	ErrTooLarge = errs.NewType("answer_too_large")
	// ErrIncomplete means an answer has no end.
	ErrIncomplete = errs.NewType("incomplete")
)
