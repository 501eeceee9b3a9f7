package operator

import (
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// Defaults of RunnerSettings.
const (
	DefaultCallTimeout  = time.Second
	DefaultReadInterval = time.Second
	DefaultCalls        = 5
)

// RunnerSettings are what NewRunner needs. Zero durations and counts mean the
// defaults.
type RunnerSettings struct {
	Upstream fleet.UpstreamID
	Instance fleet.InstanceID
	Boot     fleet.BootID
	// ChecksFencing tells whether the engine refuses old fencing numbers.
	ChecksFencing bool
	// CallTimeout is the longest that a call to the engine lasts: the caller
	// gives it up then, and the engine acts on it within this time or not at
	// all. It must be well under the lease.
	CallTimeout time.Duration
	// ReadInterval is the time between two looks at an engine that works on an
	// order.
	ReadInterval time.Duration
	// Calls is how often an order is given before it counts as failed.
	Calls int
}

// StepKind says what a Step asks for.
type StepKind uint8

// Kinds of a Step.
const (
	// StepNone asks for nothing; ask again after the next event or a while.
	StepNone StepKind = iota
	// StepClaim asks to commit Claim, and for Runner.Claimed.
	StepClaim
	// StepRead asks to read the engine's state, and for Runner.Read.
	StepRead
	// StepCall asks to give the order to the engine under Fencing, and for
	// Runner.Called. Look at the lease once more directly before the write, and
	// give the call up at Deadline.
	StepCall
	// StepFinish asks to commit Finish, and for Runner.Finished.
	StepFinish
)

// Step is what a Runner asks for.
type Step struct {
	Kind     StepKind
	Claim    Claim
	Finish   Finish
	Spec     OrderSpec
	Fencing  fleet.FencingNumber
	Deadline time.Duration
}

// CallResult is how a call to an engine ended.
type CallResult uint8

// Results of a call.
const (
	// CallTaken means that the engine took the order.
	CallTaken CallResult = iota + 1
	// CallFenced means that the engine knows a larger fencing number.
	CallFenced
	// CallRejected means that the engine will never take the order.
	CallRejected
	// CallUnknown means that there was no answer in time.
	CallUnknown
)

// ReadResult is what an engine's state says about an order.
type ReadResult uint8

// Results of a read.
const (
	// ReadDone means that the engine is as the order wants it.
	ReadDone ReadResult = iota + 1
	// ReadWorking means that the engine is on its way there.
	ReadWorking
	// ReadOther means that the engine neither is nor gets there.
	ReadOther
	// ReadUnknown means that the state could not be read.
	ReadUnknown
)

// Runner carries out the orders of one upstream while this router owns it, one
// at a time. The shell calls Next, does the Step, and reports its end; it does
// one Step at a time.
//
// Engines that check fencing numbers are safe by them (Gray and Cheriton,
// SOSP 1989; Burrows, OSDI 2006): numbers come from the control log and only
// grow. For the others the Runner keeps calls of two owners apart in time: it
// calls only with lease time in hand for the whole call, so that the call ends
// within its lease; and a new owner, whose lease starts after that, waits one
// more longest call. So an old order is overtaken only if its owner stalled for
// longer than a whole call between its last look at the lease and the write.
// Reading the state back, twice where an earlier owner had claimed the order,
// finds the effect of such a late order and gives the order again.
type Runner struct {
	settings   RunnerSettings
	order      Order
	phase      phase
	busy       bool
	asked      string // operation of the claim under way
	owned      bool
	ownedSince time.Duration
	fencing    fleet.FencingNumber
	newest     fleet.FencingNumber // of the upstream, as far as is known
	calls      int
	confirmed  bool
	notBefore  time.Duration
	outcome    Finish
}

type phase uint8

const (
	phaseIdle phase = iota
	phaseClaim
	phaseRead
	phaseCall
	phaseFinish
)

// NewRunner returns a Runner without an order.
func NewRunner(s RunnerSettings) *Runner {
	fleet.SetDefault(&s.CallTimeout, DefaultCallTimeout)
	fleet.SetDefault(&s.ReadInterval, DefaultReadInterval)
	fleet.SetDefault(&s.Calls, DefaultCalls)
	return &Runner{settings: s}
}

// SetChecksFencing tells whether the engine refuses old fencing numbers, which
// the lists may change. It holds from the next call on.
func (r *Runner) SetChecksFencing(checks bool) { r.settings.ChecksFencing = checks }

// Offer hands over the upstream's newest order. An order that is known already
// changes nothing; one that supersedes another is taken up at once, but a call
// under way is waited for.
func (r *Runner) Offer(o Order) {
	if o.Version <= r.order.Version {
		return
	}
	r.order = o
	r.newest = max(r.newest, o.Fencing)
	r.phase, r.calls, r.confirmed = phaseClaim, 0, false
}

// Next returns what to do at now. Owns and until are the router's authority
// over the upstream; until is the end of its lease.
func (r *Runner) Next(now time.Duration, owns bool, until time.Duration) Step {
	r.observe(now, owns)
	if !owns || r.busy || now < r.notBefore {
		return Step{}
	}
	step := r.step(now, until)
	r.busy = step.Kind != StepNone
	return step
}

// observe notes since when the upstream is owned. Whoever lost it claims again.
func (r *Runner) observe(now time.Duration, owns bool) {
	if owns && !r.owned {
		r.ownedSince = now
	}
	if !owns && r.owned && r.phase != phaseIdle {
		r.phase = phaseClaim
	}
	r.owned = owns
}

func (r *Runner) step(now, until time.Duration) Step {
	switch r.phase {
	case phaseClaim:
		r.asked = r.order.Operation
		return Step{Kind: StepClaim, Claim: Claim{
			Upstream: r.settings.Upstream, Operation: r.order.Operation,
			Instance: r.settings.Instance, Boot: r.settings.Boot, After: r.newest,
		}}
	case phaseRead:
		return Step{Kind: StepRead, Spec: r.order.Spec, Deadline: now + r.settings.CallTimeout}
	case phaseCall:
		if !r.mayCall(now, until) {
			return Step{}
		}
		return Step{
			Kind: StepCall, Spec: r.order.Spec, Fencing: r.fencing,
			Deadline: now + r.settings.CallTimeout,
		}
	case phaseFinish:
		return Step{Kind: StepFinish, Finish: r.outcome}
	default:
		return Step{}
	}
}

// mayCall tells whether a call started now keeps clear of other owners' calls.
func (r *Runner) mayCall(now, until time.Duration) bool {
	if r.settings.ChecksFencing {
		return now < until
	}
	formerIsOver := now >= r.ownedSince+r.settings.CallTimeout
	return formerIsOver && now+r.settings.CallTimeout <= until
}

// Claimed reports the answer to a claim; ok is false when there was none.
func (r *Runner) Claimed(a Answer, ok bool) {
	r.busy = false
	if !ok || r.phase != phaseClaim || r.asked != r.order.Operation {
		return
	}
	r.newest = max(r.newest, a.Fencing)
	switch a.Code {
	case CodeAccepted:
		r.fencing = a.Fencing
		r.phase = phaseRead
	case CodeStale:
		// Now the newest number is known: claim again.
	default:
		r.phase = phaseIdle
	}
}

// Read reports a read that ended at now.
func (r *Runner) Read(now time.Duration, result ReadResult) {
	r.busy = false
	if r.phase != phaseRead {
		return
	}
	switch {
	case result == ReadDone && (r.confirmed || r.settings.ChecksFencing):
		r.finish(true, "")
	case result == ReadDone:
		// An earlier owner's order may still arrive: look again after it must have.
		r.confirmed = true
		r.notBefore = now + r.settings.CallTimeout
	case result == ReadOther && r.calls >= r.settings.Calls:
		r.finish(false, "the engine is not as ordered after every call")
	case result == ReadOther:
		r.confirmed = false
		r.phase = phaseCall
	default:
		r.notBefore = now + r.settings.ReadInterval
	}
}

// Called reports a call that ended at now; detail words a rejection.
func (r *Runner) Called(now time.Duration, result CallResult, detail string) {
	r.busy = false
	r.calls++
	if r.phase != phaseCall {
		return
	}
	switch result {
	case CallFenced:
		r.phase = phaseClaim
	case CallRejected:
		r.finish(false, detail)
	case CallUnknown:
		// The engine may still act on it within one longest call.
		r.phase, r.notBefore = phaseRead, now+r.settings.CallTimeout
	default:
		r.phase = phaseRead
	}
}

func (r *Runner) finish(succeeded bool, detail string) {
	r.outcome = Finish{Upstream: r.settings.Upstream, Fencing: r.fencing, Succeeded: succeeded, Detail: detail}
	r.phase = phaseFinish
}

// Finished reports the answer to a finish; ok is false when there was none.
func (r *Runner) Finished(a Answer, ok bool) {
	r.busy = false
	if !ok || r.phase != phaseFinish {
		return
	}
	if a.Code == CodeStale {
		r.phase = phaseClaim // another owner claimed the order meanwhile
		return
	}
	r.phase = phaseIdle
}

// Idle tells whether no order is under way.
func (r *Runner) Idle() bool { return r.phase == phaseIdle }
