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

// RunnerSettings configures a Runner. Zero durations and counts mean the defaults.
type RunnerSettings struct {
	Upstream fleet.UpstreamID
	Instance fleet.InstanceID
	Boot     fleet.BootID
	// ChecksFencing is set if the engine rejects old fencing numbers.
	ChecksFencing bool
	// CallTimeout bounds a call to the engine: the caller cancels it then, and
	// the engine acts on it within this time or not at all. It must be well
	// below the lease duration.
	CallTimeout time.Duration
	// ReadInterval is the time between two reads of the state of an engine that
	// is executing an order.
	ReadInterval time.Duration
	// Calls is how many times an order is sent to the engine before it counts as
	// failed.
	Calls int
}

// StepKind is the kind of a Step.
type StepKind uint8

// Kinds of a Step.
const (
	// StepNone requires nothing. The caller should call Next again after the next
	// event, or after a short time.
	StepNone StepKind = iota
	// StepClaim requires committing Claim and then calling Runner.HandleClaim.
	StepClaim
	// StepRead requires reading the engine's state and then calling
	// Runner.HandleRead.
	StepRead
	// StepCall requires sending the order to the engine under Fencing and then
	// calling Runner.HandleCall. The caller must check the lease again directly
	// before the write, and cancel the call at Deadline.
	StepCall
	// StepFinish requires committing Finish and then calling Runner.HandleFinish.
	StepFinish
)

// Step is the next action that a Runner requires of its caller.
type Step struct {
	Kind     StepKind
	Claim    Claim               // for StepClaim
	Finish   Finish              // for StepFinish
	Spec     OrderSpec           // for StepRead and StepCall
	Fencing  fleet.FencingNumber // for StepCall
	Deadline time.Duration       // when a read or a call must be canceled
}

// CallResult is the result of a call to an engine.
type CallResult uint8

// Results of a call.
const (
	// CallAccepted means that the engine accepted the order.
	CallAccepted CallResult = iota + 1
	// CallFenced means that the engine rejected the order because it has seen a
	// larger fencing number.
	CallFenced
	// CallRejected means that the engine will never accept the order.
	CallRejected
	// CallUnknown means that the call timed out without an answer.
	CallUnknown
)

// ReadResult is the progress of an order according to the engine's state.
type ReadResult uint8

// Results of a read.
const (
	// ReadDone means that the engine is in the state that the order requires.
	ReadDone ReadResult = iota + 1
	// ReadWorking means that the engine is changing to that state.
	ReadWorking
	// ReadOther means that the engine is neither in that state nor changing to
	// it.
	ReadOther
	// ReadUnknown means that the state could not be read.
	ReadUnknown
)

// Runner carries out the orders of one upstream, one at a time, while this router
// owns the upstream. It does no I/O: its caller calls Next, performs the Step and
// reports the result before it calls Next for another Step.
//
// Fencing numbers protect engines that check them (Gray and Cheriton, SOSP 1989;
// Burrows, OSDI 2006): the control log issues them in increasing order. For other
// engines the Runner separates the calls of two owners in time. It makes a call
// only if the remaining lease covers CallTimeout, so that the call ends within the
// lease. A new owner, whose lease starts after that, waits another CallTimeout
// before its first call. So an old order can take effect after a newer one only if
// its owner stalled for longer than CallTimeout between its last check of the
// lease and the write. In that case the Runner finds the wrong state when it reads
// the engine's state back, and sends the order again. For engines that don't check
// fencing numbers it confirms a finished order by a second read.
type Runner struct {
	settings   RunnerSettings
	order      Order
	phase      phase
	busy       bool   // a Step is pending
	claiming   string // operation ID of the pending claim
	owned      bool
	ownedSince time.Duration
	fencing    fleet.FencingNumber
	newest     fleet.FencingNumber // largest known number of the upstream
	calls      int                 // calls made for the order
	confirmed  bool                // a read has already returned ReadDone
	notBefore  time.Duration       // no Step is due before this time
	outcome    Finish
}

// phase is the step that the order requires next.
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

// SetChecksFencing sets whether the engine rejects old fencing numbers, which a
// change of the lists may alter. It takes effect with the next call.
func (r *Runner) SetChecksFencing(checks bool) { r.settings.ChecksFencing = checks }

// SetOrder sets the upstream's newest order. A known or older order is ignored. An
// order that supersedes another is started at once, or after the pending Step.
func (r *Runner) SetOrder(o Order) {
	if o.Version <= r.order.Version {
		return
	}
	r.order = o
	r.newest = max(r.newest, o.Fencing)
	r.phase, r.calls, r.confirmed = phaseClaim, 0, false
}

// Next returns the Step to perform at now. owns reports whether the router owns
// the upstream, until is the end of its lease.
func (r *Runner) Next(now time.Duration, owns bool, until time.Duration) Step {
	r.setOwned(now, owns)
	if !owns || r.busy || now < r.notBefore {
		return Step{}
	}
	step := r.nextStep(now, until)
	r.busy = step.Kind != StepNone
	return step
}

// setOwned records since when the router owns the upstream. After losing the
// upstream the router must claim its order again.
func (r *Runner) setOwned(now time.Duration, owns bool) {
	if owns && !r.owned {
		r.ownedSince = now
	}
	if !owns && r.owned && r.phase != phaseIdle {
		r.phase = phaseClaim
	}
	r.owned = owns
}

func (r *Runner) nextStep(now, until time.Duration) Step {
	switch r.phase {
	case phaseClaim:
		r.claiming = r.order.Operation
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

// mayCall reports whether a call that starts now cannot overlap with calls of
// other owners.
func (r *Runner) mayCall(now, until time.Duration) bool {
	if r.settings.ChecksFencing {
		return now < until
	}
	previousCallsEnded := now >= r.ownedSince+r.settings.CallTimeout
	return previousCallsEnded && now+r.settings.CallTimeout <= until
}

// HandleClaim processes the answer to the claim of a StepClaim; ok is false if none
// was received.
func (r *Runner) HandleClaim(a Answer, ok bool) {
	r.busy = false
	if !ok || r.phase != phaseClaim || r.claiming != r.order.Operation {
		return
	}
	r.newest = max(r.newest, a.Fencing)
	switch a.Code {
	case CodeAccepted:
		r.fencing = a.Fencing
		r.phase = phaseRead
	case CodeStale:
		// The answer holds the newest number: claim again with it.
	default:
		r.phase = phaseIdle
	}
}

// HandleRead processes the result of a StepRead that ended at now.
func (r *Runner) HandleRead(now time.Duration, result ReadResult) {
	r.busy = false
	if r.phase != phaseRead {
		return
	}
	switch {
	case result == ReadDone && (r.confirmed || r.settings.ChecksFencing):
		r.setOutcome(true, "")
	case result == ReadDone:
		// A previous owner's order may still arrive, within CallTimeout: read again
		// after that.
		r.confirmed = true
		r.notBefore = now + r.settings.CallTimeout
	case result == ReadOther && r.calls >= r.settings.Calls:
		r.setOutcome(false, "the engine is not as ordered after every call")
	case result == ReadOther:
		r.confirmed = false
		r.phase = phaseCall
	default:
		r.notBefore = now + r.settings.ReadInterval
	}
}

// HandleCall processes the result of a StepCall that ended at now; detail is the
// reason for CallRejected.
func (r *Runner) HandleCall(now time.Duration, result CallResult, detail string) {
	r.busy = false
	r.calls++
	if r.phase != phaseCall {
		return
	}
	switch result {
	case CallFenced:
		r.phase = phaseClaim
	case CallRejected:
		r.setOutcome(false, detail)
	case CallUnknown:
		// The engine may still act on the call, within CallTimeout.
		r.phase, r.notBefore = phaseRead, now+r.settings.CallTimeout
	default:
		r.phase = phaseRead
	}
}

// setOutcome records the outcome of the order, which StepFinish then commits.
func (r *Runner) setOutcome(succeeded bool, detail string) {
	r.outcome = Finish{Upstream: r.settings.Upstream, Fencing: r.fencing, Succeeded: succeeded, Detail: detail}
	r.phase = phaseFinish
}

// HandleFinish processes the answer to the finish of a StepFinish; ok is false if
// none was received.
func (r *Runner) HandleFinish(a Answer, ok bool) {
	r.busy = false
	if !ok || r.phase != phaseFinish {
		return
	}
	if a.Code == CodeStale {
		r.phase = phaseClaim // another owner has claimed the order
		return
	}
	r.phase = phaseIdle
}

// Idle reports whether no order is being carried out.
func (r *Runner) Idle() bool { return r.phase == phaseIdle }
