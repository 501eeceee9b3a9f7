package answer

import "github.com/wigeonflow/wigeonflow/internal/fleet"

var errs = fleet.Errors.NewSubNamespace("answer")

var (
	// ErrEventTooLarge means that an event exceeds Parser.MaxEvent.
	ErrEventTooLarge = errs.NewType("event_too_large")
	// ErrBadEvent means that an event's data is not a chat.completion.chunk.
	ErrBadEvent = errs.NewType("bad_event")
	// ErrTooLarge means that an answer exceeds Completion.MaxBytes.
	ErrTooLarge = errs.NewType("answer_too_large")
	// ErrIncomplete means that an answer ended before it was complete.
	ErrIncomplete = errs.NewType("incomplete")
)
