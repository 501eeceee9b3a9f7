package ledger

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wigeonflow/wigeonflow/internal/answer"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

var (
	keyA  = KeyOf("w", "counter", "a")
	bodyA = BodyDigestOf("POST", "/pickups", []byte("a"))
	bodyB = BodyDigestOf("POST", "/pickups", []byte("b"))
)

func apply(t interface{ Fatal(...any) }, s *State, c Command) Result {
	data, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	result, err := DecodeResult(s.Apply(0, data))
	if err != nil {
		t.Fatal(err)
	}
	return result
}

func begin(attempt answer.AttemptID, owner fleet.InstanceID, tenure uint64) Command {
	return Command{Op: OpBegin, Key: keyA, Body: bodyA, Attempt: attempt, Owner: owner, Boot: "1", Tenure: tenure}
}

func commandFor(op Op, attempt answer.AttemptID) Command {
	return Command{Op: op, Key: keyA, Body: bodyA, Attempt: attempt, Answer: []byte("answer of " + attempt)}
}

func withTime(c Command, now time.Duration) Command {
	c.Now = now
	return c
}

func TestStateApply(t *testing.T) {
	other := begin("a2", "r2", 1)
	otherBody := other
	otherBody.Body = bodyB
	endTenures := Command{Op: OpEndTenures, Owner: "r1", Boot: "1", Tenure: 1}
	const hold, age = DefaultUnknownHold, DefaultMaxAge
	for _, c := range []struct {
		name     string
		commands []Command
		want     Code // of the last command
	}{
		{"first begin", []Command{begin("a1", "r1", 1)}, CodeStarted},
		{"begin again after a lost result", []Command{begin("a1", "r1", 1), begin("a1", "r1", 1)}, CodeStarted},
		{"another attempt meanwhile", []Command{begin("a1", "r1", 1), other}, CodeInProgress},
		{"same attempt by another process", []Command{begin("a1", "r1", 1), begin("a1", "r2", 1)}, CodeInProgress},
		{"another body meanwhile", []Command{begin("a1", "r1", 1), otherBody}, CodeBodyMismatch},
		{"another body after the answer", []Command{begin("a1", "r1", 1), commandFor(OpFinish, "a1"), otherBody}, CodeBodyMismatch},
		{"repeat after the answer", []Command{begin("a1", "r1", 1), commandFor(OpFinish, "a1"), other}, CodeReplay},
		{"finish twice", []Command{begin("a1", "r1", 1), commandFor(OpFinish, "a1"), commandFor(OpFinish, "a1")}, CodeDone},
		{"finish by another attempt", []Command{begin("a1", "r1", 1), commandFor(OpFinish, "a2")}, CodeIgnored},
		{"repeat after an abandoned attempt", []Command{begin("a1", "r1", 1), commandFor(OpAbandon, "a1"), other}, CodeStarted},
		{"abandon by another attempt", []Command{begin("a1", "r1", 1), commandFor(OpAbandon, "a2"), begin("a3", "r2", 1)}, CodeInProgress},
		{"abandon before its own begin", []Command{commandFor(OpAbandon, "a1"), begin("a1", "r1", 1)}, CodeAttemptEnded},
		{"abandon after the answer", []Command{begin("a1", "r1", 1), commandFor(OpFinish, "a1"), commandFor(OpAbandon, "a1")}, CodeIgnored},
		{"repeat of an unknown attempt", []Command{begin("a1", "r1", 1), commandFor(OpMarkUnknown, "a1"), other}, CodeUnknown},
		{"unknown attempt's own begin", []Command{begin("a1", "r1", 1), commandFor(OpMarkUnknown, "a1"), begin("a1", "r1", 1)}, CodeUnknown},
		{"unknown after the answer", []Command{begin("a1", "r1", 1), commandFor(OpFinish, "a1"), commandFor(OpMarkUnknown, "a1"), other}, CodeReplay},
		{"process lost its session", []Command{begin("a1", "r1", 1), endTenures, other}, CodeUnknown},
		{"late begin of a process that lost its session", []Command{begin("a0", "r1", 1), endTenures, commandFor(OpAbandon, "a0"), begin("a1", "r1", 1)}, CodeSessionEnded},
		{"process back in a later tenure", []Command{begin("a1", "r1", 1), endTenures, commandFor(OpAbandon, "a1"), begin("a2", "r1", 2)}, CodeStarted},
		{"end of an earlier tenure", []Command{begin("a1", "r1", 2), endTenures, other}, CodeInProgress},
		{"answer of a process that lost its session", []Command{begin("a1", "r1", 1), endTenures, commandFor(OpFinish, "a1"), other}, CodeReplay},
		{"service reports that it ran", []Command{begin("a1", "r1", 1), endTenures, commandFor(OpSettleRan, "a1"), other}, CodeReplay},
		{"service reports never run, immediately", []Command{begin("a1", "r1", 1), endTenures, commandFor(OpSettleNever, "a1")}, CodeTooEarly},
		{"service reports never run, after the hold", []Command{begin("a1", "r1", 1), endTenures, withTime(commandFor(OpSettleNever, "a1"), hold), other}, CodeStarted},
		{"service reports never run for a begun attempt", []Command{begin("a1", "r1", 1), withTime(commandFor(OpSettleNever, "a1"), hold)}, CodeIgnored},
		{"service reports never run for an earlier attempt", []Command{begin("a1", "r1", 1), endTenures, withTime(commandFor(OpSettleNever, "a0"), hold)}, CodeIgnored},
		{"settled twice", []Command{begin("a1", "r1", 1), endTenures, commandFor(OpSettleRan, "a1"), commandFor(OpSettleNever, "a1")}, CodeReplay},
		{"late answer of a freed key", []Command{begin("a1", "r1", 1), endTenures, withTime(commandFor(OpSettleNever, "a1"), hold), commandFor(OpFinish, "a1"), other}, CodeReplay},
		{"repeat at its age", []Command{begin("a1", "r1", 1), commandFor(OpFinish, "a1"), withTime(other, age)}, CodeStarted},
		{"repeat right before its age", []Command{begin("a1", "r1", 1), commandFor(OpFinish, "a1"), withTime(other, age-1)}, CodeReplay},
		{"begun longer than its age", []Command{begin("a1", "r1", 1), withTime(other, age)}, CodeUnknown},
		{"time never goes back", []Command{withTime(begin("a1", "r1", 1), age), commandFor(OpFinish, "a1"), withTime(other, 2)}, CodeReplay},
		{"unknown operation", []Command{{Op: 99}}, CodeInvalid},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := NewState()
			var got Result
			for _, command := range c.commands {
				got = apply(t, s, command)
			}
			is.Equal(got.Code, c.want)
		})
	}
}

func TestStateReplaysTheSameBytes(t *testing.T) {
	is := is.New(t)
	complete := Answer{Status: 201, Header: []HeaderField{{"Etag", "1"}, {"Etag", "2"}}, Body: []byte("\x00booked")}
	encoded, err := complete.Encode()
	is.NoErr(err)
	s := NewState()
	apply(t, s, begin("a1", "r1", 1))
	finish := commandFor(OpFinish, "a1")
	finish.Answer = encoded
	apply(t, s, finish)
	got := apply(t, s, begin("a2", "r2", 1))
	is.Equal(got.Attempt, answer.AttemptID("a1"))
	is.True(bytes.Equal(got.Answer, encoded))
	decoded, err := DecodeAnswer(got.Answer)
	is.NoErr(err)
	is.Equal(decoded, complete)
}

func TestStateSkipsAppliedIndexes(t *testing.T) {
	is := is.New(t)
	s := NewState()
	data, err := begin("a1", "r1", 1).Encode()
	is.NoErr(err)
	s.Apply(5, data)
	result, err := DecodeResult(s.Apply(5, data))
	is.NoErr(err)
	is.Equal(result.Code, CodeInvalid)
	is.Equal(s.Apply(6, []byte{0xff}), s.Apply(5, data)) // malformed commands change nothing either
	is.Equal(s.Stats().Begun, 1)
}

// recordBookings applies the begin and finish of n bookings at now.
func recordBookings(t *testing.T, s *State, n, answerSize int, now time.Duration) {
	for i := range n {
		key := KeyOf("w", "counter", fmt.Sprintf("%s/%d", now, i))
		attempt := answer.AttemptID(fmt.Sprintf("a%s/%d", now, i))
		apply(t, s, Command{Op: OpBegin, Key: key, Attempt: attempt, Owner: "r1", Boot: "1", Now: now})
		apply(t, s, Command{Op: OpFinish, Key: key, Attempt: attempt, Answer: make([]byte, answerSize), Now: now})
	}
}

func TestStateIsBounded(t *testing.T) {
	is := is.New(t)
	s := NewState()
	limits := Limits{MaxAge: time.Hour, MaxRecords: 10, MaxAnswer: 100, MaxAnswerTotal: 250}
	is.Equal(apply(t, s, Command{Op: OpSetLimits, Limits: &limits}).Code, CodeDone)
	recordBookings(t, s, 10, 100, time.Second)
	is.Equal(s.Stats().AnswerBytes, 200) // the oldest answers were evicted, their records stay
	first := Command{Op: OpBegin, Key: KeyOf("w", "counter", "1s/0"), Attempt: "b"}
	is.Equal(apply(t, s, first).Code, CodeRan)
	is.Equal(apply(t, s, begin("x", "r1", 1)).Code, CodeFull)
	is.Equal(apply(t, s, withTime(begin("x", "r1", 1), time.Hour+time.Second)).Code, CodeStarted) // the old records expired
	is.Equal(s.Stats(), Stats{Begun: 1, Limits: s.limits})

	large := commandFor(OpFinish, "x")
	large.Answer = make([]byte, 101)
	apply(t, s, large)
	is.Equal(apply(t, s, begin("y", "r1", 1)).Code, CodeRan) // it ran, but its answer is too large to store
}

func drawCommand(t *rapid.T) Command {
	c := Command{
		Op:      Op(rapid.IntRange(int(OpBegin), int(OpSetLimits)).Draw(t, "op")),
		Now:     time.Duration(rapid.IntRange(0, 200).Draw(t, "now")),
		Key:     KeyOf("w", "s", fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "key"))),
		Attempt: answer.AttemptID(fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "attempt"))),
		Owner:   fleet.InstanceID(fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "owner"))),
		Tenure:  rapid.Uint64Range(0, 2).Draw(t, "tenure"),
		Answer:  make([]byte, rapid.IntRange(0, 30).Draw(t, "answer")),
	}
	if c.Op == OpSetLimits {
		c.Limits = &Limits{MaxAge: 100, MaxRecords: 4, MaxAnswer: 25, MaxAnswerTotal: 60, UnknownHold: 10, EndedAge: 20}
	}
	return c
}

// TestRestoredStateBehavesAlike compares the results and snapshots of a state with those
// of a state that is restored from a snapshot after every command.
func TestRestoredStateBehavesAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, restored := NewState(), NewState()
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			c := drawCommand(t)
			want, got := apply(t, s, c), apply(t, restored, c)
			if want.Code != got.Code || want.Attempt != got.Attempt || !bytes.Equal(want.Answer, got.Answer) || want.Wait != got.Wait {
				t.Fatalf("%+v: got %+v, want %+v", c, got, want)
			}
			snapshot, err := s.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			again, err := restored.Snapshot()
			if err != nil || !bytes.Equal(snapshot, again) {
				t.Fatal("the snapshot of the restored state failed or differs from the original's:", err)
			}
			if restored = NewState(); restored.Restore(snapshot) != nil {
				t.Fatal("Restore rejected a snapshot that Snapshot returned")
			}
			checkInvariants(t, s)
		}
	})
}

// checkInvariants checks the counters, queues and oldestAnswer against the records.
func checkInvariants(t *rapid.T, s *State) {
	size, answers, kept := 0, 0, false
	for i := range s.queues {
		n := 0
		for r := s.queues[i].front; r != nil; r = r.next {
			n++
			answers += len(r.answer)
			kept = kept || r == s.oldestAnswer
			if r.answer != nil && !kept {
				t.Fatal("a finished record before oldestAnswer has an answer")
			}
			if s.records[r.key] != r || r.status != status(i) {
				t.Fatal("a queued record has a status other than its queue's, or isn't in the map of records")
			}
		}
		size += n
		if n != s.queues[i].size {
			t.Fatal("the size of a queue differs from its number of records")
		}
	}
	if size != len(s.records) || answers != s.answerBytes || s.answerBytes > s.limits.MaxAnswerTotal {
		t.Fatalf("%d records in queues, %d in the map; %d answer bytes, but the counter is %d", size, len(s.records), answers, s.answerBytes)
	}
}

func TestRestoreRejectsDamagedSnapshots(t *testing.T) {
	is := is.New(t)
	s := NewState()
	apply(t, s, begin("a1", "r1", 1))
	data, err := s.Snapshot()
	is.NoErr(err)
	for cut := range data {
		is.True(NewState().Restore(data[:cut]) != nil)
	}
	is.NoErr(s.Restore(data))
	is.True(s.Restore(nil) != nil)
	is.Equal(s.Stats().Begun, 1) // the state is unchanged
}

func FuzzApply(f *testing.F) {
	for _, c := range []Command{begin("a1", "r1", 1), commandFor(OpFinish, "a1"), {Op: OpSetLimits, Limits: &Limits{MaxAge: 1}}} {
		data, err := c.Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s := NewState()
		if _, err := DecodeResult(s.Apply(1, data)); err != nil {
			t.Fatal(err)
		}
		snapshot, err := s.Snapshot()
		if err != nil || NewState().Restore(snapshot) != nil {
			t.Fatal("Snapshot failed after the command, or Restore rejected its result:", err)
		}
		_ = NewState().Restore(data) // must not panic
	})
}
