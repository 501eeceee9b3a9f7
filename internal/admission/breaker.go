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

// breaker is a circuit breaker: it stops new work to a failing upstream and admits
// one request at a time as a probe, with exponential backoff between probes.
type breaker struct {
	failures  int // failed requests in a row
	open      bool
	probing   bool // a probe is in flight
	backoff   time.Duration
	nextProbe time.Duration // earliest time of the next probe
}

// allow reports whether a request may go through now, and whether it is a probe.
func (b *breaker) allow(now time.Duration) (ok, probe bool) {
	if !b.open {
		return true, false
	}
	return !b.probing && now >= b.nextProbe, true
}

// recordSuccess closes the breaker after a successful probe, or clears the failure count
// of a closed one. The success of a request that was admitted before the breaker opened
// doesn't close it.
func (b *breaker) recordSuccess(probe bool) {
	if !b.open || probe {
		*b = breaker{}
	}
}

// recordFailure counts a failed request. It opens the breaker after breakerFailures in a
// row and doubles the backoff after a failed probe.
func (b *breaker) recordFailure(now time.Duration, probe bool) {
	b.failures++
	switch {
	case b.open && probe:
		b.backoff = min(2*b.backoff, breakerMax)
		b.nextProbe, b.probing = now+b.backoff, false
	case !b.open && b.failures >= breakerFailures:
		b.open, b.backoff = true, breakerBase
		b.nextProbe = now + b.backoff
	}
}
