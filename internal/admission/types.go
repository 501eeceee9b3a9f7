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
	// the request leaves to others, from 0 to 1: see YieldFor. It counts with
	// NoQueue only: a request that would rather wait here than go elsewhere yields
	// nothing.
	Yield float64
	// NoQueue refuses the request where it would have to wait, so that the
	// caller tries the next candidate.
	NoQueue bool
	// Resume continues an answer that already runs on the upstream. It is
	// admitted regardless of the window, for it adds no work, and it replaces one
	// foreign request.
	Resume bool
}

// Kind is the sort of a Decision.
type Kind uint8

const (
	// Refused means the request was not run.
	Refused Kind = iota
	// Admitted means the request holds a slot until Done or Cancel.
	Admitted
	// Queued means that a later call returns the request's Settled decision.
	Queued
)

// Reason tells why a request was refused.
type Reason uint8

const (
	// ReasonNone belongs to decisions that are no refusal.
	ReasonNone Reason = iota
	// ReasonNotOwned means this instance doesn't own the upstream.
	ReasonNotOwned
	// ReasonDraining means the upstream is out of service or leaving.
	ReasonDraining
	// ReasonBound means the upstream is at its limit and the request may not wait.
	ReasonBound
	// ReasonQueueFull means too many requests wait already.
	ReasonQueueFull
	// ReasonDeadline means that the request can't start by its deadline.
	ReasonDeadline
	// ReasonBroken means the upstream's breaker is open.
	ReasonBroken
	// ReasonDuplicate means a request with this ID is queued or in flight.
	ReasonDuplicate
	// ReasonShare means the workspace holds its share of the upstream.
	ReasonShare
)

// String returns the reason as logs and metrics name it.
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
	// RetryAfter estimates when a refused request may succeed here; 0 means not
	// known.
	RetryAfter time.Duration
}

// Settled is the decision on a request that was queued.
type Settled struct {
	ID       fleet.RequestID
	Upstream fleet.UpstreamID
	Decision Decision
}

// Result tells what an upstream made of an admitted request.
type Result struct {
	// FirstToken is the time from dispatch to the first byte of the answer; 0
	// means none arrived, or that FirstToken was reported before.
	FirstToken time.Duration
	// Duration is the time from dispatch to the end of the answer.
	Duration time.Duration
	// Tokens is the number of generated tokens, 0 for services.
	Tokens int
	// Failed means the upstream failed: refused, broke off or timed out.
	Failed bool
}

// UpstreamState is what a router knows about one of its upstreams.
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
