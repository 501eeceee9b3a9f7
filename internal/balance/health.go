package balance

import "time"

const (
	// ejectAfter is how many broken connections or answers in a row eject an upstream.
	ejectAfter = 2
	// failureWeight is the weight of the newest outcome in the failure rate.
	failureWeight = 0.15
	// ejectRate is the failure rate that ejects an upstream. Healthy upstreams answer
	// up to one request in seven with an error of their own.
	ejectRate = 0.45
	// ejectBase and ejectMax bound how long an upstream stays ejected; the time
	// doubles with each failed probe.
	ejectBase = 500 * time.Millisecond
	ejectMax  = 8 * time.Second
)

// Outcome is how a request at an upstream ended, for the purpose of judging the
// upstream's health.
type Outcome uint8

// The outcomes of a request.
const (
	// OutcomeServed is an answer that doesn't count as a failure of the upstream.
	OutcomeServed Outcome = iota
	// OutcomeError is an answer in which the upstream reports its own failure.
	OutcomeError
	// OutcomeBroken is a failed connection or an incomplete answer.
	OutcomeBroken
	// OutcomeUnknown is ignored: the caller left, or the upstream rejected the
	// request.
	OutcomeUnknown
)

// health ejects an upstream by the outcomes of its requests, and readmits it after a
// successful probe.
type health struct {
	brokenInRow  int     // broken connections or answers in a row
	failureRate  float64 // exponential moving mean of failures
	ejectedUntil time.Duration
	ejection     time.Duration
	probing      bool // a probe is in flight
}

// usable reports whether the upstream may get a request now, and whether that request
// is a probe.
func (h *health) usable(now time.Duration) (ok, probe bool) {
	if h.ejection == 0 {
		return true, false
	}
	return now >= h.ejectedUntil && !h.probing, true
}

// recordOutcome records the outcome of one request.
func (h *health) recordOutcome(now time.Duration, o Outcome) {
	h.probing = false
	switch o {
	case OutcomeUnknown:
		return
	case OutcomeServed:
		h.failureRate *= 1 - failureWeight
		h.brokenInRow = 0
		if h.ejection > 0 && now >= h.ejectedUntil {
			h.ejection = 0
			h.failureRate = min(h.failureRate, ejectRate/2)
		}
		return
	case OutcomeBroken:
		h.brokenInRow++
	case OutcomeError:
		h.brokenInRow = 0
	}
	h.failureRate = h.failureRate*(1-failureWeight) + failureWeight
	if h.brokenInRow >= ejectAfter || h.failureRate >= ejectRate || h.ejection > 0 && now >= h.ejectedUntil {
		h.eject(now)
	}
}

// eject ejects the upstream, for twice as long as the last time up to ejectMax.
func (h *health) eject(now time.Duration) {
	if h.ejection > 0 && now < h.ejectedUntil {
		return // late results of requests sent before the ejection
	}
	h.ejection = min(max(2*h.ejection, ejectBase), ejectMax)
	h.ejectedUntil = now + h.ejection
}
