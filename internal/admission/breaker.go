package admission

import "time"

const (
	// breakerFailures is how many failures in a row open a breaker.
	breakerFailures = 3
	// breakerBase and breakerMax bound the time between probes of an open
	// breaker; the time doubles with each failed probe.
	breakerBase = 500 * time.Millisecond
	breakerMax  = 15 * time.Second
)

// breaker stops new work to an upstream that fails and lets single requests
// through as probes, one at a time, after a growing pause.
type breaker struct {
	failures int
	open     bool
	probing  bool
	pause    time.Duration
	next     time.Duration // earliest time of the next probe
}

// allow tells whether a request may go through now, and whether it is a probe.
func (b *breaker) allow(now time.Duration) (ok, probe bool) {
	if !b.open {
		return true, false
	}
	return !b.probing && now >= b.next, true
}

// success closes the breaker, if a probe succeeded, or forgets failures. A late
// success of a request from before it opened leaves it open.
func (b *breaker) success(probe bool) {
	if !b.open || probe {
		*b = breaker{}
	}
}

// failure counts a failed request and opens the breaker after enough of them.
func (b *breaker) failure(now time.Duration, probe bool) {
	b.failures++
	switch {
	case b.open && probe:
		b.pause = min(2*b.pause, breakerMax)
		b.next, b.probing = now+b.pause, false
	case !b.open && b.failures >= breakerFailures:
		b.open, b.pause = true, breakerBase
		b.next = now + b.pause
	}
}
