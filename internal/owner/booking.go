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

// AttemptSeparator parts an attempt's number from the upstream that it is made
// at, so that a later request under the same key can ask there what became of it.
const AttemptSeparator = "@"

// lookupTimeout bounds asking a service what became of an attempt.
const lookupTimeout = 2 * time.Second

// booking carries out what the ledger core decides for one attempt.
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

func (r *callRun) key() ledger.Key {
	return ledger.KeyOf(r.req.Header.Workspace, r.req.Service, r.req.IdempotencyKey)
}

// run returns the reply for the entry as soon as there is one; the record of
// the attempt's end goes on behind it.
func (b *booking) run(ctx context.Context) *CallReply {
	b.attempt.owner.running.Add(1) // until the record's end: a planned stop waits for it
	go b.loop(ctx)
	reply := <-b.reply
	if reply.Outcome == fleet.OutcomeUnknown && b.attempt.req.LookupPath != "" && reply.Holder != "" {
		b.attempt.settle(ctx, reply)
	}
	return reply
}

// loop steps the core until it has recorded the end or given up.
func (b *booking) loop(ctx context.Context) {
	defer b.cancel()
	defer b.attempt.owner.running.Add(-1)
	defer b.attempt.slot.cancel()
	ended := b.step(ctx, ledger.Started{})
	for !ended {
		select {
		case event := <-b.events:
			ended = b.step(ctx, event)
		case <-b.tick():
			ended = b.step(ctx, ledger.Ticked{})
		}
	}
}

func (b *booking) tick() <-chan time.Time {
	due, ok := b.core.NextTick()
	if !ok {
		return nil
	}
	return time.After(max(due-b.attempt.owner.cfg.Clock(), time.Millisecond))
}

// step carries out the core's actions and reports whether the booking ended.
func (b *booking) step(ctx context.Context, event ledger.BookingEvent) (ended bool) {
	now := b.attempt.owner.cfg.Clock()
	for _, action := range b.core.Step(now, b.attempt.owner.cfg.Lease(), event) {
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

// propose sends a command to the control leader. A lost result is not told: the
// core sends the command again.
func (b *booking) propose(command ledger.Command) {
	ctx, cancel := context.WithTimeout(context.Background(), ledger.DefaultResend)
	defer cancel()
	result, err := b.attempt.owner.cfg.Ledger(ctx, command)
	if err != nil {
		b.attempt.owner.log.Debug("ledger command not answered", "step", "ledger.propose", "error", err)
		return
	}
	b.tell(ledger.Received{Op: command.Op, Result: result})
}

func (b *booking) dispatch(ctx context.Context) {
	whole, facts, err := b.attempt.dispatch(ctx, b.mayWrite)
	done := ledger.Dispatched{Facts: facts}
	if err == nil {
		done.Answer = ledger.Answer{Status: whole.Status, Header: ledgerFields(fieldsOf(whole.Header)), Body: whole.Body}
	}
	b.tell(done)
}

// mayWrite is asked directly before the first byte leaves.
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

// tell hands an event to the loop. A result that finds the queue full is lost,
// which the core allows for; the queue has room for the one Dispatched.
func (b *booking) tell(event ledger.BookingEvent) {
	if _, ok := event.(ledger.Dispatched); ok {
		b.events <- event
		return
	}
	select {
	case b.events <- event:
	default:
	}
}

// settle asks the service what became of an unknown attempt and records it.
func (r *callRun) settle(ctx context.Context, reply *CallReply) {
	_, id, _ := strings.Cut(reply.Holder, AttemptSeparator)
	t, ok := r.owner.target(fleet.UpstreamID(id))
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lookupTimeout)
	defer cancel()
	found, err := t.service.Lookup(ctx, r.req.LookupPath, r.req.IdempotencyKey)
	if err != nil {
		r.owner.log.Info("lookup failed", "upstream", id, "error", err)
		return
	}
	switch found.State {
	case upstream.LookupRan:
		r.settleRan(ctx, reply, found)
	case upstream.LookupNever:
		r.settleNever(ctx, reply)
	}
}

func (r *callRun) settleRan(ctx context.Context, reply *CallReply, found upstream.LookupAnswer) {
	whole := ledger.Answer{Status: found.Status, Body: []byte(found.Body)}
	encoded, err := whole.Encode()
	if err != nil {
		return
	}
	command := ledger.Command{Op: ledger.OpSettleRan, Key: r.key(), Attempt: answer.AttemptID(reply.Holder), Answer: encoded}
	if _, err := r.owner.cfg.Ledger(ctx, command); err != nil {
		r.owner.log.Info("settlement not recorded", "step", "ledger.settle", "error", err)
	}
	*reply = CallReply{Outcome: fleet.OutcomeRan, Status: whole.Status, Body: whole.Body, Replayed: true, Whole: true}
}

func (r *callRun) settleNever(ctx context.Context, reply *CallReply) {
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
		reply.End, reply.Message = uint8(answer.EndRefused), "this router may not open work"
	default:
		reply.Unavailable, reply.Message = true, "the request could not be recorded"
	}
	return reply
}

func answeredReply(reply *CallReply, encoded []byte) *CallReply {
	whole, err := ledger.DecodeAnswer(encoded)
	if err != nil {
		reply.Conflict, reply.Message = ConflictAnswerGone, "the request ran; its answer cannot be read"
		return reply
	}
	reply.Status, reply.Body, reply.Whole, reply.Step = whole.Status, whole.Body, true, ""
	for _, f := range whole.Header {
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
