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
	simulationTick   = 20 * time.Millisecond
	simulationLength = 90 * time.Second
)

// orderSimulation simulates one engine whose owner changes, on a virtual clock.
// Leases do not overlap; the next one starts in the first tick after the previous
// one has ended.
type orderSimulation struct {
	rng      *rand.Rand
	now      time.Duration
	config   *Config
	owners   []*orderOwner
	current  int
	leaseEnd time.Duration // of the last renewal
	handover time.Duration // the lease is not renewed after this
	pending  []delayedCall

	checks   bool          // the engine checks fencing numbers
	stall    time.Duration // maximum time between the check of the lease and the write
	maxCall  time.Duration // maximum time until the engine acts on a call
	executed fleet.FencingNumber
	state    string // the engine's role
	overtook string // set when an old order took effect after a newer one
}

// orderOwner is a router that may own the engine.
type orderOwner struct {
	runner *Runner
	until  time.Duration
}

// delayedCall is a function that runs at a later time of the simulation.
type delayedCall struct {
	at  time.Duration
	run func()
}

func newOrderSimulation(seed uint64, checks bool, callTimeout, stall time.Duration) *orderSimulation {
	sim := &orderSimulation{rng: rand.New(rand.NewPCG(seed, 5)), config: NewConfig(), checks: checks, stall: stall, maxCall: time.Second}
	for i := range 2 {
		sim.owners = append(sim.owners, &orderOwner{runner: NewRunner(RunnerSettings{
			Upstream: "e1", Instance: fleet.InstanceID(fmt.Sprint("r", i)), Boot: "1",
			ChecksFencing: checks, CallTimeout: callTimeout,
		})})
	}
	sim.scheduleHandover()
	return sim
}

// scheduleHandover sets the time of the next change of owner.
func (sim *orderSimulation) scheduleHandover() {
	sim.handover = sim.now + time.Second + time.Duration(sim.rng.Int64N(int64(5*time.Second)))
}

// afterDelay runs a function after a random delay of at most maxDelay.
func (sim *orderSimulation) afterDelay(maxDelay time.Duration, run func()) {
	sim.pending = append(sim.pending, delayedCall{sim.now + time.Duration(sim.rng.Int64N(int64(maxDelay)+1)), run})
}

func (sim *orderSimulation) run() {
	for n := 0; sim.now < simulationLength; sim.now += simulationTick {
		sim.deliver()
		sim.updateLease()
		if sim.now < simulationLength-20*time.Second && sim.rng.IntN(150) == 0 {
			n++
			mustApply(sim.config, Command{Kind: KindOrder, Operation: fmt.Sprint("o", n), AnyVersion: true,
				Order: &OrderSpec{Upstream: "e1", Action: ActionRole, Role: fmt.Sprint("role-", n), Supersede: true}})
		}
		for _, o := range sim.owners {
			sim.performStep(o)
		}
	}
}

// deliver runs the delayed calls that are due.
func (sim *orderSimulation) deliver() {
	due := sim.pending
	sim.pending = nil
	for _, d := range due {
		if d.at <= sim.now {
			d.run()
		} else {
			sim.pending = append(sim.pending, d)
		}
	}
}

// updateLease renews the owner's lease each tick until the handover. The other
// router becomes the owner when that lease has expired.
func (sim *orderSimulation) updateLease() {
	const lease = 3 * time.Second
	if sim.now < sim.handover || sim.now > simulationLength-20*time.Second {
		sim.leaseEnd = sim.now + lease
		sim.owners[sim.current].until = sim.leaseEnd
		return
	}
	if sim.now >= sim.leaseEnd {
		sim.current = 1 - sim.current
		sim.scheduleHandover()
	}
}

// performStep performs the next step of an owner's Runner.
func (sim *orderSimulation) performStep(o *orderOwner) {
	orders := sim.config.Committed().State.Orders
	if len(orders) > 0 {
		o.runner.SetOrder(orders[0])
	}
	s := o.runner.Next(sim.now, sim.now < o.until, o.until)
	lost := sim.rng.IntN(5) == 0
	switch s.Kind {
	case StepClaim:
		sim.propose(Command{Kind: KindClaim, Claim: &s.Claim}, lost, o.runner.HandleClaim)
	case StepFinish:
		sim.propose(Command{Kind: KindFinish, Finish: &s.Finish}, lost, o.runner.HandleFinish)
	case StepRead:
		sim.afterDelay(100*time.Millisecond, func() { o.runner.HandleRead(sim.now, sim.readEngine(s.Spec)) })
	case StepCall:
		sim.afterDelay(sim.stall, func() { sim.callEngine(o, s, lost) })
	}
}

func (sim *orderSimulation) propose(cmd Command, lost bool, answer func(Answer, bool)) {
	sim.afterDelay(100*time.Millisecond, func() {
		a := mustApply(sim.config, cmd)
		answer(a, !lost)
	})
}

func (sim *orderSimulation) readEngine(spec OrderSpec) ReadResult {
	if sim.state == spec.Role {
		return ReadDone
	}
	return ReadOther
}

// callEngine writes the order to the engine, which acts on it within sim.maxCall.
func (sim *orderSimulation) callEngine(o *orderOwner, s Step, lost bool) {
	sim.afterDelay(sim.maxCall, func() {
		result := CallAccepted
		if sim.checks && s.Fencing < sim.executed {
			result = CallFenced
		} else {
			if s.Fencing < sim.executed && sim.overtook == "" {
				sim.overtook = fmt.Sprintf("at %v the order with fencing number %d took effect after number %d", sim.now, s.Fencing, sim.executed)
			}
			sim.executed = max(sim.executed, s.Fencing)
			sim.state = s.Spec.Role
		}
		if lost {
			result = CallUnknown
		}
		o.runner.HandleCall(sim.now, result, "")
	})
}

// An old order must not take effect after a newer one, whether the engine checks
// fencing numbers or the owners' calls are separated in time. Without either
// protection, or with stalls longer than the protection covers, the simulation must
// find such an order.
func TestRunnerOrdersNeverOvertake(t *testing.T) {
	cases := []struct {
		name        string
		checks      bool
		callTimeout time.Duration
		stall       time.Duration
		overtakes   bool
	}{
		{"engine checks fencing, owner stalls for 8 s", true, time.Second, 8 * time.Second, false},
		{"engine does not check fencing, owner stalls up to the call timeout", false, time.Second, time.Second, false},
		{"engine does not check fencing, no separation of calls", false, time.Millisecond, time.Second, true},
		{"engine does not check fencing, owner stalls beyond the call timeout", false, time.Second, 8 * time.Second, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			found, executed := "", 0
			for seed := range *schedules {
				sim := newOrderSimulation(seed, tc.checks, tc.callTimeout, tc.stall)
				sim.run()
				if sim.overtook != "" && found == "" {
					found = fmt.Sprintf("seed %d: %s", seed, sim.overtook)
				}
				executed += int(sim.executed)
				if !tc.overtakes {
					last := sim.config.Committed().State.Orders[0]
					is.Equal(last.State, OrderSucceeded) // the last order is carried out
					is.Equal(sim.state, last.Spec.Role)  // and the engine has its role
				}
			}
			is.True(executed > 0)
			if (found != "") != tc.overtakes {
				t.Errorf("first order that took effect after a newer one: %q (empty if none); want such an order: %v", found, tc.overtakes)
			}
			t.Log(found)
		})
	}
}

func TestRunnerSteps(t *testing.T) {
	is := is.New(t)
	r := NewRunner(RunnerSettings{Upstream: "e1", Instance: "r1", Boot: "1"})
	is.Equal(r.Next(0, true, time.Hour).Kind, StepNone) // no order
	r.SetOrder(Order{Version: 1, Operation: "o1", Spec: OrderSpec{Upstream: "e1"}})
	is.Equal(r.Next(0, false, time.Hour).Kind, StepNone) // not the owner
	is.Equal(r.Next(0, true, time.Hour).Kind, StepClaim)
	is.Equal(r.Next(0, true, time.Hour).Kind, StepNone) // one step at a time
	r.HandleClaim(Answer{}, false)
	is.Equal(r.Next(0, true, time.Hour).Kind, StepClaim) // the answer was lost
	r.HandleClaim(Answer{Code: CodeStale, Fencing: 7}, true)
	is.Equal(r.Next(0, true, time.Hour).Claim.After, fleet.FencingNumber(7))
	r.HandleClaim(Answer{Code: CodeAccepted, Fencing: 8}, true)
	is.Equal(r.Next(0, true, time.Hour).Kind, StepRead)
	r.HandleRead(0, ReadOther)
	is.Equal(r.Next(DefaultCallTimeout-1, true, time.Hour).Kind, StepNone) // a previous owner's call may still be in flight
	is.Equal(r.Next(DefaultCallTimeout, true, 2*DefaultCallTimeout-1).Kind, StepNone)
	call := r.Next(DefaultCallTimeout, true, 2*DefaultCallTimeout)
	is.Equal(call.Kind, StepCall)
	is.Equal(call.Fencing, fleet.FencingNumber(8))
	r.HandleCall(DefaultCallTimeout, CallRejected, "no such model")
	finish := r.Next(DefaultCallTimeout, true, time.Hour)
	is.Equal(finish.Kind, StepFinish)
	is.Equal(finish.Finish.Detail, "no such model")
	r.HandleFinish(Answer{Code: CodeAccepted}, true)
	is.True(r.Idle())
	r.SetOrder(Order{Version: 1, Operation: "o1"}) // already known
	is.True(r.Idle())

	// Once the lists say that the engine checks fencing numbers, calls no longer
	// need a lease that covers the call timeout.
	r.SetOrder(Order{Version: 2, Operation: "o2", Spec: OrderSpec{Upstream: "e1"}})
	r.Next(time.Minute, true, time.Hour)
	r.HandleClaim(Answer{Code: CodeAccepted, Fencing: 9}, true)
	r.Next(time.Minute, true, time.Hour)
	r.HandleRead(time.Minute, ReadOther)
	is.Equal(r.Next(time.Minute, true, time.Minute+1).Kind, StepNone)
	r.SetChecksFencing(true)
	is.Equal(r.Next(time.Minute, true, time.Minute+1).Kind, StepCall)
}
