package admission

import (
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// Request asks for one slot on one upstream.
type Request struct {
	ID       fleet.RequestID
	Upstream fleet.UpstreamID
	Priority fleet.Priority
	// Deadline is the latest time to start; 0 means MaxQueueTime from now.
	Deadline time.Duration
	// Workspace and WorkspaceLimit bound how many of the upstream's slots one
	// workspace holds; a limit of 0 means none.
	Workspace      fleet.WorkspaceID
	WorkspaceLimit int
	// Yield is the part of the headroom between the mean load and the bound that
	// the request leaves to others, from 0 to 1: see YieldFor. It applies only with
	// NoQueue: a request that prefers waiting here to going elsewhere yields nothing.
	Yield float64
	// NoQueue rejects the request if it would have to wait, so that the caller can
	// try the next candidate.
	NoQueue bool
	// Resume continues an answer that already runs on the upstream. The request adds
	// no work, so it is admitted regardless of the limits. It replaces one foreign
	// request, that is one admitted by a former owner.
	Resume bool
}

// Kind is the kind of a Decision.
type Kind uint8

const (
	// Rejected means that the request gets no slot; Decision.Reason says why.
	Rejected Kind = iota
	// Admitted means the request holds a slot until Done or Cancel.
	Admitted
	// Queued means that a later call returns the decision as a QueuedDecision.
	Queued
)

// Reason is why a request was rejected.
type Reason uint8

const (
	// ReasonNone is the reason of decisions that reject nothing.
	ReasonNone Reason = iota
	// ReasonNotOwned means this instance doesn't own the upstream.
	ReasonNotOwned
	// ReasonDraining means the upstream is out of service or leaving.
	ReasonDraining
	// ReasonBound means the upstream has no free slot and the request may not wait.
	ReasonBound
	// ReasonQueueFull means that the upstream's queue for the request's priority is full.
	ReasonQueueFull
	// ReasonDeadline means that the request can't start by its deadline.
	ReasonDeadline
	// ReasonBreakerOpen means the upstream's circuit breaker is open. Its name in logs
	// and metrics is "broken".
	ReasonBreakerOpen
	// ReasonDuplicate means a request with this ID is queued or in flight.
	ReasonDuplicate
	// ReasonShare means the workspace holds as many of the upstream's slots as
	// Request.WorkspaceLimit allows.
	ReasonShare
)

// String returns the reason's name in logs and metrics.
func (r Reason) String() string {
	names := [...]string{"none", "not-owned", "draining", "bound", "queue-full", "deadline", "broken", "duplicate", "share"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// Decision is the answer to a Request.
type Decision struct {
	Kind   Kind
	Reason Reason
	// RetryAfter estimates how long until a rejected request may succeed here; 0
	// means unknown.
	RetryAfter time.Duration
}

// QueuedDecision is the decision on a request that was queued.
type QueuedDecision struct {
	ID       fleet.RequestID
	Upstream fleet.UpstreamID
	Decision Decision
}

// Result is the outcome of an admitted request.
type Result struct {
	// FirstToken is the time from dispatch to the first byte of the answer; 0
	// means none arrived, or that FirstToken was reported before.
	FirstToken time.Duration
	// Duration is the time from dispatch to the end of the answer.
	Duration time.Duration
	// Tokens is the number of generated tokens, 0 for services.
	Tokens int
	// Failed means that the upstream rejected the request, broke off its answer or
	// timed out.
	Failed bool
}

// UpstreamState is the announced state of an upstream, as its owner knows it.
type UpstreamState struct {
	ID   fleet.UpstreamID
	Pool fleet.PoolID
	Boot fleet.BootID
	// Out is set while operators have taken the upstream, its instance or its
	// availability zone out of service.
	Out bool
	// Leaving is set once the platform has announced that it will stop.
	Leaving bool
}

// PoolSettings are the limits of every upstream of a pool. Zero values mean the
// defaults of lists.Pool.
type PoolSettings struct {
	LoadFactor       float64
	MaxConcurrency   int
	StartConcurrency int
}
