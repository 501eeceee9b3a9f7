package ledger

import (
	"time"

	"github.com/wigeonflow/wigeonflow/internal/answer"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// Defaults of BookingConfig's times.
const (
	DefaultResend      = 500 * time.Millisecond
	DefaultBeginWithin = 5 * time.Second
	DefaultRecordFor   = time.Minute
	DefaultLeaseMargin = 100 * time.Millisecond
)

// BookingConfig describes one attempt at a request that may not be repeated.
type BookingConfig struct {
	Key     Key
	Body    BodyDigest
	Attempt answer.AttemptID
	// Owner and Boot name this process.
	Owner fleet.InstanceID
	Boot  fleet.BootID
	// Tenure is the one in which the booking starts, and the only one in which it
	// may write.
	Tenure uint64
	// Resend is how long to wait for a command's result; 0 means DefaultResend.
	Resend time.Duration
	// BeginWithin is how long to try to record the begin; 0 means
	// DefaultBeginWithin.
	BeginWithin time.Duration
	// RecordFor is how long to try to record the end; 0 means DefaultRecordFor.
	// After it the record waits for the end of this process' session.
	RecordFor time.Duration
	// LeaseMargin is how much of the lease must be left to write; 0 means
	// DefaultLeaseMargin.
	LeaseMargin time.Duration
}

func (c BookingConfig) withDefaults() BookingConfig {
	c.Resend = orDefault(c.Resend, DefaultResend)
	c.BeginWithin = orDefault(c.BeginWithin, DefaultBeginWithin)
	c.RecordFor = orDefault(c.RecordFor, DefaultRecordFor)
	c.LeaseMargin = orDefault(c.LeaseMargin, DefaultLeaseMargin)
	return c
}

// BookingEvent is an input of a Booking: Started, Received, Dispatched or
// Ticked.
type BookingEvent interface{ bookingEvent() }

// Started is the first event.
type Started struct{}

// Received brings the result of a command. A lost result is not reported: Ticked
// leads to the command being sent again.
type Received struct {
	Op     Op
	Result Result
}

// Dispatched tells how the attempt at the service ended.
type Dispatched struct {
	Facts answer.Facts
	// Answer is set if Facts.Whole is.
	Answer Answer
}

// Ticked tells that time has passed.
type Ticked struct{}

func (Started) bookingEvent()    {}
func (Received) bookingEvent()   {}
func (Dispatched) bookingEvent() {}
func (Ticked) bookingEvent()     {}

// BookingAction is an output of a Booking: Propose, Dispatch, Reply or End.
type BookingAction interface{ bookingAction() }

// Propose asks to send the command to the control leader.
type Propose struct{ Command Command }

// Dispatch asks to send the request to the service, once, with MayWrite asked
// directly before the first byte.
type Dispatch struct{}

// Reply asks to tell the entry router what became of the attempt.
type Reply struct {
	Code ReplyCode
	// Answer is an encoded Answer, for ReplyAnswer, and for ReplyUnknown if the
	// service declined.
	Answer []byte
	// Replayed tells that the answer is that of an earlier attempt.
	Replayed bool
	// Holder is the attempt that holds the key, for ReplyInProgress, ReplyUnknown
	// and ReplyRan.
	Holder  answer.AttemptID
	Outcome fleet.Outcome
}

// End asks to forget the booking: its end is recorded, or can't be.
type End struct{ Recorded bool }

func (Propose) bookingAction()  {}
func (Dispatch) bookingAction() {}
func (Reply) bookingAction()    {}
func (End) bookingAction()      {}

// ReplyCode tells what became of an attempt.
type ReplyCode uint8

const (
	// ReplyAnswer brings the service's whole answer.
	ReplyAnswer ReplyCode = iota
	// ReplyRan means the request ran and its answer is no longer kept.
	ReplyRan
	// ReplyInProgress means another attempt runs under the key.
	ReplyInProgress
	// ReplyUnknown means this or another attempt may have run.
	ReplyUnknown
	// ReplyBodyMismatch means the key was used with another body.
	ReplyBodyMismatch
	// ReplyFull means the ledger holds no further key.
	ReplyFull
	// ReplyNoControl means the begin could not be recorded.
	ReplyNoControl
	// ReplyNoLease means this process may not open work any more.
	ReplyNoLease
	// ReplyNotSent means that no byte left for the service.
	ReplyNotSent
)

// phase is how far a booking got.
type phase uint8

const (
	phaseNew phase = iota
	phaseBeginning
	phaseRunning
	phaseRecording // an OpFinish, OpAbandon or OpMarkUnknown is on its way
	phaseEnded
)

// Booking drives one attempt of one process: begin, dispatch, and the record of
// its end. It does no I/O: Step takes events and returns actions.
//
// Invariants: Dispatch is returned at most once, only after CodeStarted for this
// attempt and only in phaseBeginning; a reply with the outcome not-run is
// returned only if the booking will never return Dispatch or if the dispatch
// ended without a byte written; exactly one Reply is returned.
type Booking struct {
	config  BookingConfig
	phase   phase
	command Command // the one whose result is awaited
	resend  time.Duration
	giveUp  time.Duration
	delayed *Reply // returned once the command is recorded, or at replyBy
	replyBy time.Duration

	flaw bookingFlaw
}

// bookingFlaw turns one mechanism off in test builds.
type bookingFlaw uint8

const (
	bookingFlawNone bookingFlaw = iota
	bookingFlawDispatchFirst
	bookingFlawNoLeaseCheck
	bookingFlawAnyTenure
)

// NewBooking returns the booking of an attempt that was not begun.
func NewBooking(config BookingConfig) *Booking {
	return &Booking{config: config.withDefaults()}
}

// MayWrite tells whether the process may hand a first byte to the network at
// now, on its monotonic clock, under the lease that it holds. The shell asks it
// directly before the write, since the process may have stood still at any time
// before. A lease of another tenure doesn't count: the key may have been freed
// in between. MayWrite may be called from any goroutine.
func (b *Booking) MayWrite(now time.Duration, lease Lease) bool {
	if b.flaw == bookingFlawNoLeaseCheck {
		return true
	}
	sameTenure := lease.Tenure == b.config.Tenure || b.flaw == bookingFlawAnyTenure
	return sameTenure && now+b.config.LeaseMargin < lease.Until
}

// Step takes an event at now, under the lease that the process holds.
func (b *Booking) Step(now time.Duration, lease Lease, event BookingEvent) []BookingAction {
	switch e := event.(type) {
	case Started:
		return b.start(now)
	case Received:
		return b.receive(now, lease, e)
	case Dispatched:
		return b.dispatched(now, e)
	default:
		return b.tick(now)
	}
}

// NextTick returns when Ticked is due, and false if it is not.
func (b *Booking) NextTick() (time.Duration, bool) {
	next := min(b.resend, b.giveUp)
	if b.delayed != nil {
		next = min(next, b.replyBy)
	}
	return next, b.phase == phaseBeginning || b.phase == phaseRecording
}

func (b *Booking) start(now time.Duration) []BookingAction {
	if b.phase != phaseNew {
		return nil
	}
	actions := b.send(now, phaseBeginning, OpBegin, b.config.BeginWithin)
	if b.flaw == bookingFlawDispatchFirst {
		b.phase = phaseRunning
		return append(actions, Dispatch{})
	}
	return actions
}

// send starts to have a command recorded.
func (b *Booking) send(now time.Duration, phase phase, op Op, within time.Duration) []BookingAction {
	b.phase = phase
	b.command = Command{
		Op: op, Key: b.config.Key, Body: b.config.Body, Attempt: b.config.Attempt,
		Owner: b.config.Owner, Boot: b.config.Boot, Tenure: b.config.Tenure, Answer: b.command.Answer,
	}
	b.resend = now + b.config.Resend
	b.giveUp = now + within
	return []BookingAction{Propose{b.command}}
}

// tick sends the command again, or gives it up.
func (b *Booking) tick(now time.Duration) []BookingAction {
	switch {
	case b.phase != phaseBeginning && b.phase != phaseRecording:
		return nil
	case now >= b.giveUp && b.phase == phaseBeginning:
		return b.abandon(now, Reply{Code: ReplyNoControl}, false)
	case now >= b.giveUp:
		return b.end(false)
	}
	var actions []BookingAction
	if now >= b.replyBy {
		actions = b.takeDelayed()
	}
	if now >= b.resend {
		b.resend = now + b.config.Resend
		actions = append(actions, Propose{b.command})
	}
	return actions
}

// receive takes a command's result. One of a command that is no longer awaited
// is late and changes nothing.
func (b *Booking) receive(now time.Duration, lease Lease, e Received) []BookingAction {
	if e.Op != b.command.Op || e.Result.Code == CodeInvalid {
		return nil
	}
	switch b.phase {
	case phaseBeginning:
		return b.begun(now, lease, e.Result)
	case phaseRecording:
		return b.end(true)
	default:
		return nil
	}
}

// begun takes the answer to the begin. A process that was taken for gone may
// have left a begin of this attempt behind: it frees the key.
func (b *Booking) begun(now time.Duration, lease Lease, r Result) []BookingAction {
	if r.Code == CodeStarted {
		if !b.MayWrite(now, lease) {
			return b.abandon(now, Reply{Code: ReplyNoLease}, false)
		}
		b.phase = phaseRunning
		return []BookingAction{Dispatch{}}
	}
	if r.Code == CodeSessionEnded || (r.Code == CodeUnknown && r.Attempt == b.config.Attempt) {
		return b.abandon(now, Reply{Code: ReplyNoLease}, false)
	}
	b.phase = phaseEnded
	return []BookingAction{refusal(r), End{Recorded: true}}
}

// refusal tells why an attempt was not begun. This attempt did not run; what is
// said is what is known of the key.
func refusal(r Result) Reply {
	reply := Reply{Holder: r.Attempt, Outcome: fleet.OutcomeNotRun}
	switch r.Code {
	case CodeReplay:
		reply.Code, reply.Answer, reply.Replayed = ReplyAnswer, r.Answer, true
		reply.Outcome = fleet.OutcomeRan
	case CodeRan:
		reply.Code, reply.Outcome = ReplyRan, fleet.OutcomeRan
	case CodeInProgress:
		reply.Code, reply.Outcome = ReplyInProgress, fleet.OutcomeUnknown
	case CodeUnknown:
		reply.Code, reply.Outcome = ReplyUnknown, fleet.OutcomeUnknown
	case CodeBodyMismatch:
		reply.Code = ReplyBodyMismatch
	case CodeFull:
		reply.Code = ReplyFull
	case CodeAttemptEnded:
		reply.Code = ReplyNoLease
	default:
		reply.Code = ReplyNoControl
	}
	return reply
}

// dispatched records the end of the attempt. The whole answer goes to the
// caller at once: it is true whether or not it gets recorded. A key that may be
// used again is freed before the caller is told so.
func (b *Booking) dispatched(now time.Duration, e Dispatched) []BookingAction {
	if b.phase != phaseRunning {
		return nil
	}
	switch {
	case e.Facts.Whole && !e.Facts.Declined:
		return b.finish(now, e.Answer)
	case !e.Facts.MayHaveLeft:
		return b.abandon(now, Reply{Code: ReplyNotSent}, true)
	default:
		return b.markUnknown(now, e)
	}
}

// markUnknown leaves the key to be settled, which needs the record: the reply
// waits for it. An upstream that declines has seen the request: its answer goes
// to the caller, but is not kept as the key's.
func (b *Booking) markUnknown(now time.Duration, e Dispatched) []BookingAction {
	reply := Reply{Code: ReplyUnknown, Holder: b.config.Attempt, Outcome: fleet.OutcomeUnknown}
	if e.Facts.Declined {
		reply.Answer, _ = e.Answer.Encode()
	}
	return b.sendThenReply(now, OpMarkUnknown, reply)
}

// sendThenReply has the command recorded before the reply, but lets the caller
// wait no longer than for a begin.
func (b *Booking) sendThenReply(now time.Duration, op Op, reply Reply) []BookingAction {
	b.delayed = &reply
	b.replyBy = now + b.config.BeginWithin
	return b.send(now, phaseRecording, op, b.config.RecordFor)
}

func (b *Booking) finish(now time.Duration, whole Answer) []BookingAction {
	encoded, err := whole.Encode()
	if err != nil {
		encoded = nil // recorded as run, without its answer
	}
	b.command.Answer = encoded
	reply := Reply{Code: ReplyAnswer, Answer: encoded, Outcome: fleet.OutcomeRan}
	return append(b.send(now, phaseRecording, OpFinish, b.config.RecordFor), reply)
}

// abandon gives up an attempt of which no byte left and none will. The reply
// waits for the record only if the caller would use the key again at once.
func (b *Booking) abandon(now time.Duration, reply Reply, wait bool) []BookingAction {
	reply.Outcome = fleet.OutcomeNotRun
	if wait {
		return b.sendThenReply(now, OpAbandon, reply)
	}
	return append(b.send(now, phaseRecording, OpAbandon, b.config.RecordFor), reply)
}

func (b *Booking) end(recorded bool) []BookingAction {
	b.phase = phaseEnded
	return append(b.takeDelayed(), End{Recorded: recorded})
}

func (b *Booking) takeDelayed() []BookingAction {
	if b.delayed == nil {
		return nil
	}
	reply := *b.delayed
	b.delayed = nil
	return []BookingAction{reply}
}
