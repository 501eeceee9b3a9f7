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
	// ErrUnexpectedStatus means an upstream answered with a status that its
	// protocol does not provide for.
	ErrUnexpectedStatus = errs.NewType("unexpected_status")
	// ErrBadAnswer means an upstream's answer can't be read.
	ErrBadAnswer = errs.NewType("bad_answer")
	// ErrTooLarge means an upstream's answer exceeds its bound.
	ErrTooLarge = errs.NewType("answer_too_large")
	// ErrCrossed means an answer names another attempt.
	ErrCrossed = errs.NewType("crossed_answer")
	// ErrCut means an answer broke off before its end.
	ErrCut = errs.NewType("cut_answer")
	// ErrStalled means an answer paused for longer than its limit.
	ErrStalled = errs.NewType("stalled_answer")
	// ErrWritten means a second write of a request that may not be repeated was
	// stopped.
	ErrWritten = errs.NewType("already_written")
)

// AttemptError tells how an attempt at an upstream failed.
type AttemptError struct {
	// End is what the retry decision goes by.
	End answer.End
	// Facts are what is certain about the attempt.
	Facts answer.Facts
	// Status and Body are the upstream's answer, if it gave a whole one.
	Status int
	Body   []byte
	// RetryAfter is how long the upstream asks to be left alone; 0 if it did not.
	RetryAfter time.Duration
	// Cause is never nil.
	Cause error
}

// Error describes the cause.
func (e *AttemptError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Cause }

// EndOf returns how the attempt that failed with err ended. An error of unknown
// origin counts as a cut after bytes may have left.
func EndOf(err error) (answer.End, answer.Facts) {
	var attempt *AttemptError
	if errors.As(err, &attempt) {
		return attempt.End, attempt.Facts
	}
	return answer.EndCut, answer.Facts{MayHaveLeft: true}
}

// StaleFenceError means an engine refused an order since it has seen a higher
// fencing number.
type StaleFenceError struct {
	Sent    fleet.FencingNumber
	Highest fleet.FencingNumber
}

// Error names both numbers.
func (e *StaleFenceError) Error() string {
	return fmt.Sprintf("order with fencing number %d refused: engine has seen %d", e.Sent, e.Highest)
}
