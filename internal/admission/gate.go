package admission

import (
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/lists"
)

const (
	// BatchShare is the number of admissions from a queue of which batch work
	// gets at least one while it waits.
	BatchShare = 8
	// MaxQueueTime is how long a request without a deadline waits.
	MaxQueueTime = 30 * time.Second
	// queueLength bounds each priority's queue of one upstream.
	queueLength = 64
	// defaultDuration stands for the time of an answer before any was seen.
	defaultDuration = 2 * time.Second
	// minRetryAfter is the least wait that a refusal suggests.
	minRetryAfter = time.Second
)

// options switch single mechanisms off, for tests that show what each prevents.
type options struct {
	noBound, noRamp, noDrain, noShare, noCollapse, noForeign bool
}

// Gate admits requests to the upstreams that one instance owns. It is not safe
// for concurrent use.
type Gate struct {
	pools     map[fleet.PoolID]*pool
	upstreams map[fleet.UpstreamID]*upstream
	order     []*upstream // all upstreams by ID
	entries   map[fleet.RequestID]*entry
	free      []*entry
	sequence  uint64
	off       options
}

// pool holds what the upstreams of one pool share.
type pool struct {
	settings PoolSettings
	load     PoolLoad
	usual    speed
	own      Sums // over this instance's upstreams that take new work
}

// upstream is one back end that this instance owns.
type upstream struct {
	state     UpstreamState
	pool      *pool
	running   int // admitted here and not done
	foreign   int // admitted by the former owner and not known to be done
	window    window
	breaker   breaker
	lines     lines
	awaiting  awaiting
	workspace map[fleet.WorkspaceID]int // running requests, for shares
	counted   Sums                      // what the pool's own sums hold of it
	// generation grows with each restart of the window.
	generation int
	// starting is set until the window has first reached the load bound.
	starting bool
	// cold is set by a restart or a collapse until an answer is as fast as its
	// pool's.
	cold bool
	// usual is its own speed since the start.
	usual speed
	// lost is set when another instance owns the upstream and requests of this
	// one still run on it.
	lost bool
}

// NewGate returns a gate without upstreams.
func NewGate() *Gate {
	return &Gate{
		pools:     map[fleet.PoolID]*pool{},
		upstreams: map[fleet.UpstreamID]*upstream{},
		entries:   map[fleet.RequestID]*entry{},
	}
}

// SetPoolSettings sets the limits of a pool. They hold for admissions from now on.
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

func (g *Gate) pool(id fleet.PoolID) *pool {
	p := g.pools[id]
	if p == nil {
		p = &pool{settings: withDefaults(PoolSettings{})}
		g.pools[id] = p
	}
	return p
}

// SetPool takes the sums of a pool from a session renewal. A higher bound may
// admit queued requests, which are appended to dst.
func (g *Gate) SetPool(now time.Duration, id fleet.PoolID, load PoolLoad, dst []Settled) []Settled {
	p := g.pool(id)
	p.load = load
	for _, u := range g.order {
		if u.pool == p {
			dst = g.drainQueue(now, u, dst)
		}
	}
	return dst
}

// Admit decides on one request.
func (g *Gate) Admit(now time.Duration, r Request) Decision {
	u := g.upstreams[r.Upstream]
	if u == nil || u.lost {
		return Decision{Kind: Refused, Reason: ReasonNotOwned}
	}
	if g.entries[r.ID] != nil {
		return Decision{Kind: Refused, Reason: ReasonDuplicate}
	}
	if r.Deadline == 0 {
		r.Deadline = now + MaxQueueTime
	}
	if r.Resume {
		u.foreign = max(u.foreign-1, 0)
		g.start(now, u, g.newEntry(u, r))
		return Decision{Kind: Admitted}
	}
	g.overdue(now, u)
	if d, refused := g.refusal(now, u, &r); refused {
		return d
	}
	if !r.NoQueue {
		r.Yield = 0
	}
	if u.lines.len() == 0 || g.overtakes(u, &r) {
		if ok, _ := u.breaker.allow(now); ok && g.hasRoom(u, r.Yield) && !g.overShare(u, &r) {
			g.start(now, u, g.newEntry(u, r))
			return Decision{Kind: Admitted}
		}
	}
	return g.enqueue(now, u, r)
}

// overtakes tells whether a request may pass the queue: never by chance, for
// the queue is drained whenever a slot comes free. It covers a queue whose
// members all wait for their workspace's share.
func (g *Gate) overtakes(u *upstream, r *Request) bool {
	return r.WorkspaceLimit == 0 || u.workspace[r.Workspace] < r.WorkspaceLimit
}

// refusal returns the decision on a request that can't run here at all.
func (g *Gate) refusal(now time.Duration, u *upstream, r *Request) (Decision, bool) {
	switch {
	case u.closed() && !g.off.noDrain:
		return Decision{Kind: Refused, Reason: ReasonDraining}, true
	case r.Deadline <= now:
		return Decision{Kind: Refused, Reason: ReasonDeadline}, true
	}
	if ok, _ := u.breaker.allow(now); !ok {
		return Decision{Kind: Refused, Reason: ReasonBroken, RetryAfter: max(u.breaker.next-now, minRetryAfter)}, true
	}
	return Decision{}, false
}

// enqueue lets the request wait, unless it may not or can't start in time.
func (g *Gate) enqueue(now time.Duration, u *upstream, r Request) Decision {
	q := u.lines.of(r.Priority)
	wait := g.wait(u, r.Priority)
	retry := max(wait, minRetryAfter)
	switch {
	case r.NoQueue && g.overShare(u, &r):
		return Decision{Kind: Refused, Reason: ReasonShare, RetryAfter: retry}
	case r.NoQueue:
		return Decision{Kind: Refused, Reason: ReasonBound, RetryAfter: retry}
	case q.len() >= queueLength:
		return Decision{Kind: Refused, Reason: ReasonQueueFull, RetryAfter: retry}
	case now+wait > r.Deadline:
		return Decision{Kind: Refused, Reason: ReasonDeadline, RetryAfter: retry}
	}
	q.push(g.newEntry(u, r))
	return Decision{Kind: Queued}
}

// wait estimates how long a new request of the priority would wait: the
// requests before it, each needing one of limit slots for a usual answer's time.
func (g *Gate) wait(u *upstream, p fleet.Priority) time.Duration {
	ahead := u.lines.interactive.len()
	if p == fleet.PriorityBatch {
		ahead += u.lines.batch.len()
	}
	usual := u.pool.usual.duration
	if usual == 0 {
		usual = float64(defaultDuration)
	}
	return time.Duration(usual * float64(ahead+1) / float64(max(g.limit(u, 0), 1)))
}

func (g *Gate) newEntry(u *upstream, r Request) *entry {
	var e *entry
	if n := len(g.free); n > 0 {
		e, g.free = g.free[n-1], g.free[:n-1]
	} else {
		e = new(entry)
	}
	g.sequence++
	*e = entry{request: r, up: u, sequence: g.sequence}
	g.entries[r.ID] = e
	return e
}

func (g *Gate) forget(e *entry) {
	delete(g.entries, e.request.ID)
	e.up = nil
	g.free = append(g.free, e)
}

// start gives the request a slot.
func (g *Gate) start(now time.Duration, u *upstream, e *entry) {
	e.admitted, e.started, e.generation = true, now, u.generation
	if ok, probe := u.breaker.allow(now); ok && probe {
		e.probe, u.breaker.probing = true, true
	}
	u.running++
	u.awaiting.push(e)
	if e.request.WorkspaceLimit > 0 {
		u.workspace[e.request.Workspace]++
	}
	u.recount()
}

// stop takes the slot back.
func (g *Gate) stop(e *entry) {
	u := e.up
	u.running--
	u.awaiting.remove(e)
	if e.request.WorkspaceLimit > 0 {
		if u.workspace[e.request.Workspace]--; u.workspace[e.request.Workspace] <= 0 {
			delete(u.workspace, e.request.Workspace)
		}
	}
	if e.probe {
		u.breaker.probing = false
	}
	u.recount()
	if u.lost && u.running == 0 {
		g.remove(u)
	}
}

// inFlight counts all work on the upstream that is known or presumed to run.
func (u *upstream) inFlight() int { return u.running + u.foreign }

// closed tells that the upstream takes no new work.
func (u *upstream) closed() bool { return u.lost || u.state.Out || u.state.Leaving }

func (g *Gate) hasRoom(u *upstream, yield float64) bool {
	load := u.inFlight()
	if g.off.noForeign {
		load = u.running
	}
	return load < g.limit(u, yield)
}

func (g *Gate) overShare(u *upstream, r *Request) bool {
	return !g.off.noShare && r.WorkspaceLimit > 0 && u.workspace[r.Workspace] >= r.WorkspaceLimit
}

// limit is the most requests the upstream may have in flight now, for a request
// that yields a part of the headroom.
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
