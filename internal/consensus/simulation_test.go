package consensus

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// simulation runs replicas on a virtual clock. One seed determines all events.
type simulation struct {
	rng       *rand.Rand
	now       time.Duration // true time
	events    events
	seq       uint64
	members   []*simMember
	peers     []Peer
	blocked   map[[2]MemberID]bool // from, to
	loss      float64
	duplicate float64
	delay     time.Duration // largest one-way delay
	faults    faults
	check     *checker
	onAck     func() // called once, after the next acknowledgement
	opts      Options
	measure   bool
	bytes     int // of messages sent while measure is set
	sent      int
}

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].seq < e[j].seq)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// simMember is one simulated member: a clock, a disk, and a replica while it runs.
type simMember struct {
	sim         *simulation
	id          MemberID
	rate        float64 // of its clock
	offset      time.Duration
	disk        *memDisk
	replica     *replica // nil while stopped
	machine     *hashChain
	frozen      bool
	deferred    []func()
	timerAt     time.Duration // true time of the newest armed tick
	boots       int
	needsRepair bool   // the disk was lost or the member was removed, and it isn't a voter again yet
	term        uint64 // at the checker's last check
	role        Role
	checked     uint64 // committed entries, which the checker doesn't compare again
}

// timerSlack is added to a member's deadline, so that rounding can't make a timer fire
// before it.
const timerSlack = time.Microsecond

func newSimulation(seed uint64, size int, f faults) *simulation {
	rng := rand.New(rand.NewPCG(seed, 1))
	sim := &simulation{rng: rng, blocked: map[[2]MemberID]bool{}, delay: 2 * time.Millisecond, faults: f, check: newChecker()}
	sim.check.now = func() time.Duration { return sim.now }
	for i := range size {
		id := MemberID(fmt.Sprintf("10.0.0.%d:7300", i+1))
		sim.peers = append(sim.peers, Peer{ID: id, Addr: string(id)})
	}
	for _, p := range sim.peers {
		m := &simMember{sim: sim, id: p.ID, disk: newMemDisk(rng), rate: 1 + DefaultClockDrift*(2*rng.Float64()-1)}
		m.offset = time.Duration(rng.Int64N(int64(time.Hour)))
		sim.members = append(sim.members, m)
	}
	return sim
}

func (sim *simulation) at(t time.Duration, do func()) {
	sim.seq++
	heap.Push(&sim.events, event{max(t, sim.now), sim.seq, do})
}

func (sim *simulation) after(d time.Duration, do func()) { sim.at(sim.now+d, do) }

// run processes events up to the true time t, or until a check fails.
func (sim *simulation) run(t time.Duration) {
	for len(sim.events) > 0 && sim.events[0].at <= t && sim.check.err == nil {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.do()
		sim.check.checkLeases(sim)
	}
	sim.now = max(sim.now, t)
}

func (sim *simulation) member(id MemberID) *simMember {
	for _, m := range sim.members {
		if m.id == id {
			return m
		}
	}
	return nil
}

// leader returns the running leader with the highest term, or nil.
func (sim *simulation) leader() *simMember {
	var best *simMember
	for _, m := range sim.members {
		if m.running() && m.replica.core.role == RoleLeader && (best == nil || m.replica.core.hard.Term > best.replica.core.hard.Term) {
			best = m
		}
	}
	return best
}

// localTime returns the member's clock at the current true time.
func (m *simMember) localTime() time.Duration {
	return m.offset + time.Duration(float64(m.sim.now)*m.rate)
}

func (m *simMember) trueTime(local time.Duration) time.Duration {
	return time.Duration(float64(local-m.offset)/m.rate) + timerSlack
}

func (m *simMember) running() bool { return m.replica != nil && !m.frozen }

// Send implements Transport. The network loses, duplicates and delays messages.
func (m *simMember) Send(to MemberID, msg Message) {
	sim := m.sim
	if sim.measure {
		b, _ := msg.MarshalMsg(nil)
		sim.bytes += len(b)
		sim.sent++
	}
	if sim.member(to) == nil {
		return
	}
	copies := 1
	if sim.rng.Float64() < sim.duplicate {
		copies = 2
	}
	for range copies {
		if sim.blocked[[2]MemberID{m.id, to}] || sim.rng.Float64() < sim.loss {
			continue
		}
		delay := time.Duration(sim.rng.Int64N(int64(sim.delay) + 1))
		sim.after(delay, func() { sim.member(to).deliver(msg) })
	}
}

func (m *simMember) deliver(msg Message) {
	m.exec(func() { m.replica.core.Step(m.localTime(), cloneMessage(msg)) })
}

// cloneMessage copies the entries, which the receiver keeps.
func cloneMessage(m Message) Message {
	m.Entries = append([]Entry(nil), m.Entries...)
	return m
}

// exec runs f on the member now, or once it wakes up. It drops f if the member is
// stopped or stops before.
func (m *simMember) exec(f func()) {
	switch {
	case m.replica == nil:
	case m.frozen:
		boot := m.boots
		m.deferred = append(m.deferred, func() {
			if m.boots == boot {
				m.exec(f)
			}
		})
	default:
		f()
		m.tick()
	}
}

// tick runs the due timers of the replica, processes its output and checks the member. A
// failed member is started again later.
func (m *simMember) tick() {
	m.replica.core.Tick(m.localTime())
	if err := m.replica.processReady(m.localTime()); err != nil {
		if m.disk.crashIn >= 0 {
			m.sim.check.fail("%s stopped because of a failure: %v", m.id, err)
		}
		m.killOrCrash()
		m.sim.after(m.sim.random(100*time.Millisecond, time.Second), m.start)
		return
	}
	if m.replica.storageFailure == nil {
		m.sim.check.checkMember(m)
	} else { // as after a crash, what it holds in memory counts no more
		m.role, m.checked = RoleFollower, 0
	}
	m.scheduleTick()
}

// scheduleTick schedules the next tick.
func (m *simMember) scheduleTick() {
	at := m.trueTime(m.replica.core.Deadline())
	if m.timerAt > m.sim.now && m.timerAt <= at {
		return
	}
	m.timerAt = max(at, m.sim.now+timerSlack)
	boot := m.boots
	m.sim.at(m.timerAt, func() {
		if m.boots == boot {
			m.timerAt = 0
			m.exec(func() {})
		}
	})
}

// start starts the member unless it runs. If its disk crashes meanwhile, it is started
// again later.
func (m *simMember) start() {
	if m.replica != nil {
		return
	}
	m.boots++
	m.timerAt, m.deferred, m.role, m.checked = 0, nil, RoleFollower, 0
	m.machine = &hashChain{check: m.sim.check, id: m.id}
	opts := m.sim.opts
	opts.ID, opts.Addr, opts.Peers, opts.Bootstrap = m.id, string(m.id), m.sim.peers, true
	opts.Rand, opts.faults = m.sim.rng, m.sim.faults
	r, err := openReplica(m.localTime(), m.disk, "world", opts, m.machine, m)
	if err != nil && m.disk.crashIn < 0 { // crashed while it started
		m.disk.crash()
		m.sim.after(m.sim.random(10*time.Millisecond, time.Second), m.start)
		return
	}
	if err != nil {
		m.sim.check.fail("%s failed to start: %v", m.id, err)
		return
	}
	r.snapshotThreshold, r.chunkBytes, r.snapshotLogBytes = 16, 3, 600
	m.replica = r
	m.tick()
}

// crash stops the member and loses unsynced writes.
func (m *simMember) crash() {
	if m.replica == nil {
		return
	}
	m.kill()
	m.disk.crash()
}

func (m *simMember) killOrCrash() {
	if m.sim.rng.IntN(2) == 0 {
		m.kill()
	} else {
		m.crash()
	}
}

// kill stops only the process: unsynced writes stay readable, and are lost in a later
// crash.
func (m *simMember) kill() {
	if m.replica == nil {
		return
	}
	r := m.replica
	m.replica, m.frozen = nil, false
	m.boots++
	m.disk.crashIn = 0
	r.stop(errCrashed)
}

func (m *simMember) freeze(d time.Duration) {
	if !m.running() {
		return
	}
	m.frozen = true
	boot := m.boots
	m.sim.after(d, func() {
		if m.boots != boot || !m.frozen {
			return
		}
		m.frozen = false
		deferred := m.deferred
		m.deferred = nil
		m.exec(func() {})
		for _, f := range deferred {
			f()
		}
	})
}

// loseDisk stops the member and starts it again with an empty data directory.
func (m *simMember) loseDisk(down time.Duration) {
	m.crash()
	m.disk = newMemDisk(m.sim.rng)
	m.needsRepair = true
	m.sim.after(down, m.start)
}

func (sim *simulation) random(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(sim.rng.Int64N(int64(hi-lo)))
}

func (sim *simulation) randomMember() *simMember { return sim.members[sim.rng.IntN(len(sim.members))] }
