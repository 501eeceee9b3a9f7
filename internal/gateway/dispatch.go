package gateway

import (
	"errors"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/joomcode/errorx"

	"github.com/wigeonflow/wigeonflow/internal/dispatch"
	"github.com/wigeonflow/wigeonflow/internal/exchange"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/routes"
)

const (
	// capacityAge is the age at which a pool's capacity is read again. Reports of it are 200 ms
	// and more apart.
	capacityAge = 20 * time.Millisecond
	// capacityInterval is the interval at which it is read while requests wait, though no place is
	// given back.
	capacityInterval = 50 * time.Millisecond
)

// reasonShed is the value of the log key no_attempt of a request that gets no place.
const reasonShed = "no place at the pool"

// errShed is the type of errors of requests that get no place at their pool.
var errShed = fleet.Errors.NewType("gateway_shed")

// dispatcher gives requests places at their pools. It is safe for concurrent use.
type dispatcher struct {
	cfg *ServerConfig

	mu      sync.Mutex
	pools   map[fleet.PoolID]*dispatchPool
	stopped bool // requests don't wait
}

// dispatchPool is the state of one pool. The dispatcher's mutex guards it.
type dispatchPool struct {
	*dispatch.Pool
	routes      *routes.Pool
	prefillRate float64       // prompt tokens per millisecond of one engine
	readAt      time.Duration // when the capacity was read; 0 for never
	timer       *time.Timer   // set while requests wait; its end calls wake
	metrics     *dispatchMetrics
	timeouts    callerTimeouts
}

// place is a place at a pool that a request holds; the zero value is none.
type place struct {
	pool *dispatchPool
	dispatch.Place
}

// waiter is a request that waits for a place.
type waiter struct {
	place    place
	entry    *dispatch.Entry
	arrived  time.Duration   // when its wait began
	pressed  bool            // see dispatch.Pool.Pressed
	rejected dispatch.Reason // empty unless the request has been pushed out
	done     chan struct{}   // closed once place or rejected is set
}

func newDispatcher(cfg *ServerConfig) *dispatcher {
	return &dispatcher{cfg: cfg, pools: make(map[fleet.PoolID]*dispatchPool)}
}

// pool returns the state of a pool, with a capacity of at most capacityAge. The mutex must be held.
func (d *dispatcher) pool(now time.Duration, pool *routes.Pool) *dispatchPool {
	p := d.pools[pool.Name]
	if p == nil {
		p = &dispatchPool{Pool: dispatch.NewPool(pool.Engine != nil)}
		p.metrics = newDispatchMetrics(d.cfg.Metrics, pool.Name, func() (limit, share float64) {
			d.mu.Lock()
			defer d.mu.Unlock()
			return p.Limit()
		})
		d.pools[pool.Name] = p
	}
	p.routes = pool
	if p.readAt == 0 || now-p.readAt >= capacityAge {
		d.readCapacity(now, p)
	}
	return p
}

// readCapacity reads the pool's capacity. The mutex must be held.
func (d *dispatcher) readCapacity(now time.Duration, p *dispatchPool) {
	p.readAt = now
	d.cfg.Balancer.SetWaiting(p.routes.Name, p.Waiting())
	c := d.cfg.Balancer.Capacity(now, p.routes, d.cfg.SessionState())
	p.prefillRate = c.PrefillRate
	p.SetCapacity(now, c)
}

// startWaiting starts the requests that may start now. The mutex must be held.
func (d *dispatcher) startWaiting(now time.Duration, p *dispatchPool) {
	for e := p.Next(now); e != nil; e = p.Next(now) {
		w := e.Tag.(*waiter)
		w.place, w.pressed = place{p, dispatch.NewPlace(now, &e.Request)}, p.Pressed()
		p.metrics.starts.Inc(1)
		close(w.done)
	}
	d.setTimer(now, p)
}

// setTimer has wake called for the next start of a paced pool, or for the next look at the pool's
// capacity, while requests wait. The mutex must be held.
func (d *dispatcher) setTimer(now time.Duration, p *dispatchPool) {
	if p.Waiting() == 0 {
		if p.timer != nil {
			p.timer.Stop()
			p.timer = nil
			d.cfg.Balancer.SetWaiting(p.routes.Name, 0)
		}
		return
	}
	wait := capacityInterval
	if at, paced := p.NextStart(); paced {
		wait = min(max(at-now, time.Millisecond), wait)
	}
	if p.timer == nil {
		p.timer = time.AfterFunc(wait, func() { d.wake(p) })
	} else {
		p.timer.Reset(wait)
	}
}

// wake starts what may start by the time or a changed capacity.
func (d *dispatcher) wake(p *dispatchPool) {
	now := d.cfg.Clock()
	d.mu.Lock()
	defer d.mu.Unlock()
	if now-p.readAt >= capacityAge {
		d.readCapacity(now, p)
	}
	d.startWaiting(now, p)
}

// stop rejects what waits, and keeps later requests from waiting. Further calls do nothing.
func (d *dispatcher) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return
	}
	d.stopped = true
	for _, p := range d.pools {
		for e := p.Last(); e != nil; e = p.Last() {
			p.Remove(e)
			e.Tag.(*waiter).reject(stopEndsRequest)
		}
		d.setTimer(0, p)
	}
}

// reject ends the wait of a request. The mutex must be held.
func (w *waiter) reject(reason dispatch.Reason) {
	w.rejected = reason
	close(w.done)
}

// arrival is what take has decided on a request.
type arrival struct {
	place    place   // if the request starts
	pressed  bool    // see dispatch.Pool.Pressed
	waiter   *waiter // if it waits
	rejected *rejection
}

// take takes a place for the request, has it wait for one, or rejects it.
func (d *dispatcher) take(f *forwarder) (a arrival) {
	now := d.cfg.Clock()
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pool(now, f.pool)
	request := f.dispatchRequest(p)
	if p.Start(now, &request) {
		p.metrics.starts.Inc(1)
		return arrival{place: place{p, dispatch.NewPlace(now, &request)}, pressed: p.Pressed()}
	}
	if d.stopped {
		p.metrics.countRejection(stopEndsRequest)
		return arrival{rejected: f.rejectStopped()}
	}
	w := &waiter{arrived: now, done: make(chan struct{})}
	entry, pushed, reason := p.Enqueue(now, request, w)
	if pushed != nil {
		pushed.Tag.(*waiter).reject(dispatch.ReasonQueueFull)
	}
	if reason != "" {
		return arrival{rejected: p.reject(now, &request, reason)}
	}
	w.entry = entry
	p.metrics.showWaiting(request.Priority, func(priority int) int {
		d.mu.Lock()
		defer d.mu.Unlock()
		return p.WaitingOf(priority)
	})
	d.startWaiting(now, p)
	return arrival{waiter: w}
}

// reject returns the rejection of a request that gets no place.
func (p *dispatchPool) reject(now time.Duration, r *dispatch.Request, reason dispatch.Reason) *rejection {
	p.metrics.countRejection(reason)
	rejected := &rejection{status: http.StatusServiceUnavailable, reason: string(reason)}
	rejected.base, rejected.spread = p.returnDelay(now, r)
	return rejected
}

// returnDelay returns when a rejected caller should return. One that has no time for that is told the
// usual delay: a rejection without one would say that a retry doesn't help.
func (p *dispatchPool) returnDelay(now time.Duration, r *dispatch.Request) (base, spread time.Duration) {
	if base, spread = p.RetryAfter(now, r); base <= 0 {
		return retryBase, retrySpread
	}
	return base, spread
}

// dispatchRequest describes the request for its place in the order.
func (f *forwarder) dispatchRequest(p *dispatchPool) dispatch.Request {
	first, work := f.describedWork(p)
	r := dispatch.Request{
		Priority: f.priority, Route: f.route.Name, Workspace: f.workspaceID(), Session: f.sessionKey(), Arrived: f.start, Target: f.deadline, Deadline: f.deadline,
		First: first, Described: work, Again: f.again,
	}
	if f.route.Target > 0 {
		r.Target = min(f.start-p.timeouts.spent(r.Arrived, f.route.Name, min(f.call.Timeout, f.route.Timeout))+f.route.Target, f.deadline)
	}
	p.Expect(&r)
	return r
}

const (
	// defaultPrefillRate is the number of prompt tokens that an engine is assumed to read per
	// millisecond, and tokenTime the time that it is assumed to take for a token of an answer, before
	// either is learned.
	defaultPrefillRate = 55.0
	tokenTime          = 6 * time.Millisecond
)

// describedWork returns the time from the request's start to the first part of its answer, and to its
// end, as its caller describes them. Shared parts of a prompt count as cached.
func (f *forwarder) describedWork(p *dispatchPool) (first, work time.Duration) {
	usual := p.ServiceTime()
	if f.pool.Engine == nil {
		return usual, usual
	}
	unread := f.call.PromptTokens
	if n := len(f.call.Parts); n > 1 {
		unread = min(unread, f.call.Parts[n-1].Tokens)
	}
	rate := p.prefillRate
	if rate <= 0 {
		rate = defaultPrefillRate
	}
	first = time.Duration(float64(unread) / rate * float64(time.Millisecond))
	work = first + time.Duration(f.call.OutputTokens)*tokenTime
	if f.call.OutputTokens == 0 {
		work = first + usual
	}
	if f.route.Kind != routes.KindStream {
		first = work
	}
	return first, work
}

// sessionKey returns what the requests of a session, or those of a hot key, have in common.
func (f *forwarder) sessionKey() uint64 {
	switch n := len(f.call.Parts); {
	case n >= 2:
		return f.call.Parts[n-2].ID
	case n == 1:
		return f.call.Parts[0].ID
	default:
		return f.fingerprint
	}
}

// holdsPlace reports whether the request may be sent to an upstream as far as its pool's room is
// concerned. A stream that has begun needs no place: it goes before everything that waits.
func (f *forwarder) holdsPlace() bool { return f.place.pool != nil || f.streamBegun() }

// takePlace takes a place at the pool, and waits for it if need be. It reports false if the request
// gets none; f.shed says why, unless its caller has left or the retry budget is spent.
func (f *forwarder) takePlace() bool {
	s := f.server
	if sends, _ := f.history.counts(); sends > 0 && !s.cfg.Balancer.MayRetry(s.cfg.Clock(), f.pool.Name, s.cfg.SessionState().Routers, f.retrySort()) {
		f.recordSpentBudget()
		return false
	}
	a := s.dispatch.take(f)
	if a.waiter != nil {
		a = f.awaitPlace(a.waiter)
	}
	if a.rejected != nil {
		f.shed, f.noAttempt = a.rejected, reasonShed
		if f.lastErr == nil || !f.isStopped() {
			f.lastErr = errShed.New("%s", a.rejected.reason)
		}
		return false
	}
	f.place, f.freeOnly = a.place, a.pressed
	return true
}

// awaitPlace waits until the waiter has a place or is rejected, or the caller leaves.
func (f *forwarder) awaitPlace(w *waiter) arrival {
	d, now := f.server.dispatch, f.server.cfg.Clock()
	timer := time.NewTimer(w.entry.GiveUp - now)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-f.ctx.Done():
	case <-timer.C:
	}
	ended := d.cfg.Clock()
	f.waited += ended - now
	f.ahead = max(f.ahead, w.entry.Ahead)
	return d.settle(f, w, ended)
}

// settle returns what has become of a request whose wait has ended.
func (d *dispatcher) settle(f *forwarder, w *waiter, now time.Duration) arrival {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pools[f.pool.Name]
	p.metrics.countWait(now - w.arrived)
	if p.Remove(w.entry) {
		w.rejected = dispatch.ReasonDeadline
		d.setTimer(now, p)
	}
	switch {
	case w.rejected == "":
		return arrival{place: w.place, pressed: w.pressed}
	case f.r.Context().Err() != nil:
		return arrival{rejected: unavailable(f.r.Context().Err().Error())} // nobody reads it
	case w.rejected == stopEndsRequest, f.isStopped():
		p.metrics.countRejection(stopEndsRequest)
		return arrival{rejected: f.rejectStopped()}
	default:
		return arrival{rejected: p.reject(now, &w.entry.Request, w.rejected)}
	}
}

// leavePlace gives the place back, if the request holds one; served is set if it was answered.
func (f *forwarder) leavePlace(served bool) {
	f.server.dispatch.give(f, func(now time.Duration, p place) { p.pool.Finish(now, p.Place, served) })
}

// give has end give back the place that the request holds, if any, and starts what may start then.
func (d *dispatcher) give(f *forwarder, end func(time.Duration, place)) {
	held := f.place
	if held.pool == nil {
		return
	}
	f.place = place{}
	now := d.cfg.Clock()
	d.mu.Lock()
	defer d.mu.Unlock()
	end(now, held)
	d.startWaiting(now, held.pool)
}

// recordFirst records that the first part of an attempt's answer has arrived.
func (f *forwarder) recordFirst(a *attempt, now time.Duration) {
	p := f.place.pool
	if p == nil {
		return
	}
	d := f.server.dispatch
	d.mu.Lock()
	defer d.mu.Unlock()
	p.RecordFirst(now-a.began, f.route.Target)
}

// block gives back a place for which no engine has a free slot, so that the request waits again.
func (d *dispatcher) block(f *forwarder) {
	f.again = true
	d.give(f, func(now time.Duration, p place) { p.pool.Block(now, p.Started) })
}

// unblock lets further requests start after one has found an engine with a free slot.
func (d *dispatcher) unblock(f *forwarder) {
	if !f.freeOnly || f.place.pool == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if f.place.pool.Unblock() {
		d.startWaiting(d.cfg.Clock(), f.place.pool)
	}
}

// recordRefusal records that an upstream has refused the request for want of room, and gives its place
// back. A request that may have run keeps it: it can't be rejected any more.
func (f *forwarder) recordRefusal(a *attempt) {
	if f.place.pool == nil || a.err == nil || !isRefusal(a) {
		return
	}
	f.refused = true
	f.place.pool.metrics.refused.Inc(1)
	if _, runs := f.history.counts(); runs == 0 {
		f.server.dispatch.give(f, func(now time.Duration, p place) { p.pool.Refuse(now, p.Started) })
		return
	}
	d := f.server.dispatch
	now := d.cfg.Clock()
	d.mu.Lock()
	defer d.mu.Unlock()
	f.place.pool.RecordRefusal(now, f.place.Started)
}

// isPressed reports whether a pool has little room, as of the latest reading of its capacity.
func (d *dispatcher) isPressed(pool *routes.Pool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pools[pool.Name]
	return p != nil && p.Pressed()
}

// retryDelay returns when the caller of a request that upstreams have refused should return.
func (d *dispatcher) retryDelay(f *forwarder) (base, spread time.Duration) {
	now := d.cfg.Clock()
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pool(now, f.pool)
	r := f.dispatchRequest(p)
	return p.returnDelay(now, &r)
}

// isRefusal reports whether an upstream lacked the room for an attempt: it has rejected it, or reset
// a new connection.
func isRefusal(a *attempt) bool {
	if errorx.IsOfType(a.err, errNotRun) {
		return !a.head.Misdirected && !a.head.Leaving
	}
	var failure *exchange.Error
	return errors.As(a.err, &failure) && !failure.Reused &&
		(errorx.IsOfType(failure.Cause, exchange.ErrReset) || errors.Is(failure.Cause, syscall.ECONNRESET))
}

// isLimitedToFree reports whether no upstream was found, and engines without a free slot were not
// asked.
func (f *forwarder) isLimitedToFree() bool { return f.freeOnly && f.noAttempt == reasonNoUpstream }

// hasFullEngine reports whether an engine would take the request if it had a free slot.
func (f *forwarder) hasFullEngine() bool {
	s := f.server
	return s.cfg.Balancer.HasFull(s.cfg.Clock(), f.balancerRequest(), s.cfg.SessionState())
}
