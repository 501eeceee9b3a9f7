package ledger

import (
	"container/heap"
	"fmt"
	"math/rand"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/answer"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

const (
	simLease   = 3 * time.Second
	simEnd     = 3 * time.Minute
	simKeys    = 6
	simOwners  = 3
	simMaxWire = 12 * time.Second // the longest that a written request is under way

	simMaxFreeze = 80 * time.Second
	simWake      = 300 * time.Millisecond // in which a process that wakes does what was due, in any order
)

// simulation runs callers, owners, control and one service on a virtual clock.
// All it does follows from its seed.
type simulation struct {
	rng    *rand.Rand
	now    time.Duration
	events eventQueue
	seq    int

	state  *State
	index  uint64
	owners []*simOwner
	ends   map[Process]time.Duration // of the sessions of killed processes

	runs     map[Key][]answer.AttemptID // at the service
	notRun   map[answer.AttemptID]bool  // told to callers
	answers  map[Key]string
	replies  map[ReplyCode]int
	attempts int
	faults   []string

	bookingFlaw bookingFlaw
}

type simEvent struct {
	at  time.Duration
	seq int
	on  *simOwner // deferred while this owner stands still; nil for none
	run func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simOwner is one process at a time under one instance ID.
type simOwner struct {
	id     fleet.InstanceID
	boot   int
	lease  LeaseTracker
	heard  time.Duration // when control last heard of it
	lapsed bool
	kills  int
	frozen time.Duration // until then
	cut    time.Duration // from control, until then
}

func (o *simOwner) bootID() fleet.BootID { return fleet.BootID(fmt.Sprint(o.boot)) }

func newSimulation(seed int64, stateFlaw flaw, flawed bookingFlaw) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewSource(seed)), state: NewState(), bookingFlaw: flawed,
		runs: map[Key][]answer.AttemptID{}, notRun: map[answer.AttemptID]bool{},
		answers: map[Key]string{}, replies: map[ReplyCode]int{},
		ends: map[Process]time.Duration{},
	}
	s.state.flaw = stateFlaw
	s.apply(Command{Op: OpSetLimits, Limits: &Limits{UnknownHold: simMaxWire + time.Second}})
	for i := range simOwners {
		o := &simOwner{id: fleet.InstanceID(fmt.Sprintf("r%d", i)), boot: 1}
		s.owners = append(s.owners, o)
		s.at(0, nil, func() { s.renew(o) })
	}
	s.at(0, nil, s.control)
	for k := range simKeys {
		s.call(k)
	}
	for range 12 {
		s.at(s.upTo(simEnd/2), nil, s.fault)
	}
	return s
}

func (s *simulation) at(delay time.Duration, on *simOwner, run func()) {
	s.seq++
	heap.Push(&s.events, simEvent{at: s.now + delay, seq: s.seq, on: on, run: run})
}

func (s *simulation) upTo(limit time.Duration) time.Duration {
	return time.Duration(s.rng.Int63n(int64(limit)))
}

func (s *simulation) chance(percent int) bool { return s.rng.Intn(100) < percent }

func (s *simulation) run() {
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		if e.at > simEnd {
			return
		}
		s.now = max(s.now, e.at)
		if e.on != nil && e.on.frozen > s.now {
			e.at = e.on.frozen + s.upTo(simWake)
			heap.Push(&s.events, e)
			continue
		}
		e.run()
	}
}

// renew is an owner's session: it counts its lease from the moment it sent.
func (s *simulation) renew(o *simOwner) {
	s.at(time.Second, o, func() { s.renew(o) })
	sent, boot := s.now, o.boot
	if s.now < o.cut {
		return
	}
	s.at(s.upTo(50*time.Millisecond), nil, func() {
		if o.boot != boot {
			return
		}
		o.lapsed, o.heard = false, s.now // it joins again if it had lapsed
		s.at(s.upTo(50*time.Millisecond), o, func() {
			if o.boot == boot {
				o.lease.Renewed(s.now, sent+simLease)
			}
		})
	})
}

// control declares sessions gone, has their attempts lapse and takes snapshots.
func (s *simulation) control() {
	s.at(100*time.Millisecond, nil, s.control)
	for _, o := range s.owners {
		if s.now > o.heard+simLease+100*time.Millisecond {
			o.lapsed = true
		}
	}
	for _, h := range s.state.Holdings() {
		if !s.member(h.Process) {
			s.at(s.upTo(200*time.Millisecond), nil, func() { s.apply(h.Lapse()) })
		}
	}
	if s.chance(3) {
		s.restart()
	}
}

// member tells whether a process has a session. That of a killed one ends with
// its lease.
func (s *simulation) member(p Process) bool {
	for _, o := range s.owners {
		if o.id == p.Owner && o.bootID() == p.Boot {
			return !o.lapsed
		}
	}
	return s.now < s.ends[p]
}

// restart replaces the state by one that was restored from a snapshot.
func (s *simulation) restart() {
	data, err := s.state.Snapshot()
	if err != nil {
		panic(err)
	}
	restored := NewState()
	restored.flaw = s.state.flaw
	if err := restored.Restore(data); err != nil {
		panic(err)
	}
	s.state = restored
}

// fault freezes, kills or cuts off an owner for a while.
func (s *simulation) fault() {
	o := s.owners[s.rng.Intn(len(s.owners))]
	switch s.rng.Intn(3) {
	case 0:
		o.frozen = s.now + s.upTo(simMaxFreeze)
	case 1:
		o.cut = s.now + s.upTo(10*time.Second)
	default:
		s.kill(o)
	}
}

// kill ends a process; another one starts at once under a new boot ID.
func (s *simulation) kill(o *simOwner) {
	s.ends[Process{o.id, o.bootID()}] = s.now + simLease + 100*time.Millisecond
	o.boot++
	o.kills++
	o.lapsed, o.lease, o.heard = false, LeaseTracker{}, s.now
}

func (s *simulation) apply(c Command) Result {
	s.index++
	c.Now = s.now
	data, err := c.Encode()
	if err != nil {
		panic(err)
	}
	result, err := DecodeResult(s.state.Apply(s.index, data))
	if err != nil {
		panic(err)
	}
	return result
}

// propose sends a command over a network that loses, delays and doubles it, to
// a leader that may be lost before or after it commits.
func (s *simulation) propose(o *simOwner, c Command, receive func(Result)) {
	copies := 1
	if s.chance(10) {
		copies = 2
	}
	for range copies {
		if s.chance(15) || s.now < o.cut {
			continue
		}
		delay := s.upTo(100 * time.Millisecond)
		if s.chance(10) {
			delay = s.upTo(10 * time.Second)
		}
		s.at(delay, nil, func() {
			result := s.apply(c)
			if !s.chance(15) {
				s.at(s.upTo(50*time.Millisecond), o, func() { receive(result) })
			}
		})
	}
}

// call is one caller's request under key k and its retries, some at the same
// moment through other routers.
func (s *simulation) call(k int) {
	start := s.upTo(simEnd / 3)
	for range 2 + s.rng.Intn(4) {
		delay := start + s.upTo(200*time.Millisecond)
		if s.chance(50) {
			delay = start + s.upTo(simEnd/3)
		}
		o := s.owners[s.rng.Intn(len(s.owners))]
		s.at(delay, o, func() { s.book(o, k) })
	}
}

func simKey(k int) Key { return KeyOf("w", "counter", fmt.Sprint(k)) }

// book starts an attempt.
func (s *simulation) book(o *simOwner, k int) {
	s.attempts++
	run := &simBooking{
		sim: s, owner: o, kills: o.kills, key: simKey(k), index: k,
		attempt: answer.AttemptID(fmt.Sprintf("a%d", s.attempts)),
	}
	run.booking = NewBooking(BookingConfig{
		Key: run.key, Body: BodyDigestOf("POST", "/pickups", nil), Attempt: run.attempt,
		Owner: o.id, Boot: o.bootID(), Tenure: o.lease.Lease().Tenure,
	})
	run.booking.flaw = s.bookingFlaw
	run.step(Started{})
}

// violations names what the run broke.
func (s *simulation) violations() []string {
	out := s.faults
	for key, runs := range s.runs {
		if len(runs) > 1 {
			out = append(out, fmt.Sprintf("key %s ran for %v", key, runs))
		}
		for _, attempt := range runs {
			if s.notRun[attempt] {
				out = append(out, fmt.Sprintf("attempt %s ran and was called not-run", attempt))
			}
		}
	}
	return out
}
