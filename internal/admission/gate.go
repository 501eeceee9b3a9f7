package admission

import (
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/lists"
)

const (
	// BatchShare guarantees waiting batch work at least one in BatchShare
	// admissions from an upstream's queues.
	BatchShare = 8
	// MaxQueueTime is the longest time that a request without a deadline waits.
	MaxQueueTime = 30 * time.Second
	// maxQueueLength bounds each priority's queue of one upstream.
	maxQueueLength = 64
	// defaultDuration is the assumed time of an answer before the first has ended.
	defaultDuration = 2 * time.Second
	// minRetryAfter is the shortest Retry-After of a rejection.
	minRetryAfter = time.Second
)

// options disable single mechanisms, for tests that show what each prevents.
type options struct {
	noBound, noRamp, noDrain, noShare, noCollapse, noForeign bool
}

// Gate admits requests to the upstreams that one instance owns. It is not safe
// for concurrent use.
type Gate struct {
	pools     map[fleet.PoolID]*pool
	upstreams map[fleet.UpstreamID]*upstream
	order     []*upstream // all upstreams, sorted by ID
	entries   map[fleet.RequestID]*entry
	free      []*entry // entries to recycle
	sequence  uint64   // of the last entry
	off       options  // mechanisms to disable
}

// pool holds the limits, loads and usual times that the upstreams of one pool share.
type pool struct {
	settings PoolSettings
	load     PoolLoad
	usual    usualTimes // of answers from upstreams that aren't cold
	own      Sums       // over this instance's upstreams that accept new work
}

// upstream is the admission state of one upstream that this instance owns.
type upstream struct {
	state              UpstreamState
	pool               *pool
	running            int // admitted by this gate and not done
	foreign            int // admitted by a former owner and not known to be done
	window             window
	breaker            breaker
	queues             queues
	awaitingFirstToken awaitingList
	workspace          map[fleet.WorkspaceID]int // running requests of workspaces with a limit
	summed             Sums                      // its part of the pool's own sums
	// generation increases with each restart or collapse of the window, and when the
	// upstream is no longer cold.
	generation int
	// starting is set until the window has first reached the load bound.
	starting bool
	// cold is set by a restart or a collapse, and cleared by the first answer that
	// is as fast as the pool's.
	cold bool
	// usual holds the upstream's own times since the last restart or collapse.
	usual usualTimes
	// released is set while another instance owns the upstream and requests that this
	// gate admitted still run on it.
	released bool
}

// NewGate returns a gate without upstreams.
func NewGate() *Gate {
	return &Gate{
		pools:     map[fleet.PoolID]*pool{},
		upstreams: map[fleet.UpstreamID]*upstream{},
		entries:   map[fleet.RequestID]*entry{},
	}
}

// SetPoolSettings sets the limits of a pool for later admissions.
func (g *Gate) SetPoolSettings(id fleet.PoolID, s PoolSettings) {
	p := g.pool(id)
	p.settings = withDefaults(s)
	for _, u := range g.upstreams {
		if u.pool == p {
			u.window.start = float64(p.settings.StartConcurrency)
			u.window.max = float64(p.settings.MaxConcurrency)
			u.window.size = min(u.window.size, u.window.max)
		}
	}
}

// withDefaults replaces zero values by the defaults.
func withDefaults(s PoolSettings) PoolSettings {
	if s.LoadFactor == 0 {
		s.LoadFactor = lists.DefaultLoadFactor
	}
	if s.MaxConcurrency == 0 {
		s.MaxConcurrency = lists.DefaultMaxConcurrency
	}
	if s.StartConcurrency == 0 {
		s.StartConcurrency = lists.DefaultStartConcurrency
	}
	return s
}

// pool returns the state of a pool, which it adds with default limits if it is new.
func (g *Gate) pool(id fleet.PoolID) *pool {
	p := g.pools[id]
	if p == nil {
		p = &pool{settings: withDefaults(PoolSettings{})}
		g.pools[id] = p
	}
	return p
}

// SetPoolLoad stores the load sums of a pool from a session renewal. A higher bound may
// admit queued requests, and their decisions are appended to dst.
func (g *Gate) SetPoolLoad(now time.Duration, id fleet.PoolID, load PoolLoad, dst []QueuedDecision) []QueuedDecision {
	p := g.pool(id)
	p.load = load
	for _, u := range g.order {
		if u.pool == p {
			dst = g.drainQueue(now, u, dst)
		}
	}
	return dst
}

// Admit decides whether one request starts now, is queued or is rejected.
func (g *Gate) Admit(now time.Duration, r Request) Decision {
	u := g.upstreams[r.Upstream]
	if u == nil || u.released {
		return Decision{Kind: Rejected, Reason: ReasonNotOwned}
	}
	if g.entries[r.ID] != nil {
		return Decision{Kind: Rejected, Reason: ReasonDuplicate}
	}
	if r.Deadline == 0 {
		r.Deadline = now + MaxQueueTime
	}
	if r.Resume {
		u.foreign = max(u.foreign-1, 0)
		g.occupySlot(now, u, g.newEntry(u, r))
		return Decision{Kind: Admitted}
	}
	g.countOverdue(now, u)
	if d, rejected := g.rejectionFor(now, u, &r); rejected {
		return d
	}
	if !r.NoQueue {
		r.Yield = 0
	}
	if u.queues.len() == 0 || g.mayBypassQueue(u, &r) {
		if ok, _ := u.breaker.allow(now); ok && g.hasFreeSlot(u, r.Yield) && !g.atWorkspaceLimit(u, &r) {
			g.occupySlot(now, u, g.newEntry(u, r))
			return Decision{Kind: Admitted}
		}
	}
	return g.enqueue(now, u, r)
}

// mayBypassQueue reports whether a request may start while others wait: it may if its
// workspace has no limit or is below it. drainQueue offers every slot that becomes free
// to the queue first. While a slot stays free, the queued requests' workspaces are thus
// at their limits, unless the upstream's limit rose or a probe became due since the last
// call of drainQueue.
func (g *Gate) mayBypassQueue(u *upstream, r *Request) bool {
	return r.WorkspaceLimit == 0 || u.workspace[r.Workspace] < r.WorkspaceLimit
}

// rejectionFor returns the rejection of a request that may neither start nor wait now, and
// whether there is one: the upstream is closed, the deadline has passed or the breaker
// is open.
func (g *Gate) rejectionFor(now time.Duration, u *upstream, r *Request) (Decision, bool) {
	switch {
	case u.closed() && !g.off.noDrain:
		return Decision{Kind: Rejected, Reason: ReasonDraining}, true
	case r.Deadline <= now:
		return Decision{Kind: Rejected, Reason: ReasonDeadline}, true
	}
	if ok, _ := u.breaker.allow(now); !ok {
		return Decision{Kind: Rejected, Reason: ReasonBreakerOpen, RetryAfter: max(u.breaker.nextProbe-now, minRetryAfter)}, true
	}
	return Decision{}, false
}

// enqueue queues the request, or rejects it if it may not wait, if the queue is full
// or if it can't start by its deadline.
func (g *Gate) enqueue(now time.Duration, u *upstream, r Request) Decision {
	q := u.queues.forPriority(r.Priority)
	wait := g.estimateWait(u, r.Priority)
	retry := max(wait, minRetryAfter)
	switch {
	case r.NoQueue && g.atWorkspaceLimit(u, &r):
		return Decision{Kind: Rejected, Reason: ReasonShare, RetryAfter: retry}
	case r.NoQueue:
		return Decision{Kind: Rejected, Reason: ReasonBound, RetryAfter: retry}
	case q.len() >= maxQueueLength:
		return Decision{Kind: Rejected, Reason: ReasonQueueFull, RetryAfter: retry}
	case now+wait > r.Deadline:
		return Decision{Kind: Rejected, Reason: ReasonDeadline, RetryAfter: retry}
	}
	q.push(g.newEntry(u, r))
	return Decision{Kind: Queued}
}

// estimateWait returns how long a new request of the priority would wait, if it and
// each request before it need one of the upstream's slots for the usual duration of
// an answer.
func (g *Gate) estimateWait(u *upstream, p fleet.Priority) time.Duration {
	ahead := u.queues.interactive.len()
	if p == fleet.PriorityBatch {
		ahead += u.queues.batch.len()
	}
	usual := u.pool.usual.duration
	if usual == 0 {
		usual = float64(defaultDuration)
	}
	return time.Duration(usual * float64(ahead+1) / float64(max(g.limit(u, 0), 1)))
}

// newEntry returns a recycled or new entry for the request and registers it.
func (g *Gate) newEntry(u *upstream, r Request) *entry {
	var e *entry
	if n := len(g.free); n > 0 {
		e, g.free = g.free[n-1], g.free[:n-1]
	} else {
		e = new(entry)
	}
	g.sequence++
	*e = entry{request: r, upstream: u, sequence: g.sequence}
	g.entries[r.ID] = e
	return e
}

// forget removes the entry and recycles it.
func (g *Gate) forget(e *entry) {
	delete(g.entries, e.request.ID)
	e.upstream = nil
	g.free = append(g.free, e)
}

// occupySlot admits the request, as a probe if the breaker is open.
func (g *Gate) occupySlot(now time.Duration, u *upstream, e *entry) {
	e.admitted, e.started, e.generation = true, now, u.generation
	if ok, probe := u.breaker.allow(now); ok && probe {
		e.probe, u.breaker.probing = true, true
	}
	u.running++
	u.awaitingFirstToken.push(e)
	if e.request.WorkspaceLimit > 0 {
		u.workspace[e.request.Workspace]++
	}
	u.updateSums()
}

// releaseSlot returns the slot of an admitted request.
func (g *Gate) releaseSlot(e *entry) {
	u := e.upstream
	u.running--
	u.awaitingFirstToken.remove(e)
	if e.request.WorkspaceLimit > 0 {
		if u.workspace[e.request.Workspace]--; u.workspace[e.request.Workspace] <= 0 {
			delete(u.workspace, e.request.Workspace)
		}
	}
	if e.probe {
		u.breaker.probing = false
	}
	u.updateSums()
	if u.released && u.running == 0 {
		g.removeUpstream(u)
	}
}

// inFlight returns the requests that run or are presumed to run on the upstream.
func (u *upstream) inFlight() int { return u.running + u.foreign }

// closed reports whether the upstream accepts no new work.
func (u *upstream) closed() bool { return u.released || u.state.Out || u.state.Leaving }

// hasFreeSlot reports whether the upstream is below its limit for a request that yields
// the given part of the headroom.
func (g *Gate) hasFreeSlot(u *upstream, yield float64) bool {
	load := u.inFlight()
	if g.off.noForeign {
		load = u.running
	}
	return load < g.limit(u, yield)
}

// atWorkspaceLimit reports whether the request's workspace already holds as
// many of the upstream's slots as Request.WorkspaceLimit allows.
func (g *Gate) atWorkspaceLimit(u *upstream, r *Request) bool {
	return !g.off.noShare && r.WorkspaceLimit > 0 && u.workspace[r.Workspace] >= r.WorkspaceLimit
}

// limit returns how many requests the upstream may have in flight now, for a
// request that yields the given part of the headroom.
func (g *Gate) limit(u *upstream, yield float64) int {
	limit := u.pool.settings.MaxConcurrency
	if !g.off.noBound {
		limit = min(limit, u.pool.bound(yield))
	}
	if !g.off.noRamp {
		limit = min(limit, int(u.window.size))
	}
	return limit
}
