package owner

import (
	"context"
	"strings"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/answer"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/ledger"
	"github.com/wigeonflow/wigeonflow/internal/upstream"
)

// AttemptSeparator separates an attempt's number from its upstream, so that a later
// request under the same key can look up the attempt's outcome there.
const AttemptSeparator = "@"

// lookupTimeout bounds looking up an attempt's outcome at a service.
const lookupTimeout = 2 * time.Second

// booking carries out the decisions of the ledger core for one attempt.
type booking struct {
	attempt *callRun
	core    *ledger.Booking
	events  chan ledger.BookingEvent
	reply   chan *CallReply
	cancel  context.CancelFunc
}

func newBooking(r *callRun, cancel context.CancelFunc) *booking {
	return &booking{
		attempt: r, cancel: cancel,
		events: make(chan ledger.BookingEvent, 8),
		reply:  make(chan *CallReply, 1),
		core: ledger.NewBooking(ledger.BookingConfig{
			Key:     r.key(),
			Body:    ledger.BodyDigestOf(r.req.Method, r.req.Path, r.req.Body),
			Attempt: answer.AttemptID(r.req.Header.Attempt),
			Owner:   r.owner.cfg.Instance, Boot: r.owner.cfg.Boot,
			Tenure: r.owner.cfg.Lease().Tenure,
		}),
	}
}

// key returns the key under which the ledger records the request.
func (r *callRun) key() ledger.Key {
	return ledger.KeyOf(r.req.Header.Workspace, r.req.Service, r.req.IdempotencyKey)
}

// run returns the reply for the entry as soon as there is one. The attempt's end is
// recorded in the background.
func (b *booking) run(ctx context.Context) *CallReply {
	b.attempt.owner.running.Add(1) // until the end is recorded: a planned stop waits for it
	go b.loop(ctx)
	reply := <-b.reply
	if reply.Outcome == fleet.OutcomeUnknown && b.attempt.req.LookupPath != "" && reply.Holder != "" {
		b.attempt.resolveUnknown(ctx, reply)
	}
	return reply
}

// loop passes events to the core until it has recorded the attempt's end or abandoned
// it.
func (b *booking) loop(ctx context.Context) {
	defer b.cancel()
	defer b.attempt.owner.running.Add(-1)
	defer b.attempt.slot.cancel()
	ended := b.handleEvent(ctx, ledger.Started{})
	for !ended {
		select {
		case event := <-b.events:
			ended = b.handleEvent(ctx, event)
		case <-b.nextTick():
			ended = b.handleEvent(ctx, ledger.Ticked{})
		}
	}
}

// nextTick returns a channel that receives when the core is due, or nil if it is not.
func (b *booking) nextTick() <-chan time.Time {
	due, ok := b.core.NextTick()
	if !ok {
		return nil
	}
	return time.After(max(due-b.attempt.owner.cfg.Clock(), time.Millisecond))
}

// handleEvent passes an event to the core, carries out its actions and reports whether the
// booking has ended.
func (b *booking) handleEvent(ctx context.Context, event ledger.BookingEvent) (ended bool) {
	now := b.attempt.owner.cfg.Clock()
	for _, action := range b.core.HandleEvent(now, b.attempt.owner.cfg.Lease(), event) {
		switch a := action.(type) {
		case ledger.Propose:
			go b.propose(a.Command)
		case ledger.Dispatch:
			go b.dispatch(ctx)
		case ledger.Reply:
			b.reply <- callReplyOf(a)
		case ledger.End:
			ended = true
		}
	}
	return ended
}

// propose sends a command to the control leader. A failure is only logged, since the
// core resends a command without a result.
func (b *booking) propose(command ledger.Command) {
	ctx, cancel := context.WithTimeout(context.Background(), ledger.DefaultResendInterval)
	defer cancel()
	result, err := b.attempt.owner.cfg.Ledger(ctx, command)
	if err != nil {
		b.attempt.owner.log.Debug("cannot get the result of a ledger command", "step", "ledger.propose", "error", err)
		return
	}
	b.enqueue(ledger.CommandResult{Op: command.Op, Result: result})
}

// dispatch sends the request to the service and queues the result.
func (b *booking) dispatch(ctx context.Context) {
	complete, facts, err := b.attempt.dispatch(ctx, b.mayWrite)
	ended := ledger.AttemptEnded{Facts: facts}
	if err == nil {
		ended.Answer = ledger.Answer{Status: complete.Status, Header: ledgerFields(fieldsOf(complete.Header)), Body: complete.Body}
	}
	b.enqueue(ended)
}

// mayWrite returns the reason for which the request must not be sent, or nil if it may be.
// It is called directly before the first byte is written.
func (b *booking) mayWrite() error {
	o := b.attempt.owner
	if err := o.beforeWrite(b.attempt.req.Header.Upstream)(); err != nil {
		return err
	}
	if !b.core.MayWrite(o.cfg.Clock(), o.cfg.Lease()) {
		return errNotAuthorised.New("the lease under which the attempt was recorded has ended")
	}
	return nil
}

// enqueue queues an event for the loop. A result is dropped if the queue is full, since
// the core resends commands; AttemptEnded, which occurs once, waits for space.
func (b *booking) enqueue(event ledger.BookingEvent) {
	if _, ok := event.(ledger.AttemptEnded); ok {
		b.events <- event
		return
	}
	select {
	case b.events <- event:
	default:
	}
}

// resolveUnknown looks up the outcome of an unknown attempt at the service and records it.
func (r *callRun) resolveUnknown(ctx context.Context, reply *CallReply) {
	_, id, _ := strings.Cut(reply.Holder, AttemptSeparator)
	t, ok := r.owner.target(fleet.UpstreamID(id))
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lookupTimeout)
	defer cancel()
	found, err := t.service.Lookup(ctx, r.req.LookupPath, r.req.IdempotencyKey)
	if err != nil {
		r.owner.log.Info("cannot look up an attempt's outcome at the service", "upstream", id, "error", err)
		return
	}
	switch found.State {
	case upstream.LookupRan:
		r.recordRan(ctx, reply, found)
	case upstream.LookupNever:
		r.recordNeverRan(ctx, reply)
	}
}

// recordRan records in the ledger that an unknown attempt ran, and replaces the reply by
// its answer.
func (r *callRun) recordRan(ctx context.Context, reply *CallReply, found upstream.LookupAnswer) {
	complete := ledger.Answer{Status: found.Status, Body: []byte(found.Body)}
	encoded, err := complete.Encode()
	if err != nil {
		return
	}
	command := ledger.Command{Op: ledger.OpSettleRan, Key: r.key(), Attempt: answer.AttemptID(reply.Holder), Answer: encoded}
	if _, err := r.owner.cfg.Ledger(ctx, command); err != nil {
		r.owner.log.Info("cannot record an attempt's outcome in the ledger", "step", "ledger.settle", "error", err)
	}
	*reply = CallReply{Outcome: fleet.OutcomeRan, Status: complete.Status, Body: complete.Body, Replayed: true, Whole: true}
}

// recordNeverRan records in the ledger that an unknown attempt never ran. The ledger
// accepts that only after a hold, during which the request could still arrive; until then
// the reply gives the remaining time as the retry delay.
func (r *callRun) recordNeverRan(ctx context.Context, reply *CallReply) {
	command := ledger.Command{Op: ledger.OpSettleNever, Key: r.key(), Attempt: answer.AttemptID(reply.Holder)}
	result, err := r.owner.cfg.Ledger(ctx, command)
	if err == nil && result.Code == ledger.CodeTooEarly {
		reply.RetryAfterMillis = uint32(result.Wait.Milliseconds()) + 1
	}
	if err != nil || result.Code != ledger.CodeDone {
		return
	}
	*reply = CallReply{Outcome: fleet.OutcomeNotRun, Step: "ledger.settle", Message: "the service did not run the request; send it again"}
}

// callReplyOf translates the core's reply for the entry.
func callReplyOf(r ledger.Reply) *CallReply {
	reply := &CallReply{Outcome: r.Outcome, Replayed: r.Replayed, Holder: string(r.Holder), Step: "ledger"}
	switch r.Code {
	case ledger.ReplyAnswer:
		return answeredReply(reply, r.Answer)
	case ledger.ReplyInProgress:
		reply.Conflict, reply.Message = ConflictInProgress, "the first request under this key is in progress"
	case ledger.ReplyBodyMismatch:
		reply.Conflict, reply.Message = ConflictBody, "this key was used with another request"
	case ledger.ReplyRan:
		reply.Conflict, reply.Message = ConflictAnswerGone, "the request ran; its answer is no longer kept"
	case ledger.ReplyUnknown:
		reply.Conflict, reply.Message = ConflictUnknown, "the request may have run"
	case ledger.ReplyNotSent:
		reply.End, reply.Message = uint8(answer.EndNotConnected), "the service could not be reached"
	case ledger.ReplyNoLease:
		reply.End, reply.Message = uint8(answer.EndRejected), "this router may not open work"
	default:
		reply.Unavailable, reply.Message = true, "the request could not be recorded"
	}
	return reply
}

// answeredReply completes the reply with a stored answer.
func answeredReply(reply *CallReply, encoded []byte) *CallReply {
	complete, err := ledger.DecodeAnswer(encoded)
	if err != nil {
		reply.Conflict, reply.Message = ConflictAnswerGone, "the request ran; its answer cannot be read"
		return reply
	}
	reply.Status, reply.Body, reply.Whole, reply.Step = complete.Status, complete.Body, true, ""
	for _, f := range complete.Header {
		reply.Fields = append(reply.Fields, HeaderField(f))
	}
	return reply
}

func ledgerFields(fields []HeaderField) []ledger.HeaderField {
	out := make([]ledger.HeaderField, len(fields))
	for i, f := range fields {
		out[i] = ledger.HeaderField(f)
	}
	return out
}
