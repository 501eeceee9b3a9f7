package admission

import (
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// FirstToken notes the first byte of an answer, after d from its dispatch. It
// finds an upstream that has turned cold before its long answers end.
func (g *Gate) FirstToken(now time.Duration, id fleet.RequestID, d time.Duration) {
	e := g.entries[id]
	if e == nil || !e.admitted || e.seen {
		return
	}
	e.up.awaiting.remove(e)
	if e.generation == e.up.generation {
		g.judgeFirstToken(e.up, d)
	}
}

// Done ends an admitted request and returns its slot. Queued requests that it
// lets in, or that can't start any more, are appended to dst.
func (g *Gate) Done(now time.Duration, id fleet.RequestID, r Result, dst []Settled) []Settled {
	e := g.entries[id]
	if e == nil || !e.admitted {
		return dst
	}
	u := e.up
	g.judge(now, e, r)
	g.stop(e)
	g.forget(e)
	return g.drainQueue(now, u, dst)
}

// Cancel forgets a request, queued or admitted. It says nothing about the
// upstream's health.
func (g *Gate) Cancel(now time.Duration, id fleet.RequestID, dst []Settled) []Settled {
	e := g.entries[id]
	if e == nil {
		return dst
	}
	u := e.up
	if e.admitted {
		g.stop(e)
	} else {
		u.lines.of(e.request.Priority).remove(e)
	}
	g.forget(e)
	return g.drainQueue(now, u, dst)
}

// judge learns from one answer.
func (g *Gate) judge(now time.Duration, e *entry, r Result) {
	u := e.up
	if e.generation != u.generation {
		return
	}
	if r.Failed {
		u.breaker.failure(now, e.probe)
		if u.breaker.open && !g.off.noCollapse {
			u.collapse()
		}
		return
	}
	u.breaker.success(e.probe)
	if !e.seen && r.FirstToken > 0 {
		g.judgeFirstToken(u, r.FirstToken)
	}
	if u.cold && !u.pool.usual.slowAnswer(r) {
		u.cold = false
		u.generation++ // answers that began cold say nothing about it from now on
	}
	slow := u.yardstick().slowAnswer(r)
	if !u.cold {
		u.pool.usual.addAnswer(r)
	}
	u.usual.addAnswer(r)
	if slow {
		g.countSlow(u, &u.window.slowAnswers)
		return
	}
	u.window.grow(u.inFlight())
	u.recount()
}

// yardstick is the speed that answers are compared with: the pool's, but for a
// cold upstream its own since the start. It is slow in any case, and its window
// may grow as long as more work doesn't make it slower.
func (u *upstream) yardstick() *speed {
	if u.cold {
		return &u.usual
	}
	return &u.pool.usual
}

func (g *Gate) judgeFirstToken(u *upstream, d time.Duration) {
	slow := u.yardstick().slowFirstToken(d)
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

// overdue counts first tokens that are missing past the time from which they
// would be slow, so that an upstream which gives none is found as well.
func (g *Gate) overdue(now time.Duration, u *upstream) {
	for e := u.awaiting.first; e != nil && u.yardstick().slowFirstToken(now-e.started); e = u.awaiting.first {
		u.awaiting.remove(e)
		if e.generation == u.generation {
			g.countSlow(u, &u.window.slowFirst)
		}
	}
}

// countSlow restarts the window of an upstream that gave several slow answers
// in a row.
func (g *Gate) countSlow(u *upstream, inRow *int) {
	*inRow++
	if *inRow < collapseAnswers || g.off.noCollapse {
		return
	}
	u.collapse()
}

// collapse treats the upstream as cold again.
func (u *upstream) collapse() {
	u.window.collapse()
	u.begin()
	u.recount()
}

// restart treats the upstream as just started.
func (u *upstream) restart() {
	u.window.restart()
	u.begin()
	u.recount()
}

// begin forgets what was seen of the upstream before.
func (u *upstream) begin() {
	u.generation++
	u.starting, u.cold = true, true
	u.usual = speed{}
}

// Tick settles queued requests whose deadline has passed or which a breaker's
// probe lets in. Call it at least every 100 ms.
func (g *Gate) Tick(now time.Duration, dst []Settled) []Settled {
	for _, u := range g.order {
		g.overdue(now, u)
		if u.lines.len() > 0 {
			dst = g.drainQueue(now, u, dst)
		}
	}
	return dst
}

// drainQueue refuses what can't start any more and admits while there is room.
func (g *Gate) drainQueue(now time.Duration, u *upstream, dst []Settled) []Settled {
	dst = g.expire(now, u, &u.lines.interactive, dst)
	dst = g.expire(now, u, &u.lines.batch, dst)
	for u.lines.len() > 0 && g.hasRoom(u, 0) {
		if ok, _ := u.breaker.allow(now); !ok {
			return dst
		}
		q := u.lines.next()
		e := g.firstInShare(u, q)
		if e == nil {
			if q = u.lines.other(q); q.len() == 0 {
				return dst
			}
			if e = g.firstInShare(u, q); e == nil {
				return dst
			}
		}
		q.remove(e)
		u.lines.took(q)
		g.start(now, u, e)
		dst = append(dst, Settled{e.request.ID, u.state.ID, Decision{Kind: Admitted}})
	}
	return dst
}

// firstInShare returns the earliest request of the queue whose workspace holds
// less than its share, or nil.
func (g *Gate) firstInShare(u *upstream, q *queue) *entry {
	var best *entry
	for i, e := range q.heap {
		if g.overShare(u, &e.request) {
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

// expire refuses the queued requests whose deadline has passed, and all of them
// on an upstream that takes no more work.
func (g *Gate) expire(now time.Duration, u *upstream, q *queue, dst []Settled) []Settled {
	closed := u.closed() && !g.off.noDrain
	for q.len() > 0 {
		e := q.first()
		d := Decision{Kind: Refused, Reason: ReasonDeadline, RetryAfter: minRetryAfter}
		switch {
		case closed:
			d = Decision{Kind: Refused, Reason: ReasonDraining}
		case e.request.Deadline > now:
			return dst
		}
		q.remove(e)
		dst = append(dst, Settled{e.request.ID, u.state.ID, d})
		g.forget(e)
	}
	return dst
}
