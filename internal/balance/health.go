package balance

import "time"

const (
	// ejectAfter is how many failures in a row take an upstream out of use.
	ejectAfter = 2
	// failureWeight is the weight of the newest outcome in the failure rate.
	failureWeight = 0.15
	// ejectRate is the failure rate that takes an upstream out of use. Upstreams in
	// good health answer up to one request in seven with an error of their own.
	ejectRate = 0.45
	// ejectBase and ejectMax bound how long an upstream stays out of use; the time
	// doubles with each trial that fails.
	ejectBase = 500 * time.Millisecond
	ejectMax  = 8 * time.Second
)

// Outcome is how a request at an upstream ended, as far as the upstream's health
// is concerned.
type Outcome uint8

// The outcomes of a request.
const (
	// OutcomeServed is an answer of the upstream that says nothing against it.
	OutcomeServed Outcome = iota
	// OutcomeError is an answer by which the upstream says that it failed.
	OutcomeError
	// OutcomeBroken is a connection that failed, or an answer that is not whole.
	OutcomeBroken
	// OutcomeUnknown says nothing: the caller left, or the upstream refused.
	OutcomeUnknown
)

// health decides by outcomes whether an upstream is in use.
type health struct {
	broken int     // connections that failed in a row
	rate   float64 // moving share of failures
	until  time.Duration
	pause  time.Duration
	trial  bool // one request tries the upstream again
}

// usable tells whether the upstream may get a request now; trial is set where it
// is one that tries the upstream again.
func (h *health) usable(now time.Duration) (ok, trial bool) {
	if h.pause == 0 {
		return true, false
	}
	return now >= h.until && !h.trial, true
}

func (h *health) observe(now time.Duration, o Outcome) {
	h.trial = false
	switch o {
	case OutcomeUnknown:
		return
	case OutcomeServed:
		h.rate *= 1 - failureWeight
		h.broken = 0
		if h.pause > 0 && now >= h.until {
			h.pause = 0
			h.rate = min(h.rate, ejectRate/2)
		}
		return
	case OutcomeBroken:
		h.broken++
	case OutcomeError:
		h.broken = 0
	}
	h.rate = h.rate*(1-failureWeight) + failureWeight
	if h.broken >= ejectAfter || h.rate >= ejectRate || h.pause > 0 && now >= h.until {
		h.eject(now)
	}
}

// eject takes the upstream out of use, for longer than the last time.
func (h *health) eject(now time.Duration) {
	if h.pause > 0 && now < h.until {
		return // late results of requests from before
	}
	h.pause = min(max(2*h.pause, ejectBase), ejectMax)
	h.until = now + h.pause
}
