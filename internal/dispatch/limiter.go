package dispatch

import (
	"math"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/balance"
)

const (
	// lendFactor times a router's part of the idle slots is what it may start beyond its part of all
	// slots. The figures of idle slots are up to a second old, and the other routers see the
	// same ones: with 2, a router that gets 1.6 times the traffic that it is taken to get isn't
	// limited while a third of the slots is idle, and what all routers lend too much ends soon.
	lendFactor = 2.0
	// lendWindow is the time constant over which a paced pool must have had idle slots for them to be
	// lent. It is well over the age of the figures: by the current ones the rates of all routers
	// would rise and fall together.
	lendWindow = 2 * time.Second
	// pressureShare is the part of a pool's slots from which on it counts as under pressure.
	pressureShare = 0.85
	// usualWindow is the time constant of the usual number of running requests.
	usualWindow = time.Second
	// unreportedShare is the part of this router's growth that counts for each other router, as in
	// internal/balance: half of what one router sees between two reports may be chance.
	unreportedShare = 0.5
	// decrease is the part by which the refusal of one upstream lowers the limit of a pool with
	// few upstreams; in a larger pool the upstream's part of it counts.
	decrease = 0.3
	// increase is the part of the limit, per second, by which a lowered one is raised.
	increase = 0.1
	// minFactor bounds the lowering. At the rate that is left, the end of the overload shows.
	minFactor = 0.05
	// paceShare is the part of a pool's computed pace that routers use. At the whole of it the
	// upstreams' queues would grow without end.
	paceShare = 0.95
	// plainMargin times the slots of a plain pool is what routers start by count: its upstreams have a
	// queue, and a slot would otherwise be idle while an answer travels.
	plainMargin = 1.25
	// minPace is the least number of starts per second of a paced pool, so that a router with a
	// very small part of the demand doesn't hold a request for seconds.
	minPace = 1.0
	// calmDepth is the number of starts at once at a pool whose slots are mostly idle, and roomFactor
	// multiplies the pace at one with roomShare of them idle: requests that come by chance in twos needn't
	// wait for each other's parts of a second.
	calmDepth  = 3.0
	roomFactor = 4.0
	roomShare  = 0.25
	// coldBurst is the number of starts at once for each cold upstream, as in internal/balance.
	coldBurst = 2.0
	// unknownRefusals is the number of refusals within refusalWindow that limit a pool whose slots
	// aren't known.
	unknownRefusals = 4
	refusalWindow   = time.Second
	// quickQuantile is the quantile of the times at a plain pool that its pace rests on. While an
	// upstream is slow, or has a queue, most requests there take a multiple; a pace by their mean
	// would fall just then, and leave the other upstreams idle.
	quickQuantile = 0.3
	// defaultServiceTime is the time that a plain request is assumed to hold a slot before any has
	// ended.
	defaultServiceTime = 25 * time.Millisecond
)

// limiter bounds the requests that a router has running at one pool. It is not safe for concurrent
// use.
type limiter struct {
	engines  bool
	capacity balance.Capacity
	running  int     // places taken
	usual    float64 // moving mean of running
	usualAt  time.Duration
	idle     float64 // moving mean of the idle slots

	factor   float64 // lowers the limit after refusals, from minFactor to 1
	factorAt time.Duration
	cutAt    time.Duration // time of the latest decrease
	cut      bool          // there was one
	refusals int           // within refusalWindow from refusedAt on
	// refusedAt is the time of the first of refusals.
	refusedAt time.Duration
	startRate float64       // of a pool with unknown slots, per second
	rateLimit float64       // of a pool with unknown slots, per second; 0 for none
	paidUntil time.Duration // time up to which the starts of a paced pool are paid for

	// quick is a low quantile of that time at a plain pool: of requests that found a slot free at
	// an upstream that was not slow at that moment.
	quick   time.Duration
	latency latency
	hold    time.Duration // moving mean of the time that a request holds a place; 0 if unknown
}

// update records the pool's capacity, and the time, by which the limit rises after a refusal. While no
// upstream may get work, the former slots count: those that are stalled or ejected still get
// requests if there are no others, and must not get all that wait.
func (l *limiter) update(now time.Duration, c balance.Capacity) {
	if c.Upstreams == 0 {
		c.Slots, c.Running, c.Own = l.capacity.Slots, l.running, l.running
	}
	first, cold := l.capacity.Slots == 0, l.isCold()
	if l.engines && c.Upstreams > 0 {
		c.Slots = c.ColdSlots + int(l.latency.use*float64(c.Slots-c.ColdSlots))
	}
	l.capacity = c
	if first {
		l.idle = l.idleSlots()
	}
	if cold && !l.isCold() { // what was paid for at the cold upstreams' rate doesn't count at another
		l.paidUntil = min(l.paidUntil, now)
	}
	weight := 1 - math.Exp(-float64(now-l.usualAt)/float64(usualWindow))
	l.usual += weight * (float64(l.running) - l.usual)
	l.idle += (1 - math.Exp(-float64(now-l.usualAt)/float64(lendWindow))) * (l.idleSlots() - l.idle)
	l.usualAt = now
	passed := (now - l.factorAt).Seconds()
	l.factorAt = now
	l.factor = min(l.factor+increase*passed, 1)
	l.startRate *= 1 - weight
	if l.rateLimit *= 1 + increase*passed; now-l.cutAt > 10*refusalWindow {
		l.rateLimit = 0
	}
}

// slotShare returns this router's part of the pool's slots: its part of the demand, and all of those
// that only it may use.
func (l *limiter) slotShare() float64 {
	c := &l.capacity
	return float64(c.Slots-c.ColdSlots)*c.Share + float64(c.ColdSlots)
}

// part returns this router's part of the pool's slots, as lowered by refusals.
func (l *limiter) part() float64 {
	part := l.slotShare() * l.factor
	if !l.engines && !l.paced() {
		part *= plainMargin
	}
	return part
}

// isCold reports whether all upstreams that may get work are cold. Their rate then bounds the starts.
func (l *limiter) isCold() bool {
	return l.known() && l.capacity.ColdRate > 0 && l.capacity.ColdSlots == l.capacity.Slots
}

// fleetRunning estimates the requests of all routers at the pool. The others' have grown like this
// router's since the figures were taken, as far as its growth isn't chance.
func (l *limiter) fleetRunning() float64 {
	c := &l.capacity
	growth := max(float64(l.running)-l.usual-2*math.Sqrt(l.usual)-2, 0)
	others := max(1/max(c.Share, 1e-3)-1, 0)
	return float64(c.Running-c.Own+l.running) + unreportedShare*growth*others
}

// idleSlots returns the slots that no router uses.
func (l *limiter) idleSlots() float64 { return max(float64(l.capacity.Slots)-l.fleetRunning(), 0) }

// limit returns how many requests this router may have running: its part of the slots, and a part
// of those that others leave idle.
func (l *limiter) limit() float64 {
	idle := l.idleSlots()
	if l.paced() {
		idle = min(idle, l.idle)
	}
	return l.part() + lendFactor*l.capacity.Share*l.factor*idle
}

// known reports whether the pool's slots are known.
func (l *limiter) known() bool { return l.capacity.Slots > 0 }

// paced reports whether the starts are limited by their rate: a part of less than one slot can't be
// held to by counting.
func (l *limiter) paced() bool {
	if !l.known() {
		return l.rateLimit > 0
	}
	return l.isCold() || !l.engines && l.slotShare() < 1
}

// pressed reports whether the pool has little room left.
func (l *limiter) pressed() bool {
	return l.known() && (l.fleetRunning() >= pressureShare*float64(l.capacity.Slots) || float64(l.running) >= l.limit())
}

// serviceTime returns the usual time for which a request holds a slot.
func (l *limiter) serviceTime() time.Duration {
	switch {
	case !l.engines && l.quick > 0:
		return l.quick
	case l.capacity.ServiceTime > 0:
		return l.capacity.ServiceTime
	case l.hold > 0:
		return l.hold
	case l.engines:
		return defaultAnswerTime
	default:
		return defaultServiceTime
	}
}

// pace returns the starts per second and the number at once of a paced pool.
func (l *limiter) pace() (rate, depth float64) {
	if !l.known() {
		return max(l.rateLimit, minPace), calmDepth
	}
	if l.isCold() {
		return l.capacity.ColdRate, coldBurst * float64(max(l.capacity.Upstreams, 1))
	}
	slots := float64(l.capacity.Slots)
	depth = max(2*l.slotShare(), 1)
	rate = paceShare * l.latency.use * l.limit() / l.serviceTime().Seconds()
	if used := l.fleetRunning(); l.factor == 1 && used < (1-roomShare)*slots {
		rate *= roomFactor
		if used < slots/2 {
			depth = max(depth, calmDepth)
		}
	}
	return max(rate, minPace), depth
}

// nextStart returns the earliest time of the next start at a paced pool.
func (l *limiter) nextStart() time.Duration {
	rate, depth := l.pace()
	return l.paidUntil - time.Duration((depth-1)/rate*float64(time.Second))
}

// mayStart reports whether a request may start now.
func (l *limiter) mayStart(now time.Duration) bool {
	switch {
	case l.paced():
		return l.nextStart() <= now
	case !l.known():
		return true
	default:
		return l.running == 0 || float64(l.running) < l.limit()
	}
}

// start takes a place.
func (l *limiter) start(now time.Duration) {
	l.running++
	l.startRate += 1 / usualWindow.Seconds()
	if !l.paced() {
		return
	}
	rate, _ := l.pace()
	l.paidUntil = max(l.paidUntil, now) + time.Duration(float64(time.Second)/rate)
}

// finish gives a place back that was taken at started.
func (l *limiter) finish(now, started time.Duration, served bool) {
	l.running--
	if !served {
		return
	}
	held := now - started
	if !l.engines {
		l.recordHeld(held)
	}
	switch {
	case l.hold == 0:
		l.hold = held
	case l.engines || l.idleSlots() > 0: // while a plain pool is full, requests wait at its upstreams

		l.hold += time.Duration(estimateWeight * float64(min(held, maxHoldFactor*l.hold)-l.hold))
	}
}

// recordHeld adjusts quick towards the quickQuantile of the times for which requests hold a place.
func (l *limiter) recordHeld(held time.Duration) {
	switch {
	case l.quick == 0:
		l.quick = held
	case held < l.quick:
		l.quick -= time.Duration(estimateWeight * (1 - quickQuantile) * float64(l.quick))
	default:
		l.quick += time.Duration(estimateWeight * quickQuantile * float64(l.quick))
	}
	l.quick = max(l.quick, time.Millisecond)
}

// refuse lowers the limit because an upstream has refused a request that was started at the given
// time. Refusals of requests that were started before the latest decrease don't count: they are of
// the state that it answered.
func (l *limiter) refuse(now, started time.Duration) {
	if now-l.refusedAt > refusalWindow {
		l.refusals, l.refusedAt = 0, now
	}
	l.refusals++
	if l.cut && started <= l.cutAt || !l.known() && l.refusals < unknownRefusals {
		return
	}
	l.cut, l.cutAt = true, now
	part := min(decrease, 1/float64(max(l.capacity.Upstreams, 1)))
	if l.known() {
		l.factor = max(l.factor*(1-part), minFactor)
		return
	}
	if l.rateLimit == 0 {
		l.rateLimit = l.startRate
	}
	l.rateLimit *= 1 - part
}
