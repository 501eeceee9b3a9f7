package operator

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

const (
	engineTick = 20 * time.Millisecond
	engineRun  = 90 * time.Second
)

// orderWorld has one engine whose owner changes, on a virtual clock. Leases do
// not overlap; the gap between two is as short as it may be.
type orderWorld struct {
	rng      *rand.Rand
	now      time.Duration
	config   *Config
	owners   []*orderOwner
	current  int
	leaseEnd time.Duration // of the last renewal
	handOver time.Duration // no renewal after this
	later    []delayed

	checks   bool
	stall    time.Duration // longest between a look at the lease and the write
	longest  time.Duration // an engine acts on a call within this
	executed fleet.FencingNumber
	state    string // what the engine holds
	overtook string // set when an old order took effect after a newer one
}

type orderOwner struct {
	runner *Runner
	until  time.Duration
}

type delayed struct {
	at  time.Duration
	run func()
}

func newOrderWorld(seed uint64, checks bool, callTimeout, stall time.Duration) *orderWorld {
	w := &orderWorld{rng: rand.New(rand.NewPCG(seed, 5)), config: NewConfig(), checks: checks, stall: stall, longest: time.Second}
	for i := range 2 {
		w.owners = append(w.owners, &orderOwner{runner: NewRunner(RunnerSettings{
			Upstream: "e1", Instance: fleet.InstanceID(fmt.Sprint("r", i)), Boot: "1",
			ChecksFencing: checks, CallTimeout: callTimeout,
		})})
	}
	w.plan()
	return w
}

func (w *orderWorld) plan() {
	w.handOver = w.now + time.Second + time.Duration(w.rng.Int64N(int64(5*time.Second)))
}

func (w *orderWorld) after(longest time.Duration, run func()) {
	w.later = append(w.later, delayed{w.now + time.Duration(w.rng.Int64N(int64(longest)+1)), run})
}

func (w *orderWorld) run() {
	for n := 0; w.now < engineRun; w.now += engineTick {
		w.deliver()
		w.moveLease()
		if w.now < engineRun-20*time.Second && w.rng.IntN(150) == 0 {
			n++
			run(w.config, Command{Kind: KindOrder, Operation: fmt.Sprint("o", n), AnyVersion: true,
				Order: &OrderSpec{Upstream: "e1", Action: ActionRole, Role: fmt.Sprint("role-", n), Supersede: true}})
		}
		for _, o := range w.owners {
			w.drive(o)
		}
	}
}

func (w *orderWorld) deliver() {
	due := w.later
	w.later = nil
	for _, d := range due {
		if d.at <= w.now {
			d.run()
		} else {
			w.later = append(w.later, d)
		}
	}
}

// moveLease renews the owner's lease each tick until it is cut off; the next
// owner's begins when that has run out.
func (w *orderWorld) moveLease() {
	const lease = 3 * time.Second
	if w.now < w.handOver || w.now > engineRun-20*time.Second {
		w.leaseEnd = w.now + lease
		w.owners[w.current].until = w.leaseEnd
		return
	}
	if w.now >= w.leaseEnd {
		w.current = 1 - w.current
		w.plan()
	}
}

func (w *orderWorld) drive(o *orderOwner) {
	orders := w.config.Committed().State.Orders
	if len(orders) > 0 {
		o.runner.Offer(orders[0])
	}
	s := o.runner.Next(w.now, w.now < o.until, o.until)
	lost := w.rng.IntN(5) == 0
	switch s.Kind {
	case StepClaim:
		w.propose(Command{Kind: KindClaim, Claim: &s.Claim}, lost, o.runner.Claimed)
	case StepFinish:
		w.propose(Command{Kind: KindFinish, Finish: &s.Finish}, lost, o.runner.Finished)
	case StepRead:
		w.after(100*time.Millisecond, func() { o.runner.Read(w.now, w.read(s.Spec)) })
	case StepCall:
		w.after(w.stall, func() { w.call(o, s, lost) })
	}
}

func (w *orderWorld) propose(cmd Command, lost bool, answer func(Answer, bool)) {
	w.after(100*time.Millisecond, func() {
		a := run(w.config, cmd)
		answer(a, !lost)
	})
}

func (w *orderWorld) read(spec OrderSpec) ReadResult {
	if w.state == spec.Role {
		return ReadDone
	}
	return ReadOther
}

// call is the write; the engine acts on it within the longest call.
func (w *orderWorld) call(o *orderOwner, s Step, lost bool) {
	w.after(w.longest, func() {
		result := CallTaken
		if w.checks && s.Fencing < w.executed {
			result = CallFenced
		} else {
			if s.Fencing < w.executed && w.overtook == "" {
				w.overtook = fmt.Sprintf("at %v number %d took effect after %d", w.now, s.Fencing, w.executed)
			}
			w.executed = max(w.executed, s.Fencing)
			w.state = s.Spec.Role
		}
		if lost {
			result = CallUnknown
		}
		o.runner.Called(w.now, result, "")
	})
}

func TestRunnerOrdersNeverOvertake(t *testing.T) {
	cases := []struct {
		name        string
		checks      bool
		callTimeout time.Duration
		stall       time.Duration
		overtakes   bool
	}{
		{"engine checks, owner stalls for long", true, time.Second, 8 * time.Second, false},
		{"engine does not check, owner stalls up to a call", false, time.Second, time.Second, false},
		{"engine does not check, no lease time in hand and no wait", false, time.Millisecond, time.Second, true},
		{"engine does not check, owner stalls beyond the argument", false, time.Second, 8 * time.Second, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			found, moved := "", 0
			for seed := range *schedules {
				w := newOrderWorld(seed, tc.checks, tc.callTimeout, tc.stall)
				w.run()
				if w.overtook != "" && found == "" {
					found = fmt.Sprintf("seed %d: %s", seed, w.overtook)
				}
				moved += int(w.executed)
				if !tc.overtakes {
					last := w.config.Committed().State.Orders[0]
					is.Equal(last.State, OrderSucceeded) // the last order is carried out
					is.Equal(w.state, last.Spec.Role)    // and the engine is as it says
				}
			}
			is.True(moved > 0)
			if (found != "") != tc.overtakes {
				t.Errorf("overtaking: %q, want %v", found, tc.overtakes)
			}
			t.Log(found)
		})
	}
}

func TestRunnerSteps(t *testing.T) {
	is := is.New(t)
	r := NewRunner(RunnerSettings{Upstream: "e1", Instance: "r1", Boot: "1"})
	is.Equal(r.Next(0, true, time.Hour).Kind, StepNone) // no order
	r.Offer(Order{Version: 1, Operation: "o1", Spec: OrderSpec{Upstream: "e1"}})
	is.Equal(r.Next(0, false, time.Hour).Kind, StepNone) // not the owner
	is.Equal(r.Next(0, true, time.Hour).Kind, StepClaim)
	is.Equal(r.Next(0, true, time.Hour).Kind, StepNone) // one step at a time
	r.Claimed(Answer{}, false)
	is.Equal(r.Next(0, true, time.Hour).Kind, StepClaim) // the answer was lost
	r.Claimed(Answer{Code: CodeStale, Fencing: 7}, true)
	is.Equal(r.Next(0, true, time.Hour).Claim.After, fleet.FencingNumber(7))
	r.Claimed(Answer{Code: CodeAccepted, Fencing: 8}, true)
	is.Equal(r.Next(0, true, time.Hour).Kind, StepRead)
	r.Read(0, ReadOther)
	is.Equal(r.Next(DefaultCallTimeout-1, true, time.Hour).Kind, StepNone) // a former owner's call may last
	is.Equal(r.Next(DefaultCallTimeout, true, 2*DefaultCallTimeout-1).Kind, StepNone)
	call := r.Next(DefaultCallTimeout, true, 2*DefaultCallTimeout)
	is.Equal(call.Kind, StepCall)
	is.Equal(call.Fencing, fleet.FencingNumber(8))
	r.Called(DefaultCallTimeout, CallRejected, "no such model")
	finish := r.Next(DefaultCallTimeout, true, time.Hour)
	is.Equal(finish.Kind, StepFinish)
	is.Equal(finish.Finish.Detail, "no such model")
	r.Finished(Answer{Code: CodeAccepted}, true)
	is.True(r.Idle())
	r.Offer(Order{Version: 1, Operation: "o1"}) // seen before
	is.True(r.Idle())

	// A list that says so has calls made without lease time in hand.
	r.Offer(Order{Version: 2, Operation: "o2", Spec: OrderSpec{Upstream: "e1"}})
	r.Next(time.Minute, true, time.Hour)
	r.Claimed(Answer{Code: CodeAccepted, Fencing: 9}, true)
	r.Next(time.Minute, true, time.Hour)
	r.Read(time.Minute, ReadOther)
	is.Equal(r.Next(time.Minute, true, time.Minute+1).Kind, StepNone)
	r.SetChecksFencing(true)
	is.Equal(r.Next(time.Minute, true, time.Minute+1).Kind, StepCall)
}
