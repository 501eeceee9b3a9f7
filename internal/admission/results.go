package admission

import (
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// FirstToken records the first byte of an answer, which arrived d after dispatch. An
// upstream that has turned cold is thereby detected before its long answers end.
func (g *Gate) FirstToken(now time.Duration, id fleet.RequestID, d time.Duration) {
	e := g.entries[id]
	if e == nil || !e.admitted || e.firstTokenCounted {
		return
	}
	e.upstream.awaitingFirstToken.remove(e)
	if e.generation == e.upstream.generation {
		g.recordFirstToken(e.upstream, d)
	}
}

// Done ends an admitted request and releases its slot. The decisions on queued
// requests that are admitted or can no longer start are appended to dst.
func (g *Gate) Done(now time.Duration, id fleet.RequestID, r Result, dst []QueuedDecision) []QueuedDecision {
	e := g.entries[id]
	if e == nil || !e.admitted {
		return dst
	}
	u := e.upstream
	g.recordResult(now, e, r)
	g.releaseSlot(e)
	g.forget(e)
	return g.drainQueue(now, u, dst)
}

// Cancel discards a queued or admitted request without a result for the upstream's
// breaker or window. Decisions on other queued requests are appended to dst.
func (g *Gate) Cancel(now time.Duration, id fleet.RequestID, dst []QueuedDecision) []QueuedDecision {
	e := g.entries[id]
	if e == nil {
		return dst
	}
	u := e.upstream
	if e.admitted {
		g.releaseSlot(e)
	} else {
		u.queues.forPriority(e.request.Priority).remove(e)
	}
	g.forget(e)
	return g.drainQueue(now, u, dst)
}

// recordResult updates the upstream's breaker, usual times and window from the result of
// one request. It ignores results of requests from an earlier generation.
func (g *Gate) recordResult(now time.Duration, e *entry, r Result) {
	u := e.upstream
	if e.generation != u.generation {
		return
	}
	if r.Failed {
		u.breaker.recordFailure(now, e.probe)
		if u.breaker.open && !g.off.noCollapse {
			u.collapse()
		}
		return
	}
	u.breaker.recordSuccess(e.probe)
	if !e.firstTokenCounted && r.FirstToken > 0 {
		g.recordFirstToken(u, r.FirstToken)
	}
	if u.cold && !u.pool.usual.isSlowAnswer(r) {
		u.cold = false
		u.generation++ // results of answers that began while cold are ignored from here
	}
	slow := u.baseline().isSlowAnswer(r)
	if !u.cold {
		u.pool.usual.addAnswer(r)
	}
	u.usual.addAnswer(r)
	if slow {
		g.countSlow(u, &u.window.slowAnswers)
		return
	}
	u.window.grow(u.inFlight())
	u.updateSums()
}

// baseline returns the usual times that answers are compared with: the pool's or, for a
// cold upstream, its own since the start. A cold upstream is slower than its pool
// anyway; its window may grow as long as more work doesn't slow it down further.
func (u *upstream) baseline() *usualTimes {
	if u.cold {
		return &u.usual
	}
	return &u.pool.usual
}

// recordFirstToken updates the usual times from one first token and counts slow ones in
// a row.
func (g *Gate) recordFirstToken(u *upstream, d time.Duration) {
	slow := u.baseline().isSlowFirstToken(d)
	if !u.cold {
		u.pool.usual.addFirstToken(d)
	}
	u.usual.addFirstToken(d)
	if slow {
		g.countSlow(u, &u.window.slowFirst)
		return
	}
	u.window.slowFirst = 0
}

// countOverdue counts a pending first token as slow once it is late enough, so
// that an upstream which sends none is detected as well.
func (g *Gate) countOverdue(now time.Duration, u *upstream) {
	for e := u.awaitingFirstToken.first; e != nil && u.baseline().isSlowFirstToken(now-e.started); e = u.awaitingFirstToken.first {
		u.awaitingFirstToken.remove(e)
		if e.generation == u.generation {
			g.countSlow(u, &u.window.slowFirst)
		}
	}
}

// countSlow adds one slow first token or slow answer to inRow, the count of such in a
// row, and collapses the upstream at collapseThreshold.
func (g *Gate) countSlow(u *upstream, inRow *int) {
	*inRow++
	if *inRow < collapseThreshold || g.off.noCollapse {
		return
	}
	u.collapse()
}

// collapse treats the upstream as cold again: it sets the window to StartConcurrency,
// lets it grow fast only to half its former size, and discards the measured times.
func (u *upstream) collapse() {
	u.window.collapse()
	u.resetHistory()
	u.updateSums()
}

// restart treats the upstream as just started: it sets the window to StartConcurrency
// and discards the measured times.
func (u *upstream) restart() {
	u.window.restart()
	u.resetHistory()
	u.updateSums()
}

// resetHistory marks the upstream as starting and cold, discards the times measured so
// far and starts a new generation.
func (u *upstream) resetHistory() {
	u.generation++
	u.starting, u.cold = true, true
	u.usual = usualTimes{}
}

// Tick counts overdue first tokens and appends to dst the decisions on queued requests
// whose deadline has passed or that may start now, for instance as a breaker's probe.
// Call it at least every 100 ms.
func (g *Gate) Tick(now time.Duration, dst []QueuedDecision) []QueuedDecision {
	for _, u := range g.order {
		g.countOverdue(now, u)
		if u.queues.len() > 0 {
			dst = g.drainQueue(now, u, dst)
		}
	}
	return dst
}

// drainQueue rejects queued requests that can no longer start and admits others
// while slots are free.
func (g *Gate) drainQueue(now time.Duration, u *upstream, dst []QueuedDecision) []QueuedDecision {
	dst = g.expire(now, u, &u.queues.interactive, dst)
	dst = g.expire(now, u, &u.queues.batch, dst)
	for u.queues.len() > 0 && g.hasFreeSlot(u, 0) {
		if ok, _ := u.breaker.allow(now); !ok {
			return dst
		}
		q := u.queues.next()
		e := g.firstInShare(u, q)
		if e == nil {
			if q = u.queues.other(q); q.len() == 0 {
				return dst
			}
			if e = g.firstInShare(u, q); e == nil {
				return dst
			}
		}
		q.remove(e)
		u.queues.recordAdmission(q)
		g.occupySlot(now, u, e)
		dst = append(dst, QueuedDecision{e.request.ID, u.state.ID, Decision{Kind: Admitted}})
	}
	return dst
}

// firstInShare returns the queue's request of earliest deadline whose workspace holds
// less than its share, or nil.
func (g *Gate) firstInShare(u *upstream, q *queue) *entry {
	var best *entry
	for i, e := range q.heap {
		if g.atWorkspaceLimit(u, &e.request) {
			continue
		}
		if best == nil || q.less(i, best.position) {
			best = e
		}
		if i == 0 {
			return best
		}
	}
	return best
}

// expire rejects the queued requests whose deadline has passed, or all of them if
// the upstream accepts no new work.
func (g *Gate) expire(now time.Duration, u *upstream, q *queue, dst []QueuedDecision) []QueuedDecision {
	closed := u.closed() && !g.off.noDrain
	for q.len() > 0 {
		e := q.first()
		d := Decision{Kind: Rejected, Reason: ReasonDeadline, RetryAfter: minRetryAfter}
		switch {
		case closed:
			d = Decision{Kind: Rejected, Reason: ReasonDraining}
		case e.request.Deadline > now:
			return dst
		}
		q.remove(e)
		dst = append(dst, QueuedDecision{e.request.ID, u.state.ID, d})
		g.forget(e)
	}
	return dst
}
