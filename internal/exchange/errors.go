package exchange

import (
	"fmt"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// Phase is the phase in which an exchange failed.
type Phase uint8

// The phases of a failed exchange.
const (
	// PhaseConnect means that the exchange failed before any byte of the request was
	// written.
	PhaseConnect Phase = iota
	// PhaseAnswer means that the exchange failed after bytes of the request may have
	// arrived.
	PhaseAnswer
)

// Error describes a failed exchange.
type Error struct {
	Phase Phase
	Addr  string
	// Reused is set if the connection was used by an earlier exchange.
	Reused bool
	Cause  error
}

func (e *Error) Error() string {
	step := "connect"
	if e.Phase == PhaseAnswer {
		step = "await answer"
	}
	return fmt.Sprintf("exchange with %s: %s: %v", e.Addr, step, e.Cause)
}

func (e *Error) Unwrap() error { return e.Cause }

var (
	// ErrUnmatched means that answers of other exchanges were received, and none of this
	// one.
	ErrUnmatched = fleet.Errors.NewType("exchange_unmatched")
	// ErrHeadTooLong means that the head of the answer, with informational answers before it,
	// did not end within maxHeadBytes, or has more than maxHeadFields.
	ErrHeadTooLong = fleet.Errors.NewType("exchange_head_too_long")
	// ErrClosed means that the pool was closed.
	ErrClosed = fleet.Errors.NewType("exchange_closed")
)
