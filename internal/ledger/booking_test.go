package ledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/answer"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

var (
	validLease = Lease{Tenure: 1, Until: time.Hour}
	laterLease = Lease{Tenure: 2, Until: time.Hour}
	endedLease = Lease{Tenure: 1}
)

func newTestBooking() *Booking {
	return NewBooking(BookingConfig{Key: keyA, Body: bodyA, Attempt: "a1", Owner: "r1", Boot: "1", Tenure: 1})
}

func newCommandResult(op Op, code Code, attempt answer.AttemptID) CommandResult {
	return CommandResult{Op: op, Result: Result{Code: code, Attempt: attempt}}
}

// formatActions formats actions for comparison.
func formatActions(actions []BookingAction) string {
	out := ""
	for _, action := range actions {
		switch a := action.(type) {
		case Propose:
			out += fmt.Sprintf("propose %d; ", a.Command.Op)
		case Dispatch:
			out += "dispatch; "
		case Reply:
			out += fmt.Sprintf("reply %d %s; ", a.Code, a.Outcome)
		case End:
			out += fmt.Sprintf("end %t; ", a.Recorded)
		}
	}
	return out
}

func TestBookingUnderEveryFault(t *testing.T) {
	type step struct {
		at    time.Duration
		lease Lease
		event BookingEvent
		want  string
	}
	sent := answer.Facts{MayHaveBeenSent: true}
	complete := answer.Facts{MayHaveBeenSent: true, Accepted: true, Complete: true}
	declined := answer.Facts{MayHaveBeenSent: true, Accepted: true, Complete: true, Declined: true}
	start := step{0, validLease, Started{}, "propose 1; "}
	granted := step{1, validLease, newCommandResult(OpBegin, CodeStarted, "a1"), "dispatch; "}
	tick := func(at time.Duration, want string) step { return step{at, validLease, Ticked{}, want} }
	result := func(op Op, code Code, attempt answer.AttemptID, want string) step {
		return step{2, validLease, newCommandResult(op, code, attempt), want}
	}
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"no fault", []step{start, granted, {2, validLease, AttemptEnded{Facts: complete}, "propose 2; reply 0 ran; "}, result(OpFinish, CodeDone, "a1", "end true; ")}},
		{"begin lost", []step{start, tick(DefaultResendInterval, "propose 1; "), granted}},
		{"result of the begin received twice", []step{start, granted, result(OpBegin, CodeStarted, "a1", "")}},
		{"control unreachable for the begin", []step{start, tick(DefaultBeginTimeout, "propose 3; reply 6 not-run; "), result(OpBegin, CodeStarted, "a1", ""), result(OpAbandon, CodeDone, "a1", "end true; ")}},
		{"control unreachable until the end", []step{start, tick(DefaultBeginTimeout, "propose 3; reply 6 not-run; "), tick(DefaultBeginTimeout+DefaultRecordTimeout, "end false; ")}},
		{"lease ended before the result of the begin", []step{start, {1, endedLease, newCommandResult(OpBegin, CodeStarted, "a1"), "propose 3; reply 7 not-run; "}}},
		{"lease lost and granted again", []step{start, {1, laterLease, newCommandResult(OpBegin, CodeStarted, "a1"), "propose 3; reply 7 not-run; "}}},
		{"own attempt marked unknown", []step{start, result(OpBegin, CodeUnknown, "a1", "propose 3; reply 7 not-run; ")}},
		{"session ended", []step{start, result(OpBegin, CodeSessionEnded, "", "propose 3; reply 7 not-run; ")}},
		{"service unreachable", []step{start, granted, {2, validLease, AttemptEnded{}, "propose 3; "}, result(OpAbandon, CodeDone, "a1", "reply 8 not-run; end true; ")}},
		{"service and control unreachable", []step{start, granted, {2, validLease, AttemptEnded{}, "propose 3; "}, tick(2+DefaultBeginTimeout, "reply 8 not-run; propose 3; "), tick(3+DefaultBeginTimeout, ""), tick(2+DefaultRecordTimeout, "end false; ")}},
		{"answer lost", []step{start, granted, {2, validLease, AttemptEnded{Facts: sent}, "propose 4; "}, result(OpMarkUnknown, CodeDone, "a1", "reply 3 unknown; end true; ")}},
		{"answer lost and control unreachable", []step{start, granted, {2, validLease, AttemptEnded{Facts: sent}, "propose 4; "}, tick(2+DefaultBeginTimeout, "reply 3 unknown; propose 4; "), tick(2+DefaultRecordTimeout, "end false; ")}},
		{"service declines", []step{start, granted, {2, validLease, AttemptEnded{Facts: declined}, "propose 4; "}, result(OpMarkUnknown, CodeDone, "a1", "reply 3 unknown; end true; ")}},
		{"control unreachable for the finish", []step{start, granted, {2, validLease, AttemptEnded{Facts: complete}, "propose 2; reply 0 ran; "}, tick(2+DefaultResendInterval, "propose 2; "), tick(2+DefaultRecordTimeout, "end false; ")}},
		{"end of the attempt reported twice", []step{start, granted, {2, validLease, AttemptEnded{Facts: complete}, "propose 2; reply 0 ran; "}, {2, validLease, AttemptEnded{Facts: sent}, ""}}},
		{"started twice", []step{start, {1, validLease, Started{}, ""}}},
		{"result of a command that could not be decoded", []step{start, result(OpBegin, CodeInvalid, "", "")}},
		{"replay", []step{start, result(OpBegin, CodeReplay, "a0", "reply 0 ran; end true; ")}},
		{"answer not stored", []step{start, result(OpBegin, CodeRan, "a0", "reply 1 ran; end true; ")}},
		{"in progress", []step{start, result(OpBegin, CodeInProgress, "a0", "reply 2 unknown; end true; ")}},
		{"unknown", []step{start, result(OpBegin, CodeUnknown, "a0", "reply 3 unknown; end true; ")}},
		{"another body", []step{start, result(OpBegin, CodeBodyMismatch, "a0", "reply 4 not-run; end true; ")}},
		{"ledger full", []step{start, result(OpBegin, CodeFull, "", "reply 5 not-run; end true; ")}},
		{"attempt ended", []step{start, result(OpBegin, CodeAttemptEnded, "", "reply 7 not-run; end true; ")}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newTestBooking()
			for _, s := range c.steps {
				is.Equal(formatActions(b.HandleEvent(s.at, s.lease, s.event)), s.want)
			}
		})
	}
}

func TestMayWriteChecksTheLease(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault bookingFault
		now   time.Duration
		lease Lease
		want  bool
	}{
		{"lease holds", bookingFaultNone, 0, validLease, true},
		{"woke after the lease", bookingFaultNone, 2 * time.Hour, validLease, false},
		{"within the margin", bookingFaultNone, time.Hour - DefaultLeaseMargin, validLease, false},
		{"woke into another tenure", bookingFaultNone, 0, laterLease, false},
		{"woke into another tenure, unchecked", bookingFaultAnyTenure, 0, laterLease, true},
		{"woke after the lease, unchecked", bookingFaultNoLeaseCheck, 2 * time.Hour, validLease, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBooking()
			b.fault = c.fault
			is.New(t).Equal(b.MayWrite(c.now, c.lease), c.want)
		})
	}
}

func TestDeclinedAnswerIsReturnedButNotStored(t *testing.T) {
	is := is.New(t)
	b := newTestBooking()
	b.HandleEvent(0, validLease, Started{})
	b.HandleEvent(0, validLease, newCommandResult(OpBegin, CodeStarted, "a1"))
	actions := b.HandleEvent(0, validLease, AttemptEnded{
		Facts:  answer.Facts{MayHaveBeenSent: true, Complete: true, Declined: true},
		Answer: Answer{Status: 503, Body: []byte("full")},
	})
	is.Equal(len(actions[0].(Propose).Command.Answer), 0) // not stored as the key's answer
	reply := b.HandleEvent(0, validLease, newCommandResult(OpMarkUnknown, CodeDone, "a1"))[0].(Reply)
	got, err := DecodeAnswer(reply.Answer)
	is.NoErr(err)
	is.Equal(got.Status, 503)
	is.Equal(reply.Outcome, fleet.OutcomeUnknown)
}

func TestLeaseTrackerNumbersTenures(t *testing.T) {
	is := is.New(t)
	var tracker LeaseTracker
	is.Equal(tracker.Lease(), Lease{})
	is.Equal(tracker.RecordGrant(0, 3), Lease{Tenure: 1, Until: 3})
	is.Equal(tracker.RecordGrant(2, 5), Lease{Tenure: 1, Until: 5})
	is.Equal(tracker.RecordGrant(3, 4), Lease{Tenure: 1, Until: 5}) // a late, shorter grant
	is.Equal(tracker.RecordGrant(5, 8), Lease{Tenure: 2, Until: 8}) // arrived after the lease had ended
}

func TestClockContinuesFromTheStateAndNeverGoesBack(t *testing.T) {
	is := is.New(t)
	s := NewState()
	apply(t, s, withTime(begin("a1", "r1", 1), 100))
	clock := NewClock(s, 7000) // another leader's local clock
	is.Equal(clock.Now(7000), time.Duration(100))
	is.Equal(clock.Now(7005), time.Duration(105))
	is.Equal(clock.Now(6000), time.Duration(100))
	command, err := SetCommandTime([]byte{0xc0}, 5)
	is.True(err != nil)
	is.Equal(command, nil)
}
