package upstream

import (
	"errors"
	"fmt"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/answer"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

var errs = fleet.Errors.NewSubNamespace("upstream")

var (
	// ErrUnexpectedStatus means that an upstream answered with a status that its
	// protocol does not define.
	ErrUnexpectedStatus = errs.NewType("unexpected_status")
	// ErrBadAnswer means that an upstream's answer is malformed.
	ErrBadAnswer = errs.NewType("bad_answer")
	// ErrTooLarge means that an upstream's answer exceeds its size limit.
	ErrTooLarge = errs.NewType("answer_too_large")
	// ErrMisdelivered means that an answer does not name the attempt.
	ErrMisdelivered = errs.NewType("crossed_answer")
	// ErrIncomplete means that an answer is incomplete, or that its end can't be detected.
	ErrIncomplete = errs.NewType("cut_answer")
	// ErrStalled means that an answer exceeded its idle timeout.
	ErrStalled = errs.NewType("stalled_answer")
	// ErrAlreadyWritten means that a write of a request that is not repeatable was
	// prevented, because it was sent before or its attempt has ended.
	ErrAlreadyWritten = errs.NewType("already_written")
)

// AttemptError describes a failed attempt at an upstream.
type AttemptError struct {
	// End determines the retry decision.
	End answer.End
	// Facts are the facts that are certain about the attempt.
	Facts answer.Facts
	// Status and Body are the status and the body of the upstream's error answer, if that
	// was complete.
	Status int
	Body   []byte
	// RetryAfter is the retry delay that the upstream asks for; 0 if it asks for none.
	RetryAfter time.Duration
	// Cause is never nil.
	Cause error
}

// Error describes the cause.
func (e *AttemptError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Cause }

// EndOf returns the end and the facts of the attempt that failed with err. An error that
// is not an AttemptError counts as an incomplete answer to a request that may have been
// sent.
func EndOf(err error) (answer.End, answer.Facts) {
	var attempt *AttemptError
	if errors.As(err, &attempt) {
		return attempt.End, attempt.Facts
	}
	return answer.EndCut, answer.Facts{MayHaveBeenSent: true}
}

// StaleFenceError means that an engine rejected an order because it has received a
// higher fencing number.
type StaleFenceError struct {
	Sent    fleet.FencingNumber
	Highest fleet.FencingNumber
}

// Error names both numbers.
func (e *StaleFenceError) Error() string {
	return fmt.Sprintf("order with fencing number %d refused: engine has seen %d", e.Sent, e.Highest)
}
