package ledger

import (
	"fmt"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/answer"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// simBooking is the shell around one Booking in a simulation.
type simBooking struct {
	sim     *simulation
	owner   *simOwner
	kills   int // of the owner, when this process ran
	booking *Booking
	key     Key
	index   int
	attempt answer.AttemptID
	replied bool
}

// dead tells whether the booking's process was killed. A process that merely
// lapsed goes on under its old boot.
func (b *simBooking) dead() bool { return b.owner.kills != b.kills }

func (b *simBooking) step(event BookingEvent) {
	if b.dead() {
		return
	}
	lease := b.owner.lease.Lease()
	for _, action := range b.booking.Step(b.sim.now, lease, event) {
		b.do(action)
	}
	if next, ok := b.booking.NextTick(); ok {
		b.sim.at(max(next-b.sim.now, 10*time.Millisecond), b.owner, func() { b.step(Ticked{}) })
	}
}

func (b *simBooking) do(action BookingAction) {
	switch a := action.(type) {
	case Propose:
		b.sim.propose(b.owner, a.Command, func(r Result) { b.step(Received{Op: a.Command.Op, Result: r}) })
	case Dispatch:
		if b.sim.chance(4) { // between the begin and the write, beyond lease and hold
			b.owner.frozen = b.sim.now + simMaxFreeze/4 + b.sim.upTo(simMaxFreeze*3/4)
		}
		b.sim.at(b.sim.upTo(50*time.Millisecond), b.owner, b.write)
	case Reply:
		b.reply(a)
	}
}

// write hands the request to the network, if the lease still allows it.
func (b *simBooking) write() {
	s := b.sim
	if b.dead() {
		return
	}
	if s.chance(10) || !b.booking.MayWrite(s.now, b.owner.lease.Lease()) {
		b.step(Dispatched{})
		return
	}
	wire := s.upTo(50 * time.Millisecond)
	if s.chance(15) {
		wire = s.upTo(simMaxWire)
	}
	if s.chance(10) { // the request never arrives, and nobody learns why
		s.at(s.upTo(2*time.Second), b.owner, func() { b.step(Dispatched{Facts: answer.Facts{MayHaveLeft: true}}) })
		return
	}
	s.at(wire, nil, b.serve)
	if wire > 2*time.Second {
		s.at(2*time.Second, b.owner, func() { b.step(Dispatched{Facts: answer.Facts{MayHaveLeft: true}}) })
	}
}

// serve is the service: it runs whatever reaches it.
func (b *simBooking) serve() {
	s := b.sim
	s.runs[b.key] = append(s.runs[b.key], b.attempt)
	body := fmt.Sprintf("booked by %s", b.attempt)
	facts := answer.Facts{MayHaveLeft: true, Accepted: true, Whole: !s.chance(20)}
	delay := s.upTo(3 * time.Second)
	s.at(delay, b.owner, func() {
		b.step(Dispatched{Facts: facts, Answer: Answer{Status: 201, Body: []byte(body)}})
	})
}

func (b *simBooking) reply(r Reply) {
	s := b.sim
	if b.replied {
		s.faults = append(s.faults, fmt.Sprintf("attempt %s replied twice", b.attempt))
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
		s.at(s.upTo(20*time.Second), nil, func() { b.settle(r.Holder) })
	}
}

// checkAnswer compares with what the key's first answer was.
func (b *simBooking) checkAnswer(r Reply) {
	got, err := DecodeAnswer(r.Answer)
	if err != nil {
		b.sim.faults = append(b.sim.faults, err.Error())
		return
	}
	first, ok := b.sim.answers[b.key]
	if !ok {
		b.sim.answers[b.key] = string(got.Body)
	} else if first != string(got.Body) {
		b.sim.faults = append(b.sim.faults, fmt.Sprintf("key %s answered %q, then %q", b.key, first, got.Body))
	}
}

// settle asks the service what became of an unknown attempt, and the caller
// tries again.
func (b *simBooking) settle(holder answer.AttemptID) {
	s := b.sim
	command := Command{Op: OpSettleNever, Key: b.key, Body: BodyDigestOf("POST", "/pickups", nil), Attempt: holder}
	if runs := s.runs[b.key]; len(runs) > 0 {
		command.Op = OpSettleRan
		body := fmt.Sprintf("booked by %s", runs[0])
		command.Answer, _ = Answer{Status: 201, Body: []byte(body)}.Encode()
	}
	if result := s.apply(command); result.Code == CodeTooEarly {
		s.at(result.Wait, nil, func() { b.settle(holder) })
		return
	}
	o := s.owners[s.rng.Intn(len(s.owners))]
	s.at(s.upTo(5*time.Second), o, func() { s.book(o, b.index) })
}
