package dispatch

import "time"

const (
	// firstShare and plainShare are the parts of a request's target that the first part of its answer
	// may take at its upstream, an engine or a plain one. The rest is for its wait at the router; at a
	// plain pool most of the time is the wait for a slot, wherever that is.
	firstShare, plainShare = 0.5, 2.0
	// slowShare is the part of the answers that may take longer before less of the pool is used, and
	// quickShare the one up to which more of it is.
	slowShare, quickShare = 0.2, 0.1
	// minTimings is the number of answers that a decision needs, and timingWindow the least time
	// between two: what an engine runs changes by a tenth in about that time.
	minTimings   = 10
	timingWindow = 250 * time.Millisecond
	// useDecrease and useIncrease are the factors of one decision. At a plain pool a router sees few
	// answers, and requests hold a slot for some milliseconds only.
	useDecrease, useIncrease           = 0.94, 1.03
	plainUseDecrease, plainUseIncrease = 0.9, 1.12
	// minSlots bounds the part of the engines' slots that is used: with fewer requests an engine
	// yields too few tokens in each step.
	minSlots = 0.5
	// minUse and maxUse bound the pace of a plain pool, as a multiple of the computed one. That rests
	// on times in which requests may have waited for a slot.
	minUse, maxUse = 0.5, 3.0
	// busyShare is the part of the slots in use from which on slow answers count as the load's doing.
	busyShare = 0.6
)

// latency decides how much of a pool is used by the time in which its upstreams answer. Engines
// read new prompts between the tokens of all running requests, and plain upstreams have a queue: what
// is admitted to a full one misses its target though it didn't wait at the router. It is not safe for
// concurrent use.
type latency struct {
	least, most   float64 // bounds of use
	down, up      float64 // factors of one decision
	share         float64 // of a target that counts as quick
	use           float64 // part of the pool that is used
	since         time.Duration
	timings, slow int // since then, and those of them over the bound
}

// newLatency returns a latency for a pool of engines or a plain one.
func newLatency(engines bool) latency {
	if engines {
		return latency{share: firstShare, least: minSlots, most: 1, down: useDecrease, up: useIncrease, use: 1}
	}
	return latency{share: plainShare, least: minUse, most: maxUse, down: plainUseDecrease, up: plainUseIncrease, use: 1}
}

// record records the time that the first part of an answer took at an upstream, for a request that
// was to be answered within target; 0 for none.
func (l *latency) record(took, target time.Duration) {
	if target <= 0 {
		return
	}
	l.timings++
	if took > time.Duration(l.share*float64(target)) {
		l.slow++
	}
}

// update decides on the part to use. busy is set if the pool's load may be why answers are slow, and
// short if requests wait for want of it.
func (l *latency) update(now time.Duration, busy, short bool) {
	if now-l.since < timingWindow || l.timings < minTimings {
		return
	}
	slow := float64(l.slow) / float64(l.timings)
	switch {
	case slow > slowShare && busy:
		l.use = max(l.use*l.down, l.least)
	case slow <= quickShare && l.use < 1, slow <= quickShare && short:
		l.use = min(l.use*l.up, l.most)
	case !short && l.use > 1:
		l.use = max(l.use/l.up, 1)
	}
	l.since, l.timings, l.slow = now, 0, 0
}
