package answer

import "github.com/wigeonflow/wigeonflow/internal/fleet"

// Facts holds what the router knows for certain about one attempt at an upstream.
type Facts struct {
	// MayHaveBeenSent is set as soon as the first byte of the request may have been sent.
	MayHaveBeenSent bool `msg:"left"`
	// Complete is set once the upstream's complete answer, including its end, was received
	// and matched to the attempt.
	Complete bool `msg:"whole"`
	// Declined is set if the upstream's complete answer states that it did not start
	// the request, as an engine's does if it is cold or full.
	Declined bool `msg:"declined"`
	// Accepted is set once the upstream's answer headers named the attempt.
	Accepted bool `msg:"accepted"`
}

// Outcome returns the outcome that the facts prove. Only an attempt of which no byte
// was sent certainly did not run. An upstream that declines has received the request,
// so its answer alone gives unknown.
func (f Facts) Outcome() fleet.Outcome {
	switch {
	case f.Declined && f.MayHaveBeenSent:
		return fleet.OutcomeUnknown
	case f.Complete:
		return fleet.OutcomeRan
	case f.MayHaveBeenSent:
		return fleet.OutcomeUnknown
	default:
		return fleet.OutcomeNotRun
	}
}

// Merge returns the outcome of a request whose attempts had the outcomes a and b: ran
// if one of them ran, else unknown if one is unknown, else not-run.
func Merge(a, b fleet.Outcome) fleet.Outcome {
	switch {
	case a == fleet.OutcomeRan || b == fleet.OutcomeRan:
		return fleet.OutcomeRan
	case a == fleet.OutcomeUnknown || b == fleet.OutcomeUnknown:
		return fleet.OutcomeUnknown
	default:
		return fleet.OutcomeNotRun
	}
}
