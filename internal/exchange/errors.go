package exchange

import (
	"errors"
	"fmt"

	"github.com/joomcode/errorx"

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
	// ErrInvalidStatus means that the status of the answer is outside 100 to 599, or 101, which no
	// request asks for. Such an answer is none.
	ErrInvalidStatus = fleet.Errors.NewType("exchange_invalid_status")
	// ErrReset means that the peer ended a new connection before any byte of a request was written,
	// as an upstream does that has as many connections as it accepts.
	ErrReset = fleet.Errors.NewType("exchange_reset")
	// ErrBackoff means that no connection was opened since the peer has reset new ones lately.
	ErrBackoff = fleet.Errors.NewType("exchange_backoff")
	// ErrConnLimit means that no connection was opened since the pool has as many to the address as
	// the request's ConnLimit allows.
	ErrConnLimit = fleet.Errors.NewType("exchange_connection_limit")
	// ErrClosed means that the pool was closed.
	ErrClosed = fleet.Errors.NewType("exchange_closed")
)

// ConnectionsSpent reports whether an exchange failed because the upstream accepts no further
// connection, or this router may open none there. Nothing was sent, and the upstream may be healthy.
func ConnectionsSpent(err error) bool {
	var failure *Error
	if !errors.As(err, &failure) || failure.Phase != PhaseConnect {
		return false
	}
	return errorx.IsOfType(failure.Cause, ErrReset) || errorx.IsOfType(failure.Cause, ErrBackoff) || errorx.IsOfType(failure.Cause, ErrConnLimit)
}
