package owner

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/answer"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/ledger"
	"github.com/wigeonflow/wigeonflow/internal/upstream"
)

// fakeService is a service that returns one answer and counts its calls.
type fakeService struct {
	runs   int
	facts  answer.Facts
	answer upstream.CallAnswer
}

func (f *fakeService) Do(context.Context, upstream.CallRequest) (upstream.CallAnswer, answer.Facts, error) {
	f.runs++
	return f.answer, f.facts, nil
}

func (f *fakeService) Lookup(context.Context, string, string) (upstream.LookupAnswer, error) {
	return upstream.LookupAnswer{State: upstream.LookupNever}, nil
}

// testOwner returns a Server with its own ledger, without mesh and membership. It calls
// before for each ledger command.
func testOwner(state *ledger.State, lease ledger.Lease, before func(ledger.Op)) *Server {
	var mu sync.Mutex
	clock := func() time.Duration { return 0 }
	return &Server{log: hclog.NewNullLogger(), gate: newGate(clock), cfg: Config{
		Instance: "r1", Boot: "1", Clock: clock, Lease: func() ledger.Lease { return lease },
		Ledger: func(_ context.Context, c ledger.Command) (ledger.Result, error) {
			before(c.Op)
			encoded, err := c.Encode()
			if err != nil {
				return ledger.Result{}, err
			}
			mu.Lock()
			defer mu.Unlock()
			return ledger.DecodeResult(state.Apply(0, encoded))
		},
	}}
}

// runBooking runs one booking until its end is recorded.
func runBooking(t *testing.T, s *Server, service upstream.Service, attempt string) *CallReply {
	t.Helper()
	return runBookingAt(t, s, service, attempt, "")
}

func runBookingAt(t *testing.T, s *Server, service upstream.Service, attempt, lookup string) *CallReply {
	t.Helper()
	ended := make(chan struct{})
	run := &callRun{owner: s, service: service, slot: &slot{gate: s.gate, id: fleet.RequestID(attempt)}, req: &CallRequest{
		Header: Header{Attempt: attempt, Workspace: "w"}, Service: "counter", Method: http.MethodPost, Path: "/pickups", IdempotencyKey: "k", LookupPath: lookup,
	}}
	reply := newBooking(run, func() { close(ended) }).run(t.Context())
	<-ended
	return reply
}

func TestPlannedStopWaitsUntilTheEndIsRecorded(t *testing.T) {
	is := is.New(t)
	finishing, release := make(chan struct{}), make(chan struct{})
	s := testOwner(ledger.NewState(), ledger.Lease{Until: time.Hour}, func(op ledger.Op) {
		if op == ledger.OpFinish {
			close(finishing)
			<-release
		}
	})
	service := &fakeService{facts: answer.Facts{MayHaveBeenSent: true, Complete: true}, answer: upstream.CallAnswer{Status: 201}}
	done := make(chan *CallReply)
	go func() { done <- runBooking(t, s, service, "a1") }()
	<-finishing
	is.Equal(s.Running(), int64(1))
	close(release)
	is.Equal((<-done).Status, 201)
	is.Equal(s.Running(), int64(0))
}

func TestRepeatedKeyGetsTheSameAnswer(t *testing.T) {
	is := is.New(t)
	s := testOwner(ledger.NewState(), ledger.Lease{Until: time.Hour}, func(ledger.Op) {})
	service := &fakeService{
		facts:  answer.Facts{MayHaveBeenSent: true, Complete: true},
		answer: upstream.CallAnswer{Status: 201, Header: http.Header{"Etag": {"7"}}, Body: []byte("booked")},
	}
	first, again := runBooking(t, s, service, "a1"), runBooking(t, s, service, "a2")
	is.Equal(service.runs, 1)
	is.True(!first.Replayed)
	is.True(again.Replayed)
	again.Replayed, again.Holder = false, first.Holder
	is.Equal(again, first)
}

func TestBookingWithoutALeaseIsNotDispatched(t *testing.T) {
	is := is.New(t)
	s := testOwner(ledger.NewState(), ledger.Lease{}, func(ledger.Op) {})
	service := &fakeService{}
	reply := runBooking(t, s, service, "a1")
	is.Equal(reply.Outcome, fleet.OutcomeNotRun)
	is.Equal(service.runs, 0)
}

func TestDeclinedIsReportedOnlyForRepeatableRequests(t *testing.T) {
	for _, repeatable := range []bool{false, true} {
		is := is.New(t)
		s := testOwner(ledger.NewState(), ledger.Lease{}, nil)
		service := &fakeService{
			facts:  answer.Facts{MayHaveBeenSent: true, Complete: true, Declined: true},
			answer: upstream.CallAnswer{Status: http.StatusServiceUnavailable},
		}
		run := &callRun{owner: s, service: service, slot: &slot{gate: s.gate}, req: &CallRequest{Repeatable: repeatable}}
		is.Equal(run.runUnrecorded(t.Context()).Facts().Declined, repeatable)
	}
}

// An attempt whose answer was lost is looked up at the service. That it never ran is
// only accepted once the hold has passed, since the request could still arrive before.
func TestUnknownBookingIsSettled(t *testing.T) {
	is := is.New(t)
	state := ledger.NewState()
	s := testOwner(state, ledger.Lease{Until: time.Hour}, func(ledger.Op) {})
	service := &fakeService{facts: answer.Facts{MayHaveBeenSent: true}}
	s.directory.Store(&directory{targets: map[fleet.UpstreamID]target{"c1": {service: service}}})

	first := runBookingAt(t, s, service, "a1"+AttemptSeparator+"c1", "/keys")
	is.Equal(first.Outcome, fleet.OutcomeUnknown)
	is.Equal(time.Duration(first.RetryAfterMillis)*time.Millisecond, ledger.DefaultUnknownHold+time.Millisecond)

	later, err := (ledger.Command{Op: ledger.OpMarkUnknown, Now: ledger.DefaultUnknownHold}).Encode()
	is.NoErr(err)
	state.Apply(0, later)
	again := runBookingAt(t, s, service, "a2"+AttemptSeparator+"c1", "/keys")
	is.Equal(again.Outcome, fleet.OutcomeNotRun)
	is.Equal(service.runs, 1)
}
