package session

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// testLeader is a control leader with a leader lease that it renews until it
// is cut off.
type testLeader struct {
	clock   testClock
	grantor *Grantor
	proof   Proof
	cut     bool
}

// testRouter is one process of a router.
type testRouter struct {
	name        string
	clock       testClock
	holder      *Holder
	frozenUntil time.Duration
	muteUntil   time.Duration // what it sends is lost
	deafUntil   time.Duration // what is sent to it is lost
	dead        bool
	leaving     bool
	draining    bool
}

// faults says how often what goes wrong, per chance.
type faults struct {
	drift                        float64
	loss, duplicate, slow        float64
	freeze, crash, zombie, leave float64
	drain                        float64       // of one router, or its end
	cut                          float64       // of one router, one way or both
	stall                        float64       // of the leader between reading its clock and acting
	cutLeader                    time.Duration // mean time between cuts; 0 means none
	misroute                     float64       // of a renewal to the former leader
	reelect                      float64       // of a leader from before the last one
	every                        time.Duration // mean time between faults of routers
}

var everyFault = faults{
	drift: 0.004, loss: 0.1, duplicate: 0.1, slow: 0.1,
	freeze: 0.3, crash: 0.2, zombie: 0.1, leave: 0.2, drain: 0.2, cut: 0.3, stall: 0.02, misroute: 0.2, reelect: 0.4, cutLeader: 8 * time.Second,
	every: 2 * time.Second,
}

const (
	testStep        = 50 * time.Millisecond
	testLeaderLease = time.Second
	testElection    = 500 * time.Millisecond // at most
	testWarmUp      = 3 * time.Second
	testRouters     = 4
	testKeys        = 6
)

// world runs a fleet on a virtual clock. The control log is reduced to what
// consensus promises: one leader lease at a time, and commands in one order.
type world struct {
	rng       *rand.Rand
	settings  Settings
	faults    faults
	now       time.Duration
	events    eventQueue
	seq       int
	roster    *Roster
	inFlight  []Command // proposed by a leader, not committed yet
	leader    *testLeader
	former    *testLeader
	routers   []*testRouter
	boots     int
	term      uint64
	owners    map[string]fleet.InstanceID // cache of the ownership function
	violation string
	ownedAt   [testKeys]time.Duration // last instant with an owner
	gaps      []time.Duration
}

func newWorld(seed uint64, settings Settings, f faults) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 1)), settings: settings, faults: f,
		roster: NewRoster(settings), owners: map[string]fleet.InstanceID{},
	}
	w.startLeader()
	for i := range testRouters {
		w.startRouter(fmt.Sprintf("r%d", i))
	}
	w.every(testStep, w.step)
	if f.cutLeader > 0 {
		w.after(w.spread(f.cutLeader), w.cutLeader)
	}
	if f.every > 0 {
		w.after(testWarmUp, w.fault)
	}
	return w
}

// run advances the world to the given true time or to the first violation.
func (w *world) run(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= until && w.violation == "" {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
		w.check()
	}
}

func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.events, event{w.now + d, w.seq, run})
}

func (w *world) every(d time.Duration, run func()) {
	w.after(d, func() { run(); w.every(d, run) })
}

// spread draws from an exponential distribution with the given mean.
func (w *world) spread(mean time.Duration) time.Duration {
	return time.Duration(w.rng.ExpFloat64() * float64(mean))
}

func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

func (w *world) newClock() testClock {
	drift := w.faults.drift * (2*w.rng.Float64() - 1)
	return testClock{rate: 1 + drift, offset: time.Duration(w.rng.Int64N(int64(time.Hour)))}
}

func (w *world) startLeader() {
	// Entries that the former leader left in the log may be committed first.
	for _, cmd := range w.inFlight {
		if w.chance(0.5) {
			w.commit(cmd)
		}
	}
	w.inFlight = nil
	w.restore()
	w.term++
	l := w.former
	if l == nil || !w.chance(w.faults.reelect) {
		l = &testLeader{clock: w.newClock()}
	}
	now := l.clock.at(w.now)
	l.cut, l.proof = false, Proof{Term: w.term, Until: now + testLeaderLease}
	w.former, w.leader = w.leader, l
	if l.grantor == nil {
		l.grantor = NewGrantor(now, w.term, w.settings, w.roster, 1)
		return
	}
	// It has led before, and takes a while to put its former Grantor away.
	term := w.term
	w.after(w.spread(200*time.Millisecond), func() {
		if l.proof.Term == term {
			l.grantor = NewGrantor(l.clock.at(w.now), term, w.settings, w.roster, 1)
		}
	})
}

// restore replaces the roster by one made from its snapshot.
func (w *world) restore() {
	snapshot, _ := w.roster.Snapshot()
	w.roster = NewRoster(w.settings)
	if err := w.roster.Restore(snapshot); err != nil {
		w.violation = err.Error()
	}
}

// cutLeader cuts the leader off; the next one starts after its leader lease.
func (w *world) cutLeader() {
	if w.faults.cutLeader == 0 {
		return
	}
	w.leader.cut = true
	end := w.leader.clock.trueTime(w.leader.proof.Until) + time.Millisecond
	w.after(max(0, end-w.now)+time.Duration(w.rng.Int64N(int64(testElection))), func() {
		w.startLeader()
		w.after(w.spread(w.faults.cutLeader), w.cutLeader)
	})
}

func (w *world) startRouter(name string) {
	w.boots++
	self := fleet.Member{ID: fleet.InstanceID(name), Boot: fleet.BootID(strconv.Itoa(w.boots)), Addr: name}
	w.routers = append(w.routers, &testRouter{
		name: name, clock: w.newClock(), holder: NewHolder(w.settings, self, w.owner),
	})
}

// step lets every process do its periodic work.
func (w *world) step() {
	l := w.leader
	if now := l.clock.at(w.now); !l.cut {
		l.proof.Until = now + testLeaderLease
		for _, cmd := range l.grantor.Tick(now, l.proof) {
			w.propose(l, cmd)
		}
		w.notice(l)
	}
	for _, r := range w.routers {
		if !r.dead && w.now >= r.frozenUntil {
			w.renewDue(r, r.clock.at(w.now))
		}
	}
}

func (w *world) renewDue(r *testRouter, now time.Duration) {
	if now >= r.holder.NextRenewal() {
		w.renew(r, now)
	}
}

func (w *world) propose(l *testLeader, cmd Command) {
	w.inFlight = append(w.inFlight, cmd)
	w.after(5*time.Millisecond+w.spread(20*time.Millisecond), func() {
		if l != w.leader || l.cut || len(w.inFlight) == 0 {
			return
		}
		w.commit(w.inFlight[0])
		w.inFlight = w.inFlight[1:]
		l.grantor.Committed(l.clock.at(w.now), w.roster)
		w.notice(l)
	})
}

// notice tells every router what is new.
func (w *world) notice(l *testLeader) {
	n, changed := l.grantor.Notice(l.clock.at(w.now), l.proof)
	if !changed {
		return
	}
	for _, r := range w.routers {
		w.send(func() {
			if !r.dead && w.now >= r.frozenUntil && w.now >= r.deafUntil {
				now := r.clock.at(w.now)
				r.holder.Notice(now, n)
				w.renewDue(r, now)
			}
		})
	}
}

func (w *world) commit(cmd Command) {
	b, _ := cmd.MarshalMsg(nil)
	w.roster.Apply(0, b)
}

func (w *world) renew(r *testRouter, now time.Duration) {
	l := w.leader
	if w.former != nil && w.chance(w.faults.misroute) {
		l = w.former
	}
	req := r.holder.Request(now, 1, []PoolLoad{{Pool: "llm", InFlight: 0, Upstreams: 1}})
	wire, _ := req.MarshalMsg(nil)
	if w.now < r.muteUntil {
		return
	}
	w.send(func() {
		now, proof := l.clock.at(w.now), l.proof
		if !w.chance(w.faults.stall) {
			w.answer(l, r, wire, now, proof)
			return
		}
		w.after(w.spread(3*time.Second), func() { w.answer(l, r, wire, now, proof) })
	})
}

// answer lets the leader answer, as of now on its clock; a cut leader still
// hears some routers.
func (w *world) answer(l *testLeader, r *testRouter, wire []byte, now time.Duration, proof Proof) {
	var req RenewRequest
	if _, err := req.UnmarshalMsg(wire); err != nil {
		w.violation = err.Error()
		return
	}
	reply, _ := l.grantor.Renew(now, proof, &req).MarshalMsg(nil)
	w.send(func() { w.deliver(r, reply) })
	w.notice(l)
}

// deliver hands a reply to a router, once it is awake.
func (w *world) deliver(r *testRouter, wire []byte) {
	if w.now < r.deafUntil {
		return
	}
	if w.now < r.frozenUntil {
		w.after(r.frozenUntil-w.now, func() { w.deliver(r, wire) })
		return
	}
	var reply RenewReply
	if _, err := reply.UnmarshalMsg(wire); err != nil {
		w.violation = err.Error()
		return
	}
	if !r.dead {
		r.holder.Take(r.clock.at(w.now), &reply)
		w.renewDue(r, r.clock.at(w.now))
	}
	if r.leaving && r.holder.Left() && !r.dead {
		r.dead = true
		w.startRouter(r.name)
	}
}

// send delivers a message after a delay, or never, or twice.
func (w *world) send(deliver func()) {
	if w.chance(w.faults.loss) {
		return
	}
	for copies := 1; copies > 0; copies-- {
		delay := time.Millisecond + w.spread(2*time.Millisecond)
		if w.chance(w.faults.slow) {
			delay = w.spread(3 * time.Second)
		}
		w.after(delay, deliver)
		if w.chance(w.faults.duplicate) {
			copies++
		}
	}
}

// fault lets one thing go wrong at a random live router.
func (w *world) fault() {
	w.after(w.spread(w.faults.every), w.fault)
	r := w.routers[w.rng.IntN(len(w.routers))]
	if r.dead || r.leaving {
		return
	}
	switch {
	case w.chance(w.faults.freeze):
		r.frozenUntil = w.now + w.spread(3*time.Second)
	case w.chance(w.faults.crash):
		r.dead = true
		w.after(w.spread(time.Second), func() { w.startRouter(r.name) })
	case w.chance(w.faults.zombie):
		// The platform starts a second process while the first is frozen.
		r.frozenUntil = w.now + w.spread(6*time.Second)
		w.startRouter(r.name)
	case w.chance(w.faults.drain):
		r.draining = !r.draining
		r.holder.Drain(r.clock.at(w.now), r.draining)
	case w.chance(w.faults.cut):
		length := w.spread(4 * time.Second)
		way := w.rng.IntN(3)
		if way != 1 {
			r.muteUntil = w.now + length
		}
		if way != 0 {
			r.deafUntil = w.now + length
		}
	case w.chance(w.faults.leave):
		r.leaving = true
		r.holder.Leave()
	}
}
