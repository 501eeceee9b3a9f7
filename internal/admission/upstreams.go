package admission

import (
	"slices"
	"strings"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// SetUpstream adds or updates an owned upstream. One that is new to this gate, was
// released or has another boot ID starts with a window of StartConcurrency, a closed
// breaker and no foreign requests. If the upstream accepts no more work, its queued
// requests are rejected. The decisions on queued requests are appended to dst.
func (g *Gate) SetUpstream(now time.Duration, s UpstreamState, dst []QueuedDecision) []QueuedDecision {
	u := g.upstreams[s.ID]
	if u == nil {
		p := g.pool(s.Pool)
		u = &upstream{pool: p, window: newWindow(p.settings), workspace: map[fleet.WorkspaceID]int{}, starting: true}
		u.state = s
		g.insertUpstream(u)
	}
	if u.state.Boot != s.Boot || u.released {
		u.restart()
		u.breaker = breaker{}
		u.foreign = 0
	}
	u.state, u.released = s, false
	u.updateSums()
	return g.drainQueue(now, u, dst)
}

// Adopt applies the state that the former owner of an upstream passed on. SetUpstream
// must have been called for the upstream. State of another boot is ignored.
func (g *Gate) Adopt(h Handover) {
	u := g.upstreams[h.Upstream]
	if u == nil || u.state.Boot != h.Boot {
		return
	}
	u.foreign = h.InFlight
	u.window.size = min(max(u.window.size, h.Window), u.window.max)
	u.updateSums()
}

// SetForeignInFlight sets how many requests of the former owner still run on the
// upstream. They count towards its load. A lower number may admit queued requests;
// their decisions are appended to dst.
func (g *Gate) SetForeignInFlight(now time.Duration, id fleet.UpstreamID, n int, dst []QueuedDecision) []QueuedDecision {
	u := g.upstreams[id]
	if u == nil {
		return dst
	}
	u.foreign = max(n, 0)
	u.updateSums()
	return g.drainQueue(now, u, dst)
}

// RestartWindow sets the upstream's window to StartConcurrency and discards its measured
// times, for instance after it was ordered to load a model.
func (g *Gate) RestartWindow(id fleet.UpstreamID) {
	if u := g.upstreams[id]; u != nil {
		u.restart()
	}
}

// Release ends the ownership of an upstream that another instance owns now. Its queued
// requests are rejected, and their decisions appended to dst; those in flight continue,
// and Done still accepts them. The handover is for the next owner, to which the caller
// should also send the decreasing number in flight until it is 0.
func (g *Gate) Release(now time.Duration, id fleet.UpstreamID, dst []QueuedDecision) (Handover, []QueuedDecision) {
	u := g.upstreams[id]
	if u == nil || u.released {
		return Handover{Upstream: id}, dst
	}
	h := Handover{id, u.state.Boot, u.inFlight(), u.window.size}
	for _, q := range []*queue{&u.queues.interactive, &u.queues.batch} {
		for q.len() > 0 {
			e := q.first()
			q.remove(e)
			dst = append(dst, QueuedDecision{e.request.ID, id, Decision{Kind: Rejected, Reason: ReasonNotOwned}})
			g.forget(e)
		}
	}
	u.released = true
	u.updateSums()
	if u.running == 0 {
		g.removeUpstream(u)
	}
	return h, dst
}

func (g *Gate) insertUpstream(u *upstream) {
	g.upstreams[u.state.ID] = u
	at, _ := slices.BinarySearchFunc(g.order, u.state.ID, byID)
	g.order = slices.Insert(g.order, at, u)
}

func (g *Gate) removeUpstream(u *upstream) {
	delete(g.upstreams, u.state.ID)
	if at, ok := slices.BinarySearchFunc(g.order, u.state.ID, byID); ok {
		g.order = slices.Delete(g.order, at, at+1)
	}
}

func byID(u *upstream, id fleet.UpstreamID) int {
	return strings.Compare(string(u.state.ID), string(id))
}

// Running returns how many of the requests that this gate admitted to the upstream
// still run, also after Release.
func (g *Gate) Running(id fleet.UpstreamID) int {
	if u := g.upstreams[id]; u != nil {
		return u.running
	}
	return 0
}
