package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/balance"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// Call holds the header fields by which a caller describes its request.
type Call struct {
	// ID identifies the request; upstreams repeat it in their answers.
	ID fleet.RequestID
	// Key is the caller's API key.
	Key string
	// Timeout is the caller's timeout; 0 means that it sets none.
	Timeout time.Duration
	// Parts and PromptTokens describe a prompt.
	Parts        []balance.PromptPart
	PromptTokens int
	// OutputTokens is the maximum number of tokens of the answer; 0 if unknown.
	OutputTokens int
	// After is the ID of the last stream event that the caller has received.
	After string
}

// AttemptHeader holds what the router adds to the header of a request for one attempt at
// an upstream.
type AttemptHeader struct {
	Upstream fleet.Upstream
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// Workspace is empty if the route requires no key.
	Workspace fleet.WorkspaceID
	// Priority ranks the request; 0 is the most urgent.
	Priority int
	// Source is the address of an upstream that may have parts of the prompt cached;
	// empty for none.
	Source string
	// After is the ID of the event after which a stream resumes; empty to send it from
	// the start.
	After string
	// Weights is the number of the weights with which a resumed stream has begun; empty if unknown.
	Weights string
}

// Head holds what the router reads from the header of an upstream's answer.
type Head struct {
	// NotRun is set if the upstream reports that it did not run the request.
	NotRun bool
	// Misdirected is set if the address now belongs to another upstream than the one
	// that the request was sent to.
	Misdirected bool
	// Started is set if the upstream has begun to run the request.
	Started bool
	// Stream is set if the body is a stream of events.
	Stream bool
	// Leaving is set if the upstream that answers reports that it leaves.
	Leaving bool
	// Rest is the time for which the upstream, which has turned the request away, wants no
	// further one from this router; 0 for none.
	Rest time.Duration
	// Malformed names the fields of what the upstream says of itself that have no defined
	// meaning, with their values; empty for none.
	Malformed string
	// Weights is the number of the weights that the upstream serves with; empty if it doesn't tell.
	Weights string
	// Load is nil if the upstream reports none.
	Load *balance.Load
}

// notice returns what the upstream says of itself.
func (h Head) notice() balance.Notice {
	return balance.Notice{Leaving: h.Leaving, Rest: h.Rest, Misdirected: h.Misdirected, Malformed: h.Malformed}
}

// turnsAway reports whether a failure with the given status is the upstream's drain or full
// queue, which doesn't count against its health.
func (h Head) turnsAway(status int) bool {
	return status == http.StatusServiceUnavailable && (h.Leaving || h.Rest > 0)
}

// Protocol translates the header fields of callers and upstreams.
type Protocol interface {
	// Call parses a caller's header. The text of its error is sent to the caller.
	Call(h http.Header) (Call, error)
	// UpstreamHeader returns the header of a request to an upstream.
	UpstreamHeader(caller http.Header, a AttemptHeader) http.Header
	// Matches reports whether an answer's header belongs to the request.
	Matches(id fleet.RequestID, h http.Header) bool
	// Head parses the header of an upstream's answer.
	Head(status int, h http.Header) Head
	// CallerHeader returns the header of the answer to the caller, given the upstream's.
	CallerHeader(h http.Header) http.Header
	// RetryAfter sets the time that a caller should wait before it retries.
	RetryAfter(h http.Header, wait time.Duration)
}

// Lister reads the upstream list from the platform.
type Lister interface {
	List(ctx context.Context) ([]balance.ListedUpstream, error)
}
