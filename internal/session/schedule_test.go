package session

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// testLeader is a control leader that renews its leader lease until it is cut off.
type testLeader struct {
	clock   testClock
	grantor *Grantor
	proof   Proof
	cut     bool // it no longer renews its leader lease
}

// testRouter is one boot of a router.
type testRouter struct {
	name             string
	clock            testClock
	holder           *Holder
	frozenUntil      time.Duration
	outboundCutUntil time.Duration // messages from it are lost
	inboundCutUntil  time.Duration // messages to it are lost
	stopped          bool
	leaving          bool
	draining         bool
}

// faults are the probabilities and mean intervals of the faults that a simulation
// injects.
type faults struct {
	drift                               float64
	loss, duplicate, slow               float64
	freeze, crash, secondProcess, leave float64       // secondProcess: start another process while the first is frozen
	drain                               float64       // start or end the draining of a router
	cut                                 float64       // cut a router off, in one or both directions
	stall                               float64       // suspend the leader between reading its clock and acting
	cutLeader                           time.Duration // mean time between leader changes; 0 means none
	misroute                            float64       // send a renewal to the former leader
	reelect                             float64       // elect the former leader again
	faultInterval                       time.Duration // mean time between router faults
}

var everyFault = faults{
	drift: 0.004, loss: 0.1, duplicate: 0.1, slow: 0.1,
	freeze: 0.3, crash: 0.2, secondProcess: 0.1, leave: 0.2, drain: 0.2, cut: 0.3, stall: 0.02, misroute: 0.2, reelect: 0.4, cutLeader: 8 * time.Second,
	faultInterval: 2 * time.Second,
}

const (
	testStep        = 50 * time.Millisecond
	testLeaderLease = time.Second
	testElection    = 500 * time.Millisecond // maximum
	testWarmUp      = 3 * time.Second
	testRouters     = 4
	testKeys        = 6
)

// simulation runs a fleet on a virtual clock. It models only the guarantees of the
// control log: one leader lease at a time, and commands in one order.
type simulation struct {
	rng       *rand.Rand
	settings  Settings
	faults    faults
	now       time.Duration
	events    eventQueue
	seq       int
	roster    *Roster
	inFlight  []Command // proposed by the leader, not committed yet
	leader    *testLeader
	former    *testLeader // the previous leader, which receives misrouted renewals
	routers   []*testRouter
	boots     int
	term      uint64
	owners    map[string]fleet.InstanceID // cache of the ownership function
	violation string
	ownedAt   [testKeys]time.Duration // last instant with an owner
	gaps      []time.Duration         // times for which a key had no owner
}

func newSimulation(seed uint64, settings Settings, f faults) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), settings: settings, faults: f,
		roster: NewRoster(settings), owners: map[string]fleet.InstanceID{},
	}
	sim.startLeader()
	for i := range testRouters {
		sim.startRouter(fmt.Sprintf("r%d", i))
	}
	sim.every(testStep, sim.tick)
	if f.cutLeader > 0 {
		sim.after(sim.expRandom(f.cutLeader), sim.cutLeader)
	}
	if f.faultInterval > 0 {
		sim.after(testWarmUp, sim.injectFault)
	}
	return sim
}

// run advances the simulation to the given true time or to the first violation.
func (sim *simulation) run(until time.Duration) {
	for len(sim.events) > 0 && sim.events[0].at <= until && sim.violation == "" {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.run()
		sim.checkOwners()
	}
}

func (sim *simulation) after(d time.Duration, run func()) {
	sim.seq++
	heap.Push(&sim.events, event{sim.now + d, sim.seq, run})
}

func (sim *simulation) every(d time.Duration, run func()) {
	sim.after(d, func() { run(); sim.every(d, run) })
}

// expRandom draws from an exponential distribution with the given mean.
func (sim *simulation) expRandom(mean time.Duration) time.Duration {
	return time.Duration(sim.rng.ExpFloat64() * float64(mean))
}

func (sim *simulation) chance(p float64) bool { return sim.rng.Float64() < p }

func (sim *simulation) newClock() testClock {
	drift := sim.faults.drift * (2*sim.rng.Float64() - 1)
	return testClock{rate: 1 + drift, offset: time.Duration(sim.rng.Int64N(int64(time.Hour)))}
}

// startLeader starts the next term, with a new leader or with the former one.
func (sim *simulation) startLeader() {
	// Entries of the former leader in the log may be committed first.
	for _, cmd := range sim.inFlight {
		if sim.chance(0.5) {
			sim.commit(cmd)
		}
	}
	sim.inFlight = nil
	sim.restoreRoster()
	sim.term++
	l := sim.former
	if l == nil || !sim.chance(sim.faults.reelect) {
		l = &testLeader{clock: sim.newClock()}
	}
	now := l.clock.at(sim.now)
	l.cut, l.proof = false, Proof{Term: sim.term, Until: now + testLeaderLease}
	sim.former, sim.leader = sim.leader, l
	if l.grantor == nil {
		l.grantor = NewGrantor(now, sim.term, sim.settings, sim.roster, 1)
		return
	}
	// A re-elected leader replaces the Grantor of its former term only after a delay, so
	// that some renewals of the new term reach the old Grantor.
	term := sim.term
	sim.after(sim.expRandom(200*time.Millisecond), func() {
		if l.proof.Term == term {
			l.grantor = NewGrantor(l.clock.at(sim.now), term, sim.settings, sim.roster, 1)
		}
	})
}

// restoreRoster replaces the roster by one restored from its snapshot.
func (sim *simulation) restoreRoster() {
	snapshot, _ := sim.roster.Snapshot()
	sim.roster = NewRoster(sim.settings)
	if err := sim.roster.Restore(snapshot); err != nil {
		sim.violation = err.Error()
	}
}

// cutLeader cuts the leader off. The next leader starts after the leader lease.
func (sim *simulation) cutLeader() {
	if sim.faults.cutLeader == 0 {
		return
	}
	sim.leader.cut = true
	end := sim.leader.clock.trueTime(sim.leader.proof.Until) + time.Millisecond
	sim.after(max(0, end-sim.now)+time.Duration(sim.rng.Int64N(int64(testElection))), func() {
		sim.startLeader()
		sim.after(sim.expRandom(sim.faults.cutLeader), sim.cutLeader)
	})
}

func (sim *simulation) startRouter(name string) {
	sim.boots++
	self := fleet.Member{ID: fleet.InstanceID(name), Boot: fleet.BootID(strconv.Itoa(sim.boots)), Addr: name}
	sim.routers = append(sim.routers, &testRouter{
		name: name, clock: sim.newClock(), holder: NewHolder(sim.settings, self, sim.owner),
	})
}

// tick renews the leader lease, proposes due commands and sends due renewals.
func (sim *simulation) tick() {
	l := sim.leader
	if now := l.clock.at(sim.now); !l.cut {
		l.proof.Until = now + testLeaderLease
		for _, cmd := range l.grantor.Tick(now, l.proof) {
			sim.propose(l, cmd)
		}
		sim.sendNotice(l)
	}
	for _, r := range sim.routers {
		if !r.stopped && sim.now >= r.frozenUntil {
			sim.renewIfDue(r, r.clock.at(sim.now))
		}
	}
}

func (sim *simulation) renewIfDue(r *testRouter, now time.Duration) {
	if now >= r.holder.NextRenewal() {
		sim.renew(r, now)
	}
}

// propose appends a command to the log, which commits it after a random delay unless the
// leader was cut off or replaced before.
func (sim *simulation) propose(l *testLeader, cmd Command) {
	sim.inFlight = append(sim.inFlight, cmd)
	sim.after(5*time.Millisecond+sim.expRandom(20*time.Millisecond), func() {
		if l != sim.leader || l.cut || len(sim.inFlight) == 0 {
			return
		}
		sim.commit(sim.inFlight[0])
		sim.inFlight = sim.inFlight[1:]
		l.grantor.SetRoster(l.clock.at(sim.now), sim.roster)
		sim.sendNotice(l)
	})
}

// sendNotice sends a changed notice to every router.
func (sim *simulation) sendNotice(l *testLeader) {
	n, changed := l.grantor.NextNotice(l.clock.at(sim.now), l.proof)
	if !changed {
		return
	}
	for _, r := range sim.routers {
		sim.send(func() {
			if !r.stopped && sim.now >= r.frozenUntil && sim.now >= r.inboundCutUntil {
				now := r.clock.at(sim.now)
				r.holder.HandleNotice(now, n)
				sim.renewIfDue(r, now)
			}
		})
	}
}

func (sim *simulation) commit(cmd Command) {
	b, _ := cmd.MarshalMsg(nil)
	sim.roster.Apply(0, b)
}

// renew sends a renewal of r to the leader, or to the former one.
func (sim *simulation) renew(r *testRouter, now time.Duration) {
	l := sim.leader
	if sim.former != nil && sim.chance(sim.faults.misroute) {
		l = sim.former
	}
	req := r.holder.Request(now, 1, []PoolLoad{{Pool: "llm", InFlight: 0, Upstreams: 1}})
	wire, _ := req.MarshalMsg(nil)
	if sim.now < r.outboundCutUntil {
		return
	}
	sim.send(func() {
		now, proof := l.clock.at(sim.now), l.proof
		if !sim.chance(sim.faults.stall) {
			sim.handleRenewal(l, r, wire, now, proof)
			return
		}
		sim.after(sim.expRandom(3*time.Second), func() { sim.handleRenewal(l, r, wire, now, proof) })
	})
}

// handleRenewal has the leader handle a renewal as of now on its clock. A leader that is
// cut off still receives misrouted renewals.
func (sim *simulation) handleRenewal(l *testLeader, r *testRouter, wire []byte, now time.Duration, proof Proof) {
	var req RenewRequest
	if _, err := req.UnmarshalMsg(wire); err != nil {
		sim.violation = err.Error()
		return
	}
	reply, _ := l.grantor.Renew(now, proof, &req).MarshalMsg(nil)
	sim.send(func() { sim.deliver(r, reply) })
	sim.sendNotice(l)
}

// deliver passes a reply to a router, once it is awake.
func (sim *simulation) deliver(r *testRouter, wire []byte) {
	if sim.now < r.inboundCutUntil {
		return
	}
	if sim.now < r.frozenUntil {
		sim.after(r.frozenUntil-sim.now, func() { sim.deliver(r, wire) })
		return
	}
	var reply RenewReply
	if _, err := reply.UnmarshalMsg(wire); err != nil {
		sim.violation = err.Error()
		return
	}
	if !r.stopped {
		r.holder.HandleReply(r.clock.at(sim.now), &reply)
		sim.renewIfDue(r, r.clock.at(sim.now))
	}
	if r.leaving && r.holder.HasLeft() && !r.stopped {
		r.stopped = true
		sim.startRouter(r.name)
	}
}

// send delivers a message after a delay; it may lose or duplicate it.
func (sim *simulation) send(deliver func()) {
	if sim.chance(sim.faults.loss) {
		return
	}
	for copies := 1; copies > 0; copies-- {
		delay := time.Millisecond + sim.expRandom(2*time.Millisecond)
		if sim.chance(sim.faults.slow) {
			delay = sim.expRandom(3 * time.Second)
		}
		sim.after(delay, deliver)
		if sim.chance(sim.faults.duplicate) {
			copies++
		}
	}
}

// injectFault injects one fault at a random running router.
func (sim *simulation) injectFault() {
	sim.after(sim.expRandom(sim.faults.faultInterval), sim.injectFault)
	r := sim.routers[sim.rng.IntN(len(sim.routers))]
	if r.stopped || r.leaving {
		return
	}
	switch {
	case sim.chance(sim.faults.freeze):
		r.frozenUntil = sim.now + sim.expRandom(3*time.Second)
	case sim.chance(sim.faults.crash):
		r.stopped = true
		sim.after(sim.expRandom(time.Second), func() { sim.startRouter(r.name) })
	case sim.chance(sim.faults.secondProcess):
		// The platform starts a second process while the first is frozen.
		r.frozenUntil = sim.now + sim.expRandom(6*time.Second)
		sim.startRouter(r.name)
	case sim.chance(sim.faults.drain):
		r.draining = !r.draining
		r.holder.Drain(r.clock.at(sim.now), r.draining)
	case sim.chance(sim.faults.cut):
		length := sim.expRandom(4 * time.Second)
		way := sim.rng.IntN(3)
		if way != 1 {
			r.outboundCutUntil = sim.now + length
		}
		if way != 0 {
			r.inboundCutUntil = sim.now + length
		}
	case sim.chance(sim.faults.leave):
		r.leaving = true
		r.holder.Leave()
	}
}
