package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// oneUpstream returns a gate with one upstream that may run n requests at once from
// its start.
func oneUpstream(n int) *Gate {
	g := NewGate()
	g.SetPoolSettings("llm", PoolSettings{MaxConcurrency: n, StartConcurrency: n})
	g.SetUpstream(0, UpstreamState{ID: "e1", Pool: "llm", Boot: "b1"}, nil)
	return g
}

func newRequest(id string) Request {
	return Request{ID: fleet.RequestID(id), Upstream: "e1", Priority: fleet.PriorityInteractive}
}

func TestRejectionReasons(t *testing.T) {
	const now = time.Second
	cases := []struct {
		name    string
		prepare func(*Gate)
		request func(*Request)
		reason  Reason
	}{
		{"an upstream of another owner", nil, func(r *Request) { r.Upstream = "e2" }, ReasonNotOwned},
		{"an upstream that is out", func(g *Gate) {
			g.SetUpstream(now, UpstreamState{ID: "e1", Pool: "llm", Boot: "b1", Out: true}, nil)
		}, nil, ReasonDraining},
		{"an upstream that is leaving", func(g *Gate) {
			g.SetUpstream(now, UpstreamState{ID: "e1", Pool: "llm", Boot: "b1", Leaving: true}, nil)
		}, nil, ReasonDraining},
		{"an ID in use", func(g *Gate) { g.Admit(now, newRequest("r")) }, nil, ReasonDuplicate},
		{"a deadline in the past", nil, func(r *Request) { r.Deadline = now }, ReasonDeadline},
		{"a full upstream, without queueing", func(g *Gate) { admitRequests(g, 2) }, func(r *Request) { r.NoQueue = true }, ReasonBound},
		{"a full upstream, with an estimated start after the deadline", func(g *Gate) { admitRequests(g, 2) }, func(r *Request) { r.Deadline = now + time.Millisecond }, ReasonDeadline},
		{"a full queue", func(g *Gate) { admitRequests(g, 2+maxQueueLength) }, func(r *Request) { r.Deadline = now + time.Hour }, ReasonQueueFull},
		{"a workspace at its share", func(g *Gate) {
			r := newRequest("own")
			r.Workspace, r.WorkspaceLimit = "choir", 1
			g.Admit(now, r)
		}, func(r *Request) { r.Workspace, r.WorkspaceLimit, r.NoQueue = "choir", 1, true }, ReasonShare},
		{"an open breaker", func(g *Gate) { failRequests(g, now, breakerFailures) }, nil, ReasonBreakerOpen},
		{"an upstream that was released", func(g *Gate) { g.Release(now, "e1", nil) }, nil, ReasonNotOwned},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			g := oneUpstream(2)
			if tc.prepare != nil {
				tc.prepare(g)
			}
			r := newRequest("r")
			if tc.request != nil {
				tc.request(&r)
			}
			d := g.Admit(now, r)
			is.Equal(d.Kind, Rejected)
			is.Equal(d.Reason, tc.reason)
		})
	}
}

// admitRequests makes n requests; those that find no free slot are queued.
func admitRequests(g *Gate, n int) {
	for i := range n {
		r := newRequest(fmt.Sprint("fill", i))
		r.Deadline = time.Hour
		g.Admit(0, r)
	}
}

// failRequests runs n requests that fail.
func failRequests(g *Gate, now time.Duration, n int) {
	for i := range n {
		id := fmt.Sprint("bad", i)
		g.Admit(now, newRequest(id))
		g.Done(now, fleet.RequestID(id), Result{Failed: true}, nil)
	}
}

func TestHeadroomIsForCachedPrompts(t *testing.T) {
	cases := []struct {
		name    string
		cached  int
		noQueue bool
		kind    Kind
	}{
		{"nothing cached", 0, true, Rejected},
		{"a little cached", 500, true, Rejected},
		{"much cached", noYieldTokens, true, Admitted},
		{"nothing cached, but it may wait", 0, false, Admitted},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			g := NewGate()
			g.SetPoolSettings("llm", PoolSettings{StartConcurrency: 2})
			g.SetUpstream(0, UpstreamState{ID: "e1", Pool: "llm", Boot: "b1"}, nil)
			g.Adopt(Handover{Upstream: "e1", Boot: "b1", InFlight: 18, Window: 60})
			total := Sums{InFlight: 160, Upstreams: 10, All: 160, AllUpstreams: 10}
			g.SetPoolLoad(0, "llm", PoolLoad{Total: total, Own: Sums{InFlight: 18, Upstreams: 1, All: 18, AllUpstreams: 1}}, nil)
			r := newRequest("r")
			r.NoQueue, r.Yield = tc.noQueue, YieldFor(tc.cached)
			is.Equal(g.Admit(0, r).Kind, tc.kind) // the mean is 16, the bound 20
		})
	}
}

func TestQueueServesByPriorityAndDeadlineWithoutStarvingBatch(t *testing.T) {
	is := is.New(t)
	g := oneUpstream(1)
	g.Admit(0, newRequest("running"))
	for i := range 20 {
		r := newRequest(fmt.Sprintf("i%02d", i))
		r.Deadline = time.Hour - time.Duration(i)*time.Second // later ones are more urgent
		is.Equal(g.Admit(0, r).Kind, Queued)
		r.ID, r.Priority = fleet.RequestID(fmt.Sprintf("b%02d", i)), fleet.PriorityBatch
		is.Equal(g.Admit(0, r).Kind, Queued)
	}
	last, order := fleet.RequestID("running"), []fleet.RequestID{}
	for range 40 {
		decisions := g.Done(time.Second, last, Result{Duration: time.Second, Tokens: 9}, nil)
		is.Equal(len(decisions), 1)
		is.Equal(decisions[0].Decision.Kind, Admitted)
		last = decisions[0].ID
		order = append(order, last)
	}
	is.Equal(order[0], fleet.RequestID("i19"))
	is.Equal(order[BatchShare-1], fleet.RequestID("b19"))
	is.Equal(order[2*BatchShare-1], fleet.RequestID("b18"))
}

func TestQueuedRequestsAreRejectedAtTheirDeadline(t *testing.T) {
	is := is.New(t)
	g := oneUpstream(1)
	g.Admit(0, newRequest("running"))
	r := newRequest("waits")
	r.Deadline = 5 * time.Second
	is.Equal(g.Admit(0, r).Kind, Queued)
	is.Equal(len(g.Tick(4*time.Second, nil)), 0)
	decisions := g.Tick(5*time.Second, nil)
	is.Equal(len(decisions), 1)
	is.Equal(decisions[0].Decision, Decision{Rejected, ReasonDeadline, minRetryAfter})
	is.Equal(len(g.Done(6*time.Second, "running", Result{}, nil)), 0)
}

func TestDrainRejectsQueuedAndKeepsRunningRequests(t *testing.T) {
	is := is.New(t)
	g := oneUpstream(1)
	g.Admit(0, newRequest("running"))
	g.Admit(0, newRequest("waits"))
	decisions := g.SetUpstream(time.Second, UpstreamState{ID: "e1", Pool: "llm", Boot: "b1", Out: true}, nil)
	is.Equal(len(decisions), 1)
	is.Equal(decisions[0].Decision.Reason, ReasonDraining)
	is.Equal(g.InFlight("e1"), 1)
	g.Done(2*time.Second, "running", Result{Duration: time.Second}, nil)
	is.Equal(g.InFlight("e1"), 0)
}

func TestBreakerProbesOneAtATimeAndCloses(t *testing.T) {
	is := is.New(t)
	g := oneUpstream(4)
	failRequests(g, 0, breakerFailures)
	is.Equal(g.Admit(breakerBase-1, newRequest("early")).Reason, ReasonBreakerOpen)
	is.Equal(g.Admit(breakerBase, newRequest("probe")).Kind, Admitted)
	is.Equal(g.Admit(breakerBase, newRequest("second")).Reason, ReasonBreakerOpen)
	g.Done(breakerBase, "probe", Result{Failed: true}, nil)
	is.Equal(g.Admit(2*breakerBase, newRequest("too early")).Reason, ReasonBreakerOpen) // the backoff has doubled
	is.Equal(g.Admit(3*breakerBase, newRequest("probe2")).Kind, Admitted)
	g.Done(3*breakerBase, "probe2", Result{Duration: time.Second}, nil)
	is.Equal(g.Admit(3*breakerBase, newRequest("after")).Kind, Admitted)
}

func TestResumedRequestIsAdmittedAboveTheLimit(t *testing.T) {
	is := is.New(t)
	g := oneUpstream(1)
	g.SetForeignInFlight(0, "e1", 2, nil)
	is.Equal(g.Admit(0, Request{ID: "new", Upstream: "e1", NoQueue: true}).Reason, ReasonBound)
	is.Equal(g.Admit(0, Request{ID: "resumed", Upstream: "e1", Resume: true}).Kind, Admitted)
	is.Equal(g.InFlight("e1"), 2)
}

func TestReleasedAndRegainedUpstreamKeepsItsRequests(t *testing.T) {
	is := is.New(t)
	g := oneUpstream(2)
	g.Admit(0, newRequest("running"))
	h, _ := g.Release(0, "e1", nil)
	is.Equal(h.InFlight, 1)
	g.SetUpstream(0, UpstreamState{ID: "e1", Pool: "llm", Boot: "b1"}, nil)
	is.Equal(g.InFlight("e1"), 1)
	g.Release(0, "e1", nil)
	g.Done(time.Second, "running", Result{}, nil)
	is.Equal(len(g.order), 0)
}

func TestRetriesStayWithinTheirBudgets(t *testing.T) {
	is := is.New(t)
	r := NewRetryBudgets()
	spend := func(w fleet.WorkspaceID) (n int) {
		for range 100 {
			if r.Allow(0, w, "llm") {
				n++
			}
		}
		return n
	}
	is.Equal(spend("choir"), retryBurst)
	is.Equal(spend("court"), 0) // the pool's budget is spent
	for range 50 {
		r.RecordSuccess(0, "court", "llm")
	}
	is.Equal(spend("choir"), 0)
	is.Equal(spend("court"), 4) // a tenth of 50, rounding
}

func TestBackoffGrowsWithinItsBounds(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	for retry := range 100 {
		d := Backoff(retry, rng)
		is.True(d >= 0 && d <= backoffMax)
		is.True(retry > 1 || d <= backoffBase)
	}
}

func TestHotPathAllocatesNothing(t *testing.T) {
	is := is.New(t)
	g := oneUpstream(64)
	requests := make([]Request, 32)
	for i := range requests {
		requests[i] = newRequest(fmt.Sprint("r", i))
		requests[i].Workspace, requests[i].WorkspaceLimit = "choir", 60
	}
	decisions := make([]QueuedDecision, 0, 64)
	now := time.Duration(0)
	is.Equal(testing.AllocsPerRun(1000, func() {
		now += time.Millisecond
		for i := range requests {
			g.Admit(now, requests[i])
		}
		for i := range requests {
			g.FirstToken(now, requests[i].ID, time.Millisecond)
			decisions = g.Done(now, requests[i].ID, Result{Duration: time.Second, Tokens: 100}, decisions[:0])
		}
		decisions = g.Tick(now, decisions[:0])
	}), 0.0)
}

func BenchmarkAdmitDone(b *testing.B) {
	g := oneUpstream(64)
	r := newRequest("r")
	decisions := make([]QueuedDecision, 0, 4)
	b.ReportAllocs()
	for i := range b.N {
		g.Admit(time.Duration(i), r)
		decisions = g.Done(time.Duration(i), r.ID, Result{Duration: time.Second, Tokens: 100}, decisions[:0])
	}
}
