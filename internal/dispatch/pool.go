package dispatch

import (
	"math"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/balance"
)

const (
	// maxWaiting bounds the requests that wait at one pool of a router.
	maxWaiting = 512
	// waitShare divides a caller's time into the part that it may wait and be rejected nevertheless:
	// the rest leaves room for its return to another router.
	waitShare = 4
	// targetMargin is the part of the time up to the latest start for its target in which all that goes
	// before a request is expected to start. The estimate is rough, and the request itself has to
	// wait for a place after that.
	targetMargin = 0.5
	// estimateWeight is the weight of the newest request in learned times.
	estimateWeight = 0.05
	// maxHoldFactor bounds what one request adds to a learned time, as a multiple of it.
	maxHoldFactor = 4
	// minRatio and maxRatio bound the learned ratio of real to described work, and maxRoutes the routes
	// for which it is known.
	minRatio, maxRatio = 0.01, 10.0
	maxRoutes          = 1024
	// defaultAnswerTime is the time that an engine's answer is assumed to take before any has ended.
	defaultAnswerTime = 2 * time.Second
	// minRetryDelay is the shortest time after which a rejected caller should return.
	minRetryDelay = 50 * time.Millisecond
	// retryShare divides a caller's time left: it doesn't heed a longer Retry-After.
	retryShare = 3
	// longRetryShare is the part of that time after which the first of the callers return that a pool
	// rejects because more work arrives than can start.
	longRetryShare = 0.6
)

// Reason says why a request is rejected; empty if it isn't.
type Reason string

// The reasons of rejections.
const (
	// ReasonDeadline applies to a request that can't be answered in its time, by the queue ahead of
	// it.
	ReasonDeadline Reason = "the pool is overloaded: no answer is expected within the request's time"
	// ReasonQueueFull applies to the last request of a full queue.
	ReasonQueueFull Reason = "the pool is overloaded: its queue is full"
)

// Pool decides for one pool of upstreams which requests start, wait or are rejected. It is not safe
// for concurrent use.
type Pool struct {
	limiter limiter
	queue   queue
	// blocked is set while no upstream has room though the limit would allow a start. One request
	// then starts at a time, if mayProbe is set: more of them would find no room either.
	blocked, mayProbe bool
	// ratios holds by route the moving mean of the ratio of real to described work: callers describe
	// the most tokens that an answer may have.
	ratios map[string]float64
}

// NewPool returns a pool without requests; engines is set for a pool of engines.
func NewPool(engines bool) *Pool {
	return &Pool{limiter: limiter{engines: engines, factor: 1, latency: newLatency(engines)}, ratios: make(map[string]float64)}
}

// SetCapacity records what the pool can do. Waiting requests may start by it: see Next.
func (p *Pool) SetCapacity(now time.Duration, c balance.Capacity) {
	busy := float64(c.Running) >= busyShare*p.limiter.latency.use*float64(c.Slots)
	p.limiter.latency.update(now, busy || p.limiter.paced(), p.queue.waiting > 0)
	p.limiter.update(now, c)
	p.mayProbe = true
}

// mayStart reports whether a request may start now.
func (p *Pool) mayStart(now time.Duration) bool {
	return (!p.blocked || p.mayProbe) && p.limiter.mayStart(now)
}

// start takes a place.
func (p *Pool) start(now time.Duration) {
	p.mayProbe = false
	p.limiter.start(now)
}

// Start takes a place for a request that arrives, and reports whether there was one. It counts the
// request towards the demand.
func (p *Pool) Start(now time.Duration, r *Request) bool {
	if !r.Again {
		p.queue.classes[r.priority()].recordArrival(now, r.Workspace, r.Work.Seconds())
	}
	if p.queue.waiting > 0 || !p.mayStart(now) {
		return false
	}
	p.start(now)
	return true
}

// Enqueue adds a request that Start has not started. It returns the entry, or a reason if the
// request is rejected instead. pushed is an entry that had to leave a full queue for it, or nil.
func (p *Pool) Enqueue(now time.Duration, r Request, tag any) (e, pushed *Entry, reason Reason) {
	giveUp := min(r.Arrived+(r.Deadline-r.Arrived)/waitShare, r.Deadline-r.Work)
	if now >= giveUp || !r.Again && !p.inTime(now, &r, giveUp) {
		return nil, nil, ReasonDeadline
	}
	e = &Entry{Request: r, Tag: tag, GiveUp: giveUp, Ahead: p.queue.waiting}
	p.queue.add(now, e)
	if p.queue.waiting <= maxWaiting {
		return e, nil, ""
	}
	last := p.queue.last()
	p.queue.remove(last)
	if last == e {
		return nil, nil, ReasonQueueFull
	}
	return e, last, ""
}

// inTime reports whether the request is expected to start in time: with a margin for its target, or
// else before it has to give up.
func (p *Pool) inTime(now time.Duration, r *Request, giveUp time.Duration) bool {
	c := &p.queue.classes[r.priority()]
	ahead := c.ahead(r)
	if target := r.latestForTarget() - now; target > 0 && p.wait(now, r, ahead, 0) <= time.Duration(targetMargin*float64(target)) {
		return true
	}
	return now+p.wait(now, r, ahead+r.Work.Seconds(), c.comingBefore(now, r.Workspace)) <= giveUp
}

// wait estimates the time in which the given work of the request's priority has started, in seconds,
// while more of it comes that goes before it, in slots. What is more urgent goes before both, up to
// the part that the priority gets in any case.
func (p *Pool) wait(now time.Duration, r *Request, work, coming float64) time.Duration {
	class, limit := r.priority(), p.pace()
	all := max(p.queue.weight(now), 1e-6)
	wait := math.Inf(1)
	if left := minShare*limit*p.queue.classes[class].weight(now)/all - coming; left > 0 {
		wait = work / left
	}
	for i := range class {
		c := &p.queue.classes[i]
		work += c.work
		coming += c.demand.current(now)
	}
	if left := limit - coming; left > 0 {
		wait = min(wait, work/left)
	}
	expected := seconds(wait)
	if next, paced := p.NextStart(); paced {
		expected = max(expected, next-now)
	}
	return expected
}

// pace returns the work that starts per second, in slots.
func (p *Pool) pace() float64 {
	l := &p.limiter
	if l.paced() {
		rate, _ := l.pace()
		return rate * l.serviceTime().Seconds()
	}
	return max(l.limit(), 1)
}

// seconds returns a number of seconds as a duration of at most an hour.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, time.Hour.Seconds()) * float64(time.Second))
}

// Next takes a place for the request that starts next, and takes it out of the queue. It returns nil
// if none may start now.
func (p *Pool) Next(now time.Duration) *Entry {
	if !p.mayStart(now) {
		return nil
	}
	e := p.queue.first(now)
	if e == nil {
		return nil
	}
	p.queue.start(now, e)
	p.start(now)
	return e
}

// Remove takes an entry out of the queue, because its caller has left or it is rejected. It reports
// false if the entry has started or been removed.
func (p *Pool) Remove(e *Entry) bool { return p.queue.remove(e) }

// Last returns the entry that is given up first, or nil.
func (p *Pool) Last() *Entry { return p.queue.last() }

// Place is a place that a request holds: since when, and what was expected of it.
type Place struct {
	Started, Described time.Duration
	Route              string
}

// NewPlace returns the place of a request that starts.
func NewPlace(now time.Duration, r *Request) Place { return Place{now, r.Described, r.Route} }

// Expect sets the expected work of a request: what its caller describes, as far as that fits into its
// time, times the ratio that earlier requests of its route show. At a plain pool it is what is
// described.
func (p *Pool) Expect(r *Request) {
	r.Described = min(r.Described, max(r.Deadline-r.Arrived, 0))
	r.Work = r.Described
	if ratio, ok := p.ratios[r.Route]; ok && p.limiter.engines {
		r.Work = max(time.Duration(ratio*float64(r.Described)), r.First)
	}
}

// RecordFirst records the time that the first part of an answer took at an upstream, for a request that
// was to be answered within target; 0 for none.
func (p *Pool) RecordFirst(took, target time.Duration) { p.limiter.latency.record(took, target) }

// Finish gives back the place of a request. served is set if it was answered.
func (p *Pool) Finish(now time.Duration, place Place, served bool) {
	p.limiter.finish(now, place.Started, served)
	p.mayProbe = true
	if served && place.Described > 0 && p.limiter.engines {
		p.learn(place.Route, float64(now-place.Started)/float64(place.Described))
	}
}

// learn records the ratio of real to described work of a request of the route.
func (p *Pool) learn(route string, ratio float64) {
	ratio = min(max(ratio, minRatio), maxRatio)
	if former, ok := p.ratios[route]; ok {
		ratio = former + estimateWeight*(ratio-former)
	} else if len(p.ratios) >= maxRoutes {
		clear(p.ratios)
	}
	p.ratios[route] = ratio
}

// Refuse gives back the place of a request that an upstream has refused, and lowers the limit.
func (p *Pool) Refuse(now, started time.Duration) {
	p.limiter.finish(now, started, false)
	p.RecordRefusal(now, started)
}

// RecordRefusal lowers the limit because an upstream has refused a request, which keeps its place.
func (p *Pool) RecordRefusal(now, started time.Duration) { p.limiter.refuse(now, started) }

// Block gives back a place for which no upstream has room. Nothing starts until another place is given
// back or the capacity is set, and then one request until Unblock.
func (p *Pool) Block(now, started time.Duration) {
	p.limiter.finish(now, started, false)
	p.blocked, p.mayProbe = true, false
}

// Unblock records that a request has found an upstream with room. It reports whether others may
// start by it: see Next.
func (p *Pool) Unblock() bool {
	was := p.blocked
	p.blocked = false
	return was
}

// Pressed reports whether the pool has little room, or requests wait.
func (p *Pool) Pressed() bool { return p.queue.waiting > 0 || p.blocked || p.limiter.pressed() }

// Waiting returns the number of requests that wait.
func (p *Pool) Waiting() int { return p.queue.waiting }

// WaitingOf returns the number of requests of a priority that wait.
func (p *Pool) WaitingOf(priority int) int {
	r := Request{Priority: priority}
	return p.queue.classes[r.priority()].waiting
}

// Limit returns how many requests this router may have running, 0 if the pool's slots are unknown, and
// its part of the pool's demand.
func (p *Pool) Limit() (limit, share float64) {
	return p.limiter.limit(), p.limiter.capacity.Share
}

// NextStart returns the earliest time of the next start at a pool whose starts are paced.
func (p *Pool) NextStart() (at time.Duration, paced bool) {
	if !p.limiter.paced() {
		return 0, false
	}
	return p.limiter.nextStart(), true
}

// ServiceTime returns the usual time for which a request holds a place.
func (p *Pool) ServiceTime() time.Duration { return p.limiter.serviceTime() }

// overloaded reports whether more work arrives than can start.
func (p *Pool) overloaded(now time.Duration) bool {
	coming := 0.0
	for i := range p.queue.classes {
		coming += p.queue.classes[i].demand.current(now)
	}
	return coming > p.pace()
}

// RetryAfter returns when a rejected caller should return: after base and a random part of spread.
// They are 0 if it has no time for a return.
func (p *Pool) RetryAfter(now time.Duration, r *Request) (base, spread time.Duration) {
	left := r.Deadline - now
	most := left / retryShare
	if p.limiter.engines && p.overloaded(now) {
		// The callers that are rejected come again beside those that come anew. All who can wait are
		// told to, so that fewer of them are rejected twice. Those of plain pools have too little time.
		base, spread = time.Duration(longRetryShare*float64(most)), time.Duration((1-longRetryShare)*float64(most))
		if left-most < r.First {
			return 0, 0
		}
		return base, spread
	}
	worked := max(seconds(p.queue.work/p.pace()), minRetryDelay)
	base = min(worked, most/2)
	spread = min(worked, most-base)
	if left-base-spread < r.First || base < minRetryDelay/retryShare {
		return 0, 0
	}
	return base, spread
}
