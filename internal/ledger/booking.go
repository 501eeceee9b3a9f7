package ledger

import (
	"time"

	"github.com/wigeonflow/wigeonflow/internal/answer"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// Defaults of the durations in BookingConfig.
const (
	DefaultResendInterval = 500 * time.Millisecond
	DefaultBeginTimeout   = 5 * time.Second
	DefaultRecordTimeout  = time.Minute
	DefaultLeaseMargin    = 100 * time.Millisecond
)

// BookingConfig describes one attempt of a request that must not run twice.
type BookingConfig struct {
	Key     Key
	Body    BodyDigest
	Attempt answer.AttemptID
	// Owner and Boot identify this process.
	Owner fleet.InstanceID
	Boot  fleet.BootID
	// Tenure is the tenure in which the booking starts, and the only one in which it
	// may write.
	Tenure uint64
	// ResendInterval is the time after which a command without a result is sent again; 0
	// means DefaultResendInterval.
	ResendInterval time.Duration
	// BeginTimeout is how long to try to record the begin, and the maximum time for
	// which a reply waits for the record of the end; 0 means DefaultBeginTimeout.
	BeginTimeout time.Duration
	// RecordTimeout is how long to try to record the end; 0 means
	// DefaultRecordTimeout. Afterwards the record stays begun until the session of
	// this process ends.
	RecordTimeout time.Duration
	// LeaseMargin is the minimum remaining time of the lease for a write; 0 means
	// DefaultLeaseMargin.
	LeaseMargin time.Duration
}

func (c BookingConfig) withDefaults() BookingConfig {
	c.ResendInterval = orDefault(c.ResendInterval, DefaultResendInterval)
	c.BeginTimeout = orDefault(c.BeginTimeout, DefaultBeginTimeout)
	c.RecordTimeout = orDefault(c.RecordTimeout, DefaultRecordTimeout)
	c.LeaseMargin = orDefault(c.LeaseMargin, DefaultLeaseMargin)
	return c
}

// BookingEvent is an input of a Booking: Started, CommandResult,
// AttemptEnded or Ticked.
type BookingEvent interface{ bookingEvent() }

// Started is the first event.
type Started struct{}

// CommandResult reports the result of a command. A lost result is not reported: a later
// Ticked causes the command to be sent again.
type CommandResult struct {
	Op     Op
	Result Result
}

// AttemptEnded reports that the attempt at the service ended, with what is known of it.
type AttemptEnded struct {
	Facts answer.Facts
	// Answer is set if Facts.Complete is true.
	Answer Answer
}

// Ticked is the event of the timer, see NextTick.
type Ticked struct{}

func (Started) bookingEvent()       {}
func (CommandResult) bookingEvent() {}
func (AttemptEnded) bookingEvent()  {}
func (Ticked) bookingEvent()        {}

// BookingAction is an output of a Booking: Propose, Dispatch, Reply or End.
type BookingAction interface{ bookingAction() }

// Propose requests that the command is sent to the control leader.
type Propose struct{ Command Command }

// Dispatch requests that the request is sent to the service once. The caller must check
// MayWrite directly before it writes the first byte.
type Dispatch struct{}

// Reply requests that the outcome of the attempt is returned to the entry router.
type Reply struct {
	Code ReplyCode
	// Answer is an encoded Answer, for ReplyAnswer, and for ReplyUnknown if the
	// service declined.
	Answer []byte
	// Replayed reports whether Answer is the answer of an earlier attempt.
	Replayed bool
	// Holder is the attempt that holds the key, for ReplyInProgress, ReplyUnknown
	// and ReplyRan.
	Holder  answer.AttemptID
	Outcome fleet.Outcome
}

// End requests that the caller discards the booking. Recorded reports whether the end of
// the attempt was recorded.
type End struct{ Recorded bool }

func (Propose) bookingAction()  {}
func (Dispatch) bookingAction() {}
func (Reply) bookingAction()    {}
func (End) bookingAction()      {}

// ReplyCode is the outcome of an attempt.
type ReplyCode uint8

const (
	// ReplyAnswer carries the service's complete answer.
	ReplyAnswer ReplyCode = iota
	// ReplyRan means the request ran and its answer is no longer kept.
	ReplyRan
	// ReplyInProgress means another attempt is running under the key.
	ReplyInProgress
	// ReplyUnknown means this or another attempt may have run.
	ReplyUnknown
	// ReplyBodyMismatch means the key was used with another body.
	ReplyBodyMismatch
	// ReplyFull means the ledger has reached its maximum number of records.
	ReplyFull
	// ReplyNoControl means the begin could not be recorded.
	ReplyNoControl
	// ReplyNoLease means this process may not write: it has no lease in the booking's
	// tenure, or the attempt has already ended.
	ReplyNoLease
	// ReplyNotSent means that no byte was sent to the service.
	ReplyNotSent
)

// phase is the progress of a booking.
type phase uint8

const (
	phaseNew       phase = iota
	phaseBeginning       // the OpBegin is pending
	phaseRunning         // the request was dispatched
	phaseRecording       // an OpFinish, OpAbandon or OpMarkUnknown is pending
	phaseEnded
)

// Booking is the state machine of one attempt in one process: it records the begin,
// dispatches the request, and records its end. It does no I/O: HandleEvent takes
// events and returns actions.
//
// Invariants: Dispatch is returned at most once, only after CodeStarted for this
// attempt and only in phaseBeginning; a reply with the outcome not-run is
// returned only if the booking will never return Dispatch or if the dispatch
// ended without a byte written; exactly one Reply is returned.
type Booking struct {
	config       BookingConfig
	phase        phase
	command      Command       // the command whose result is pending
	resendAt     time.Duration // when the command is sent again
	deadline     time.Duration // when the command is abandoned
	pendingReply *Reply        // returned once the command is recorded, or at replyBy at the latest
	replyBy      time.Duration

	fault bookingFault
}

// bookingFault disables one safety mechanism in tests.
type bookingFault uint8

const (
	bookingFaultNone          bookingFault = iota
	bookingFaultDispatchFirst              // dispatch before the begin is committed
	bookingFaultNoLeaseCheck               // write without a lease check
	bookingFaultAnyTenure                  // write under a lease of any tenure
)

// NewBooking returns the booking of an attempt that has not begun.
func NewBooking(config BookingConfig) *Booking {
	return &Booking{config: config.withDefaults()}
}

// MayWrite reports whether the process may write the first byte to the network at
// now, on its monotonic clock, under the given lease. The caller checks it directly
// before the write, because the process may have been suspended at any time before.
// A lease of another tenure is not sufficient: the key may have been freed in
// between. MayWrite may be called from any goroutine.
func (b *Booking) MayWrite(now time.Duration, lease Lease) bool {
	if b.fault == bookingFaultNoLeaseCheck {
		return true
	}
	sameTenure := lease.Tenure == b.config.Tenure || b.fault == bookingFaultAnyTenure
	return sameTenure && now+b.config.LeaseMargin < lease.Until
}

// HandleEvent handles an event at now, where lease is the current lease of the process,
// and returns the actions to perform.
func (b *Booking) HandleEvent(now time.Duration, lease Lease, event BookingEvent) []BookingAction {
	switch e := event.(type) {
	case Started:
		return b.start(now)
	case CommandResult:
		return b.handleResult(now, lease, e)
	case AttemptEnded:
		return b.handleAttemptEnded(now, e)
	default:
		return b.tick(now)
	}
}

// NextTick returns when the next Ticked is due, and false if none is needed.
func (b *Booking) NextTick() (time.Duration, bool) {
	next := min(b.resendAt, b.deadline)
	if b.pendingReply != nil {
		next = min(next, b.replyBy)
	}
	return next, b.phase == phaseBeginning || b.phase == phaseRecording
}

func (b *Booking) start(now time.Duration) []BookingAction {
	if b.phase != phaseNew {
		return nil
	}
	actions := b.propose(now, phaseBeginning, OpBegin, b.config.BeginTimeout)
	if b.fault == bookingFaultDispatchFirst {
		b.phase = phaseRunning
		return append(actions, Dispatch{})
	}
	return actions
}

// propose sends a command and waits for its result for up to timeout, see tick.
func (b *Booking) propose(now time.Duration, phase phase, op Op, timeout time.Duration) []BookingAction {
	b.phase = phase
	b.command = Command{
		Op: op, Key: b.config.Key, Body: b.config.Body, Attempt: b.config.Attempt,
		Owner: b.config.Owner, Boot: b.config.Boot, Tenure: b.config.Tenure, Answer: b.command.Answer,
	}
	b.resendAt = now + b.config.ResendInterval
	b.deadline = now + timeout
	return []BookingAction{Propose{b.command}}
}

// tick sends the pending command again, or abandons it after its deadline.
func (b *Booking) tick(now time.Duration) []BookingAction {
	switch {
	case b.phase != phaseBeginning && b.phase != phaseRecording:
		return nil
	case now >= b.deadline && b.phase == phaseBeginning:
		return b.abandon(now, Reply{Code: ReplyNoControl}, false)
	case now >= b.deadline:
		return b.end(false)
	}
	var actions []BookingAction
	if now >= b.replyBy {
		actions = b.takePendingReply()
	}
	if now >= b.resendAt {
		b.resendAt = now + b.config.ResendInterval
		actions = append(actions, Propose{b.command})
	}
	return actions
}

// handleResult handles the result of the pending command. The result of any other
// command is late and is ignored.
func (b *Booking) handleResult(now time.Duration, lease Lease, e CommandResult) []BookingAction {
	if e.Op != b.command.Op || e.Result.Code == CodeInvalid {
		return nil
	}
	switch b.phase {
	case phaseBeginning:
		return b.handleBeginResult(now, lease, e.Result)
	case phaseRecording:
		return b.end(true)
	default:
		return nil
	}
}

// handleBeginResult handles the result of the begin. If control has ended the session
// of this process in the meantime, there may be a record of this attempt, so the
// attempt is abandoned to free the key.
func (b *Booking) handleBeginResult(now time.Duration, lease Lease, r Result) []BookingAction {
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
	return []BookingAction{rejectionReply(r), End{Recorded: true}}
}

// rejectionReply returns the reply for a rejected begin. This attempt did not run; the
// reply describes the attempt that holds the key.
func rejectionReply(r Result) Reply {
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

// handleAttemptEnded records the end of the attempt. A complete answer is returned to
// the caller immediately: it is valid whether or not it gets recorded. A key that may
// be used again is freed before the reply says so.
func (b *Booking) handleAttemptEnded(now time.Duration, e AttemptEnded) []BookingAction {
	if b.phase != phaseRunning {
		return nil
	}
	switch {
	case e.Facts.Complete && !e.Facts.Declined:
		return b.finish(now, e.Answer)
	case !e.Facts.MayHaveBeenSent:
		return b.abandon(now, Reply{Code: ReplyNotSent}, true)
	default:
		return b.markUnknown(now, e)
	}
}

// markUnknown records that the attempt may have run. The reply waits for the record,
// because settling the key requires it. If the upstream declined, it received the
// request: its answer is returned to the caller, but not stored under the key.
func (b *Booking) markUnknown(now time.Duration, e AttemptEnded) []BookingAction {
	reply := Reply{Code: ReplyUnknown, Holder: b.config.Attempt, Outcome: fleet.OutcomeUnknown}
	if e.Facts.Declined {
		reply.Answer, _ = e.Answer.Encode()
	}
	return b.proposeThenReply(now, OpMarkUnknown, reply)
}

// proposeThenReply returns the reply once the command is recorded, but after
// BeginTimeout at the latest.
func (b *Booking) proposeThenReply(now time.Duration, op Op, reply Reply) []BookingAction {
	b.pendingReply = &reply
	b.replyBy = now + b.config.BeginTimeout
	return b.propose(now, phaseRecording, op, b.config.RecordTimeout)
}

// finish records the complete answer and returns it immediately. An answer that can't be
// encoded is returned and recorded as empty.
func (b *Booking) finish(now time.Duration, complete Answer) []BookingAction {
	encoded, err := complete.Encode()
	if err != nil {
		encoded = nil // the record shows only that the attempt ran
	}
	b.command.Answer = encoded
	reply := Reply{Code: ReplyAnswer, Answer: encoded, Outcome: fleet.OutcomeRan}
	return append(b.propose(now, phaseRecording, OpFinish, b.config.RecordTimeout), reply)
}

// abandon ends an attempt of which no byte was or will be sent. The reply waits for
// the record only if wait is set, for a caller that may reuse the key immediately.
func (b *Booking) abandon(now time.Duration, reply Reply, wait bool) []BookingAction {
	reply.Outcome = fleet.OutcomeNotRun
	if wait {
		return b.proposeThenReply(now, OpAbandon, reply)
	}
	return append(b.propose(now, phaseRecording, OpAbandon, b.config.RecordTimeout), reply)
}

// end ends the booking and returns the pending reply, if any, and End.
func (b *Booking) end(recorded bool) []BookingAction {
	b.phase = phaseEnded
	return append(b.takePendingReply(), End{Recorded: recorded})
}

// takePendingReply returns the pending reply, if there is one, and clears it.
func (b *Booking) takePendingReply() []BookingAction {
	if b.pendingReply == nil {
		return nil
	}
	reply := *b.pendingReply
	b.pendingReply = nil
	return []BookingAction{reply}
}
