package consensus

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// world runs replicas on a virtual clock, from one seed.
type world struct {
	rng     *rand.Rand
	now     time.Duration // true time
	events  events
	order   uint64
	members []*simMember
	peers   []Peer
	blocked map[[2]MemberID]bool // from, to
	loss    float64
	repeat  float64
	delay   time.Duration // largest one-way delay
	faults  faults
	check   *checker
	opts    Options
	measure bool
	bytes   int // of messages sent while measure is set
	sent    int
}

type event struct {
	at    time.Duration
	order uint64
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].order < e[j].order)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// simMember is one machine: a clock, a disk, and a replica while it runs.
type simMember struct {
	world   *world
	id      MemberID
	rate    float64 // of its clock
	offset  time.Duration
	disk    *memDisk
	replica *replica // nil while stopped
	machine *chain
	frozen  bool
	held    []func()
	timerAt time.Duration // true time of the newest armed tick
	boots   int
	out     bool   // the disk was lost or the member removed; not yet a voter again
	term    uint64 // as the checker saw it last
	role    Role
	checked uint64 // entries that the checker has compared for good
}

// step is the virtual clock's resolution beyond a member's own deadline.
const step = time.Microsecond

func newWorld(seed uint64, size int, f faults) *world {
	rng := rand.New(rand.NewPCG(seed, 1))
	w := &world{rng: rng, blocked: map[[2]MemberID]bool{}, delay: 2 * time.Millisecond, faults: f, check: newChecker()}
	w.check.now = func() time.Duration { return w.now }
	for i := range size {
		id := MemberID(fmt.Sprintf("10.0.0.%d:7300", i+1))
		w.peers = append(w.peers, Peer{ID: id, Addr: string(id)})
	}
	for _, p := range w.peers {
		m := &simMember{world: w, id: p.ID, disk: newMemDisk(rng), rate: 1 + DefaultClockDrift*(2*rng.Float64()-1)}
		m.offset = time.Duration(rng.Int64N(int64(time.Hour)))
		w.members = append(w.members, m)
	}
	return w
}

func (w *world) at(t time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, event{max(t, w.now), w.order, do})
}

func (w *world) after(d time.Duration, do func()) { w.at(w.now+d, do) }

// run handles events until the true time t, or until a check fails.
func (w *world) run(t time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= t && w.check.err == nil {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
		w.check.leases(w)
	}
	w.now = max(w.now, t)
}

func (w *world) member(id MemberID) *simMember {
	for _, m := range w.members {
		if m.id == id {
			return m
		}
	}
	return nil
}

// leader returns a running leader of the highest term, or nil.
func (w *world) leader() *simMember {
	var best *simMember
	for _, m := range w.members {
		if m.running() && m.replica.core.role == RoleLeader && (best == nil || m.replica.core.hard.Term > best.replica.core.hard.Term) {
			best = m
		}
	}
	return best
}

// local is the member's clock at the present true time.
func (m *simMember) local() time.Duration {
	return m.offset + time.Duration(float64(m.world.now)*m.rate)
}

func (m *simMember) trueTime(local time.Duration) time.Duration {
	return time.Duration(float64(local-m.offset)/m.rate) + step
}

func (m *simMember) running() bool { return m.replica != nil && !m.frozen }

// Send implements Transport: the network loses, repeats and delays.
func (m *simMember) Send(to MemberID, msg Message) {
	w := m.world
	if w.measure {
		b, _ := msg.MarshalMsg(nil)
		w.bytes += len(b)
		w.sent++
	}
	if w.member(to) == nil {
		return
	}
	copies := 1
	if w.rng.Float64() < w.repeat {
		copies = 2
	}
	for range copies {
		if w.blocked[[2]MemberID{m.id, to}] || w.rng.Float64() < w.loss {
			continue
		}
		delay := time.Duration(w.rng.Int64N(int64(w.delay) + 1))
		w.after(delay, func() { w.member(to).deliver(msg) })
	}
}

func (m *simMember) deliver(msg Message) {
	m.when(func() { m.replica.core.Step(m.local(), cloneMessage(msg)) })
}

// cloneMessage unshares what the receiver keeps.
func cloneMessage(m Message) Message {
	m.Entries = append([]Entry(nil), m.Entries...)
	return m
}

// when runs f in the member now, or once it wakes up; never when it is stopped.
func (m *simMember) when(f func()) {
	switch {
	case m.replica == nil:
	case m.frozen:
		boot := m.boots
		m.held = append(m.held, func() {
			if m.boots == boot {
				m.when(f)
			}
		})
	default:
		f()
		m.process()
	}
}

func (m *simMember) process() {
	m.replica.core.Tick(m.local())
	if err := m.replica.process(m.local()); err != nil {
		if m.disk.crashIn >= 0 {
			m.world.check.fail("%s stopped: %v", m.id, err)
		}
		m.stopSomehow()
		m.world.after(m.world.random(100*time.Millisecond, time.Second), m.start)
		return
	}
	m.world.check.member(m)
	m.arm()
}

// arm plans the next tick.
func (m *simMember) arm() {
	at := m.trueTime(m.replica.core.Deadline())
	if m.timerAt > m.world.now && m.timerAt <= at {
		return
	}
	m.timerAt = max(at, m.world.now+step)
	boot := m.boots
	m.world.at(m.timerAt, func() {
		if m.boots == boot {
			m.timerAt = 0
			m.when(func() {})
		}
	})
}

func (m *simMember) start() {
	if m.replica != nil {
		return
	}
	m.boots++
	m.timerAt, m.held, m.role, m.checked = 0, nil, RoleFollower, 0
	m.machine = &chain{check: m.world.check, id: m.id}
	opts := m.world.opts
	opts.ID, opts.Addr, opts.Peers, opts.Bootstrap = m.id, string(m.id), m.world.peers, true
	opts.Rand, opts.faults = m.world.rng, m.world.faults
	r, err := openReplica(m.local(), m.disk, "world", opts, m.machine, m)
	if err != nil && m.disk.crashIn < 0 { // crashed while it started
		m.disk.crash()
		m.world.after(m.world.random(10*time.Millisecond, time.Second), m.start)
		return
	}
	if err != nil {
		m.world.check.fail("%s doesn't start: %v", m.id, err)
		return
	}
	r.threshold, r.chunk, r.logBytes = 16, 3, 600
	m.replica = r
	m.process()
}

// crash stops the machine: unsynced writes are lost.
func (m *simMember) crash() {
	if m.replica == nil {
		return
	}
	m.kill()
	m.disk.crash()
}

func (m *simMember) stopSomehow() {
	if m.world.rng.IntN(2) == 0 {
		m.kill()
	} else {
		m.crash()
	}
}

// kill stops the process: unsynced writes stay readable, and are lost if the
// machine crashes later.
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
	m.world.after(d, func() {
		if m.boots != boot || !m.frozen {
			return
		}
		m.frozen = false
		held := m.held
		m.held = nil
		m.when(func() {})
		for _, f := range held {
			f()
		}
	})
}

// loseDisk stops the member and starts it again on an empty folder.
func (m *simMember) loseDisk(down time.Duration) {
	m.crash()
	m.disk = newMemDisk(m.world.rng)
	m.out = true
	m.world.after(down, m.start)
}

func (w *world) random(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(w.rng.Int64N(int64(hi-lo)))
}

func (w *world) pick() *simMember { return w.members[w.rng.IntN(len(w.members))] }
