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
	simMaxWire = 12 * time.Second // maximum time for which a written request is in flight

	simMaxFreeze = 80 * time.Second
	simWake      = 300 * time.Millisecond // time within which a process that wakes up runs its overdue events, in any order
)

// simulation runs callers, owners, control and one service on a virtual clock. Its seed
// determines all events.
type simulation struct {
	rng    *rand.Rand
	now    time.Duration
	events eventQueue
	seq    int

	state       *State
	index       uint64
	owners      []*simOwner
	sessionEnds map[Process]time.Duration // end of the sessions of killed processes

	runs     map[Key][]answer.AttemptID // executed by the service
	notRun   map[answer.AttemptID]bool  // attempts whose callers received not-run
	answers  map[Key]string
	replies  map[ReplyCode]int
	attempts int
	failures []string

	bookingFault bookingFault
}

type simEvent struct {
	at  time.Duration
	seq int
	on  *simOwner // the event is deferred while this owner is frozen; may be nil
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

// simOwner is one instance, which runs one process at a time.
type simOwner struct {
	id           fleet.InstanceID
	boot         int
	lease        LeaseTracker
	lastRenewal  time.Duration // time of the last renewal at control
	sessionEnded bool          // by control
	kills        int           // killed processes of this instance
	frozenUntil  time.Duration
	cutUntil     time.Duration // cut off from control until then
}

func (o *simOwner) bootID() fleet.BootID { return fleet.BootID(fmt.Sprint(o.boot)) }

func newSimulation(seed int64, injected stateFault, injectedBooking bookingFault) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewSource(seed)), state: NewState(), bookingFault: injectedBooking,
		runs: map[Key][]answer.AttemptID{}, notRun: map[answer.AttemptID]bool{},
		answers: map[Key]string{}, replies: map[ReplyCode]int{},
		sessionEnds: map[Process]time.Duration{},
	}
	s.state.fault = injected
	s.apply(Command{Op: OpSetLimits, Limits: &Limits{UnknownHold: simMaxWire + time.Second}})
	for i := range simOwners {
		o := &simOwner{id: fleet.InstanceID(fmt.Sprintf("r%d", i)), boot: 1}
		s.owners = append(s.owners, o)
		s.after(0, nil, func() { s.renew(o) })
	}
	s.after(0, nil, s.runControl)
	for k := range simKeys {
		s.scheduleCalls(k)
	}
	for range 12 {
		s.after(s.randomUpTo(simEnd/2), nil, s.injectFault)
	}
	return s
}

// after runs an event after delay, or once the owner on wakes up if it is frozen then.
func (s *simulation) after(delay time.Duration, on *simOwner, run func()) {
	s.seq++
	heap.Push(&s.events, simEvent{at: s.now + delay, seq: s.seq, on: on, run: run})
}

// randomUpTo returns a random duration below limit.
func (s *simulation) randomUpTo(limit time.Duration) time.Duration {
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
		if e.on != nil && e.on.frozenUntil > s.now {
			e.at = e.on.frozenUntil + s.randomUpTo(simWake)
			heap.Push(&s.events, e)
			continue
		}
		e.run()
	}
}

// renew renews an owner's lease, which is counted from the time of the request.
func (s *simulation) renew(o *simOwner) {
	s.after(time.Second, o, func() { s.renew(o) })
	sent, boot := s.now, o.boot
	if s.now < o.cutUntil {
		return
	}
	s.after(s.randomUpTo(50*time.Millisecond), nil, func() {
		if o.boot != boot {
			return
		}
		o.sessionEnded, o.lastRenewal = false, s.now // it joins again if its session had ended
		s.after(s.randomUpTo(50*time.Millisecond), o, func() {
			if o.boot == boot {
				o.lease.RecordGrant(s.now, sent+simLease)
			}
		})
	})
}

// runControl ends expired sessions, proposes their OpEndTenures, and sometimes restores the
// state from a snapshot.
func (s *simulation) runControl() {
	s.after(100*time.Millisecond, nil, s.runControl)
	for _, o := range s.owners {
		if s.now > o.lastRenewal+simLease+100*time.Millisecond {
			o.sessionEnded = true
		}
	}
	for _, o := range s.state.RecordOwners() {
		if !s.hasSession(o.Process) {
			s.after(s.randomUpTo(200*time.Millisecond), nil, func() { s.apply(o.EndTenures()) })
		}
	}
	if s.chance(3) {
		s.restoreSnapshot()
	}
}

// hasSession reports whether a process has a session. The session of a killed process ends
// with its lease.
func (s *simulation) hasSession(p Process) bool {
	for _, o := range s.owners {
		if o.id == p.Owner && o.bootID() == p.Boot {
			return !o.sessionEnded
		}
	}
	return s.now < s.sessionEnds[p]
}

// restoreSnapshot replaces the state by one restored from its snapshot.
func (s *simulation) restoreSnapshot() {
	data, err := s.state.Snapshot()
	if err != nil {
		panic(err)
	}
	restored := NewState()
	restored.fault = s.state.fault
	if err := restored.Restore(data); err != nil {
		panic(err)
	}
	s.state = restored
}

// injectFault freezes an owner for up to simMaxFreeze, cuts it off from control for up
// to 10 s, or kills it.
func (s *simulation) injectFault() {
	o := s.owners[s.rng.Intn(len(s.owners))]
	switch s.rng.Intn(3) {
	case 0:
		o.frozenUntil = s.now + s.randomUpTo(simMaxFreeze)
	case 1:
		o.cutUntil = s.now + s.randomUpTo(10*time.Second)
	default:
		s.kill(o)
	}
}

// kill ends a process; another one starts immediately under a new boot ID.
func (s *simulation) kill(o *simOwner) {
	s.sessionEnds[Process{o.id, o.bootID()}] = s.now + simLease + 100*time.Millisecond
	o.boot++
	o.kills++
	o.sessionEnded, o.lease, o.lastRenewal = false, LeaseTracker{}, s.now
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

// propose sends a command over a network that loses, delays and duplicates it, to a
// leader that may be lost before or after it commits.
func (s *simulation) propose(o *simOwner, c Command, receive func(Result)) {
	copies := 1
	if s.chance(10) {
		copies = 2
	}
	for range copies {
		if s.chance(15) || s.now < o.cutUntil {
			continue
		}
		delay := s.randomUpTo(100 * time.Millisecond)
		if s.chance(10) {
			delay = s.randomUpTo(10 * time.Second)
		}
		s.after(delay, nil, func() {
			result := s.apply(c)
			if !s.chance(15) {
				s.after(s.randomUpTo(50*time.Millisecond), o, func() { receive(result) })
			}
		})
	}
}

// scheduleCalls schedules one caller's request under key k and its retries, some of them
// at nearly the same time through other routers.
func (s *simulation) scheduleCalls(k int) {
	start := s.randomUpTo(simEnd / 3)
	for range 2 + s.rng.Intn(4) {
		delay := start + s.randomUpTo(200*time.Millisecond)
		if s.chance(50) {
			delay = start + s.randomUpTo(simEnd/3)
		}
		o := s.owners[s.rng.Intn(len(s.owners))]
		s.after(delay, o, func() { s.startAttempt(o, k) })
	}
}

func simKey(k int) Key { return KeyOf("w", "counter", fmt.Sprint(k)) }

// startAttempt starts a booking of key k at owner o.
func (s *simulation) startAttempt(o *simOwner, k int) {
	s.attempts++
	b := &simBooking{
		sim: s, owner: o, kills: o.kills, key: simKey(k), keyIndex: k,
		attempt: answer.AttemptID(fmt.Sprintf("a%d", s.attempts)),
	}
	b.booking = NewBooking(BookingConfig{
		Key: b.key, Body: BodyDigestOf("POST", "/pickups", nil), Attempt: b.attempt,
		Owner: o.id, Boot: o.bootID(), Tenure: o.lease.Lease().Tenure,
	})
	b.booking.fault = s.bookingFault
	b.handle(Started{})
}

// violations returns the violations of the run: recorded failures, keys that ran more
// than once, and attempts that ran although their caller received not-run.
func (s *simulation) violations() []string {
	out := s.failures
	for key, runs := range s.runs {
		if len(runs) > 1 {
			out = append(out, fmt.Sprintf("key %s ran more than once, for attempts %v", key, runs))
		}
		for _, attempt := range runs {
			if s.notRun[attempt] {
				out = append(out, fmt.Sprintf("attempt %s ran, but its caller received not-run", attempt))
			}
		}
	}
	return out
}
