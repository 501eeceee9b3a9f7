package answer

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

var (
	notSent  = Facts{}
	sent     = Facts{MayHaveBeenSent: true}
	accepted = Facts{MayHaveBeenSent: true, Accepted: true}
	declined = Facts{MayHaveBeenSent: true, Complete: true, Declined: true}
	rejected = Facts{MayHaveBeenSent: true, Complete: true}
	complete = Facts{MayHaveBeenSent: true, Accepted: true, Complete: true}

	nothing = RelayState{}
	held    = RelayState{Offset: 4}                // collected for a caller that wants an unstreamed answer
	relayed = RelayState{Started: true, Offset: 4} // streamed to the caller
)

const (
	notRun  = fleet.OutcomeNotRun
	ran     = fleet.OutcomeRan
	unknown = fleet.OutcomeUnknown
)

// TestDecisionOfEveryStepAndFault covers each step of a request with the faults that can
// end the attempt there.
func TestDecisionOfEveryStepAndFault(t *testing.T) {
	type want struct {
		action Action
		status int
	}
	next, done, cancel := want{ActionNextCandidate, 0}, want{ActionDone, 0}, want{ActionCancel, 0}
	resume, restart, lookup := want{ActionResume, 0}, want{ActionRestart, 0}, want{ActionLookup, 0}
	failStream := want{ActionFailStream, 0}
	fail := func(status int) want { return want{ActionFail, status} }
	none := want{ActionFail, -1} // can't happen for this kind
	for _, c := range []struct {
		step, fault string
		end         End
		facts       Facts
		relay       RelayState
		outcome     fleet.Outcome
		chat        want
		repeatable  want
		keyed       want
		unkeyed     want
	}{
		{"admission", "owner rejects", EndRejected, notSent, nothing, notRun, next, next, next, next},
		{"admission", "owner unreachable", EndNotConnected, notSent, nothing, notRun, next, next, next, fail(503)},
		{"admission", "owner lost before its decision", EndOwnerLost, sent, nothing, unknown, restart, restart, lookup, fail(409)},
		{"admission", "caller leaves", EndCallerLeft, notSent, nothing, notRun, cancel, cancel, cancel, cancel},
		{"admission", "deadline passed", EndDeadline, notSent, nothing, notRun, fail(504), fail(504), fail(504), fail(504)},

		{"connecting", "upstream unreachable", EndNotConnected, notSent, nothing, notRun, next, next, next, fail(503)},
		{"connecting", "lease ends", EndRejected, notSent, nothing, notRun, next, next, next, next},
		{"connecting", "lease ends after the head was written", EndRejected, sent, nothing, unknown, restart, restart, lookup, fail(409)},

		{"waiting for the answer", "upstream full or cold", EndDeclined, declined, nothing, unknown, next, next, lookup, fail(409)},
		{"waiting for the answer", "upstream cuts", EndCut, sent, nothing, unknown, restart, restart, lookup, fail(409)},
		{"waiting for the answer", "upstream stalls", EndCut, sent, nothing, unknown, restart, restart, lookup, fail(409)},
		{"waiting for the answer", "misdelivered answer", EndMisdelivered, sent, nothing, unknown, restart, restart, lookup, fail(409)},
		{"waiting for the answer", "owner lost", EndOwnerLost, sent, nothing, unknown, restart, restart, lookup, fail(409)},
		{"waiting for the answer", "caller leaves", EndCallerLeft, sent, nothing, unknown, cancel, cancel, cancel, cancel},
		{"waiting for the answer", "deadline passed", EndDeadline, sent, nothing, unknown, fail(504), fail(504), fail(409), fail(409)},
		{"waiting for the answer", "request rejected", EndBadRequest, rejected, nothing, ran, fail(400), fail(400), fail(409), fail(409)},

		{"answer without a token", "upstream cuts", EndCut, accepted, nothing, unknown, resume, restart, lookup, fail(409)},
		{"answer without a token", "owner lost", EndOwnerLost, accepted, nothing, unknown, resume, restart, lookup, fail(409)},
		{"answer without a token", "can't resume", EndResumeDeclined, sent, nothing, unknown, restart, none, none, none},

		{"gathering an unstreamed answer", "upstream cuts", EndCut, accepted, held, unknown, resume, none, none, none},
		{"gathering an unstreamed answer", "owner lost", EndOwnerLost, sent, held, unknown, resume, none, none, none},
		{"gathering an unstreamed answer", "can't resume", EndResumeDeclined, sent, held, unknown, restart, none, none, none},
		{"gathering an unstreamed answer", "engine gone", EndNotConnected, notSent, held, notRun, next, none, none, none},

		{"streaming", "upstream cuts", EndCut, accepted, relayed, unknown, resume, none, none, none},
		{"streaming", "misdelivered event", EndMisdelivered, accepted, relayed, unknown, resume, none, none, none},
		{"streaming", "owner lost", EndOwnerLost, sent, relayed, unknown, resume, none, none, none},
		{"streaming", "new owner rejects the resumption", EndRejected, notSent, relayed, notRun, resume, none, none, none},
		{"streaming", "engine unreachable at the resumption", EndNotConnected, notSent, relayed, notRun, resume, none, none, none},
		{"streaming", "engine full at the resumption", EndDeclined, declined, relayed, unknown, resume, none, none, none},
		{"streaming", "can't resume", EndResumeDeclined, sent, relayed, unknown, failStream, none, none, none},
		{"streaming", "deadline passed", EndDeadline, accepted, relayed, unknown, failStream, none, none, none},
		{"streaming", "caller leaves", EndCallerLeft, accepted, relayed, unknown, cancel, none, none, none},

		{"end", "none", EndComplete, complete, relayed, ran, done, done, done, done},
	} {
		for kind, want := range []want{c.chat, c.repeatable, c.keyed, c.unkeyed} {
			if want == none {
				continue
			}
			t.Run(fmt.Sprintf("%s, %s, kind %d", c.step, c.fault, kind), func(t *testing.T) {
				is := is.New(t)
				p := NewProgress(Kind(kind), Budget{Deadline: time.Minute, Lookup: true})
				got := p.Next(time.Second, c.end, c.facts, c.relay)
				is.Equal(got.Action, want.action)
				is.Equal(got.Status, want.status)
				is.Equal(got.Outcome, c.outcome)
				is.Equal(p.Outcome(), c.outcome)
				if got.Action == ActionResume {
					is.Equal(got.Offset, c.relay.Offset)
				}
			})
		}
	}
}

func drawFacts(t *rapid.T) Facts {
	return rapid.SampledFrom([]Facts{notSent, sent, accepted, declined, rejected, complete}).Draw(t, "facts")
}

// TestDecisionsKeepGuarantees checks the package's guarantees on random sequences of
// attempts.
func TestDecisionsKeepGuarantees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kind := Kind(rapid.IntRange(0, int(KindUnkeyed)).Draw(t, "kind"))
		p := NewProgress(kind, Budget{Lookup: rapid.Bool().Draw(t, "lookup")})
		mayHaveBeenSent, relay := false, RelayState{}
		for step := 0; ; step++ {
			if step > 2*(DefaultCandidates+DefaultResumes+DefaultRestarts) {
				t.Fatal("request continues beyond its budget")
			}
			end := End(rapid.IntRange(0, int(ends)-1).Draw(t, "end"))
			facts := drawFacts(t)
			mayHaveBeenSent = mayHaveBeenSent || facts.MayHaveBeenSent
			if kind == KindChat && facts.Accepted && rapid.Bool().Draw(t, "relays") {
				relay = RelayState{Started: true, Offset: relay.Offset + 1}
			}
			d := p.Next(0, end, facts, relay)
			if d.Outcome == fleet.OutcomeNotRun && mayHaveBeenSent {
				t.Fatal("outcome not-run after a byte of the request may have been sent")
			}
			newAttempt := d.Action == ActionNextCandidate || d.Action == ActionRestart
			if newAttempt && mayHaveBeenSent && kind >= KindKeyed {
				t.Fatal("retry of a request that may not be repeated, after a byte of it may have been sent")
			}
			if newAttempt && relay.Started {
				t.Fatal("second answer started after a byte of the first one was relayed")
			}
			if d.Action == ActionResume && kind != KindChat {
				t.Fatal("resume of a request that is not a chat")
			}
			if d.Action == ActionFail && (relay.Started || d.Status < 400) {
				t.Fatalf("ActionFail with status %d and relay started %t, want a status of at least 400 and no relay", d.Status, relay.Started)
			}
			if !newAttempt && d.Action != ActionResume && d.Action != ActionLookup {
				return
			}
		}
	})
}

func TestNegativeBudgetMeansNone(t *testing.T) {
	is := is.New(t)
	p := NewProgress(KindChat, Budget{Candidates: -1, Resumes: -1, Restarts: -1})
	is.Equal(p.Next(0, EndCut, accepted, nothing).Action, ActionFail)
	is.Equal(p.Next(0, EndRejected, notSent, nothing).Action, ActionFail)
}
