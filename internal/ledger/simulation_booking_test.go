package ledger

import (
	"fmt"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/answer"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// simBooking runs one Booking in a simulation.
type simBooking struct {
	sim      *simulation
	owner    *simOwner
	kills    int // of the owner, when this booking's process started
	booking  *Booking
	key      Key
	keyIndex int
	attempt  answer.AttemptID
	replied  bool
}

// processKilled reports whether the booking's process was killed. A process that only lost its
// session continues under its boot.
func (b *simBooking) processKilled() bool { return b.owner.kills != b.kills }

// handle passes an event to the booking, performs its actions, and schedules its next tick.
func (b *simBooking) handle(event BookingEvent) {
	if b.processKilled() {
		return
	}
	lease := b.owner.lease.Lease()
	for _, action := range b.booking.HandleEvent(b.sim.now, lease, event) {
		b.perform(action)
	}
	if next, ok := b.booking.NextTick(); ok {
		b.sim.after(max(next-b.sim.now, 10*time.Millisecond), b.owner, func() { b.handle(Ticked{}) })
	}
}

func (b *simBooking) perform(action BookingAction) {
	switch a := action.(type) {
	case Propose:
		b.sim.propose(b.owner, a.Command, func(r Result) { b.handle(CommandResult{Op: a.Command.Op, Result: r}) })
	case Dispatch:
		if b.sim.chance(4) { // freeze between the begin and the write, for longer than the lease and UnknownHold
			b.owner.frozenUntil = b.sim.now + simMaxFreeze/4 + b.sim.randomUpTo(simMaxFreeze*3/4)
		}
		b.sim.after(b.sim.randomUpTo(50*time.Millisecond), b.owner, b.write)
	case Reply:
		b.reply(a)
	}
}

// write sends the request to the service if MayWrite allows it.
func (b *simBooking) write() {
	s := b.sim
	if b.processKilled() {
		return
	}
	if s.chance(10) || !b.booking.MayWrite(s.now, b.owner.lease.Lease()) {
		b.handle(AttemptEnded{})
		return
	}
	wire := s.randomUpTo(50 * time.Millisecond)
	if s.chance(15) {
		wire = s.randomUpTo(simMaxWire)
	}
	if s.chance(10) { // the request is lost, and its owner receives no answer
		s.after(s.randomUpTo(2*time.Second), b.owner, func() { b.handle(AttemptEnded{Facts: answer.Facts{MayHaveBeenSent: true}}) })
		return
	}
	s.after(wire, nil, b.runRequest)
	if wire > 2*time.Second {
		s.after(2*time.Second, b.owner, func() { b.handle(AttemptEnded{Facts: answer.Facts{MayHaveBeenSent: true}}) })
	}
}

// runRequest simulates the service: it runs every request that arrives, even under a key
// that ran before.
func (b *simBooking) runRequest() {
	s := b.sim
	s.runs[b.key] = append(s.runs[b.key], b.attempt)
	body := fmt.Sprintf("booked by %s", b.attempt)
	facts := answer.Facts{MayHaveBeenSent: true, Accepted: true, Complete: !s.chance(20)}
	delay := s.randomUpTo(3 * time.Second)
	s.after(delay, b.owner, func() {
		b.handle(AttemptEnded{Facts: facts, Answer: Answer{Status: 201, Body: []byte(body)}})
	})
}

func (b *simBooking) reply(r Reply) {
	s := b.sim
	if b.replied {
		s.failures = append(s.failures, fmt.Sprintf("attempt %s returned two replies", b.attempt))
	}
	b.replied = true
	s.replies[r.Code]++
	if r.Outcome == fleet.OutcomeNotRun {
		s.notRun[b.attempt] = true
	}
	switch r.Code {
	case ReplyAnswer:
		b.checkAnswer(r)
	case ReplyUnknown:
		s.after(s.randomUpTo(20*time.Second), nil, func() { b.settleAndRetry(r.Holder) })
	}
}

// checkAnswer checks that every answer under the key is the same.
func (b *simBooking) checkAnswer(r Reply) {
	got, err := DecodeAnswer(r.Answer)
	if err != nil {
		b.sim.failures = append(b.sim.failures, err.Error())
		return
	}
	first, ok := b.sim.answers[b.key]
	if !ok {
		b.sim.answers[b.key] = string(got.Body)
	} else if first != string(got.Body) {
		b.sim.failures = append(b.sim.failures, fmt.Sprintf("callers of key %s received the answer %q, then %q", b.key, first, got.Body))
	}
}

// settleAndRetry asks the service for the outcome of an unknown attempt, records it, and
// then starts the caller's next attempt.
func (b *simBooking) settleAndRetry(holder answer.AttemptID) {
	s := b.sim
	command := Command{Op: OpSettleNever, Key: b.key, Body: BodyDigestOf("POST", "/pickups", nil), Attempt: holder}
	if runs := s.runs[b.key]; len(runs) > 0 {
		command.Op = OpSettleRan
		body := fmt.Sprintf("booked by %s", runs[0])
		command.Answer, _ = Answer{Status: 201, Body: []byte(body)}.Encode()
	}
	if result := s.apply(command); result.Code == CodeTooEarly {
		s.after(result.Wait, nil, func() { b.settleAndRetry(holder) })
		return
	}
	o := s.owners[s.rng.Intn(len(s.owners))]
	s.after(s.randomUpTo(5*time.Second), o, func() { s.startAttempt(o, b.keyIndex) })
}
