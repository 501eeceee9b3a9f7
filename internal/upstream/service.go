package upstream

import (
	"context"
	"net/http"

	"github.com/wigeonflow/wigeonflow/internal/answer"
)

// Service is one upstream of a plain service. Its methods may be called
// concurrently.
type Service interface {
	// Do makes one attempt at a call. The facts are valid whether or not there is an
	// error; errors are *AttemptError. A complete answer by which the service declines
	// the call is returned as an answer, with Facts.Declined.
	Do(ctx context.Context, req CallRequest) (CallAnswer, answer.Facts, error)
	// Lookup returns the state of the call under the idempotency key, which the service
	// serves at path.
	Lookup(ctx context.Context, path, key string) (LookupAnswer, error)
}

// CallRequest is one attempt at a call of a service.
type CallRequest struct {
	Attempt answer.AttemptID
	Method  string
	// Target is the part of the path that follows the service's name, with the query.
	Target string
	Header http.Header
	Body   []byte
	// IdempotencyKey is forwarded to the service; "" for none.
	IdempotencyKey string
	// Repeatable lets the call use pooled connections, on which the transport may
	// resend it. Without it the call is written at most once.
	Repeatable bool
	// BeforeWrite, if set, is called directly before the first byte is passed to the
	// network. An error from it ends the attempt as not run.
	BeforeWrite func() error
	// MaxAnswer bounds the answer's body in bytes; 0 means DefaultMaxAnswer.
	MaxAnswer int64
}

// DefaultMaxAnswer is the default bound of the body of a service's answer in bytes.
const DefaultMaxAnswer = 8 << 20

// CallAnswer is a service's complete answer.
type CallAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}

// States of a call in a LookupAnswer: it ran, it is running, or the service has not run it.
const (
	LookupRan     = "ran"
	LookupRunning = "running"
	LookupNever   = "never"
)

// LookupAnswer is the state of a call at a service. Status and Body hold the call's answer
// if State is LookupRan.
type LookupAnswer struct {
	State  string `json:"state"`
	Status int    `json:"status"`
	Body   string `json:"body"`
}
