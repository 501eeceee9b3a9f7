package answer

import "github.com/wigeonflow/wigeonflow/internal/fleet"

// Facts are what is known for certain of one attempt at an upstream.
type Facts struct {
	// MayHaveLeft is set from the moment at which a first byte of the request may
	// have been handed to the network.
	MayHaveLeft bool `msg:"left"`
	// Whole is set once the upstream's whole answer, end included, was received
	// and matched to the attempt.
	Whole bool `msg:"whole"`
	// Declined is set when the upstream's whole answer says that it did not start
	// the request, as an engine does when it is cold or full.
	Declined bool `msg:"declined"`
	// Accepted is set once the upstream's answer headers named the attempt.
	Accepted bool `msg:"accepted"`
}

// Outcome returns what may be said of the attempt. Only the absence of any
// written byte proves that it did not run: an upstream that declines has still
// seen the request, so its word alone yields unknown.
func (f Facts) Outcome() fleet.Outcome {
	switch {
	case f.Declined && f.MayHaveLeft:
		return fleet.OutcomeUnknown
	case f.Whole:
		return fleet.OutcomeRan
	case f.MayHaveLeft:
		return fleet.OutcomeUnknown
	default:
		return fleet.OutcomeNotRun
	}
}

// Merge returns the outcome of a request that had attempts with the outcomes a
// and b. One attempt that ran decides, then one that is unknown: a request did
// not run only if none of its attempts did.
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
