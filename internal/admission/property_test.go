package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// model holds the requests that should be running and queued according to the gate's
// decisions.
type model struct {
	running map[fleet.RequestID]fleet.UpstreamID
	queued  map[fleet.RequestID]fleet.UpstreamID
}

func (b *model) applyDecisions(t *rapid.T, decisions []QueuedDecision) {
	for _, d := range decisions {
		if b.queued[d.ID] != d.Upstream {
			t.Fatalf("gate decided on %v, but the model has no such request queued at that upstream", d)
		}
		delete(b.queued, d.ID)
		if d.Decision.Kind == Admitted {
			b.running[d.ID] = d.Upstream
		}
	}
}

// drawRequestID draws a key of m, or an unknown ID.
func drawRequestID(t *rapid.T, m map[fleet.RequestID]fleet.UpstreamID) fleet.RequestID {
	ids := []fleet.RequestID{"unknown"}
	for i := range 200 {
		if id := fleet.RequestID(fmt.Sprint("r", i)); m[id] != "" {
			ids = append(ids, id)
		}
	}
	return rapid.SampledFrom(ids).Draw(t, "id")
}

func TestGateMatchesModelAfterAnyCalls(t *testing.T) {
	upstreams := []fleet.UpstreamID{"e1", "e2", "e3"}
	rapid.Check(t, func(t *rapid.T) {
		g, now, next := NewGate(), time.Duration(0), 0
		b := &model{map[fleet.RequestID]fleet.UpstreamID{}, map[fleet.RequestID]fleet.UpstreamID{}}
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") }
		id := func() fleet.UpstreamID { return upstreams[draw(len(upstreams))] }
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) {
				r := Request{
					ID: fleet.RequestID(fmt.Sprint("r", next)), Upstream: id(), Priority: fleet.Priority(draw(2)),
					Deadline: now + time.Duration(draw(20))*time.Second, NoQueue: draw(2) == 0, Resume: draw(8) == 0,
					Workspace: fleet.WorkspaceID(fmt.Sprint("w", draw(2))), WorkspaceLimit: draw(4), Yield: float64(draw(3)) / 2,
				}
				next++
				switch d := g.Admit(now, r); d.Kind {
				case Admitted:
					b.running[r.ID] = r.Upstream
				case Queued:
					b.queued[r.ID] = r.Upstream
				}
			},
			"done": func(t *rapid.T) {
				r := drawRequestID(t, b.running)
				delete(b.running, r)
				b.applyDecisions(t, g.Done(now, r, Result{FirstToken: time.Second, Duration: time.Duration(draw(60)) * time.Second, Tokens: draw(99), Failed: draw(4) == 0}, nil))
			},
			"cancel": func(t *rapid.T) {
				r := drawRequestID(t, b.running)
				if draw(2) == 0 {
					r = drawRequestID(t, b.queued)
				}
				delete(b.running, r)
				delete(b.queued, r)
				b.applyDecisions(t, g.Cancel(now, r, nil))
			},
			"first token": func(t *rapid.T) {
				g.FirstToken(now, drawRequestID(t, b.running), time.Duration(draw(5))*time.Second)
			},
			"tick": func(t *rapid.T) {
				now += time.Duration(draw(3000)) * time.Millisecond
				b.applyDecisions(t, g.Tick(now, nil))
			},
			"set upstream": func(t *rapid.T) {
				s := UpstreamState{ID: id(), Pool: "llm", Boot: fleet.BootID(fmt.Sprint(draw(2))), Out: draw(4) == 0}
				b.applyDecisions(t, g.SetUpstream(now, s, nil))
			},
			"lose": func(t *rapid.T) {
				_, decisions := g.Release(now, id(), nil)
				b.applyDecisions(t, decisions)
			},
			"foreign": func(t *rapid.T) { b.applyDecisions(t, g.SetForeignInFlight(now, id(), draw(4), nil)) },
			"cold":    func(t *rapid.T) { g.RestartWindow(id()) },
			"set pool": func(t *rapid.T) {
				own, n := g.Loads(nil), draw(30)
				if len(own) > 0 {
					total := own[0].plus(Sums{5 * n, 5, 5 * n, 5})
					b.applyDecisions(t, g.SetPoolLoad(now, "llm", PoolLoad{Total: total, Own: own[0].Sums}, nil))
				}
			},
			"": func(t *rapid.T) { checkModel(t, g, b, upstreams) },
		})
	})
}

// checkModel compares the gate with the model, and the gate's sums with sums that it
// computes anew.
func checkModel(t *rapid.T, g *Gate, b *model, upstreams []fleet.UpstreamID) {
	if len(g.entries) != len(b.running)+len(b.queued) {
		t.Fatalf("gate has %d entries, model has %d running and %d queued", len(g.entries), len(b.running), len(b.queued))
	}
	for _, id := range upstreams {
		n := 0
		for _, u := range b.running {
			if u == id {
				n++
			}
		}
		if g.Running(id) != n {
			t.Fatalf("upstream %s: model has %d running requests, gate counts %d", id, n, g.Running(id))
		}
	}
	var sums Sums
	for _, u := range g.order {
		if u.queues.len() > 0 && u.closed() {
			t.Fatalf("upstream %s is closed and still has %d queued requests", u.state.ID, u.queues.len())
		}
		if u.closed() {
			continue
		}
		sums.All += u.inFlight()
		sums.AllUpstreams++
		if !u.starting {
			sums.InFlight += u.inFlight()
			sums.Upstreams++
		}
	}
	if got := g.pool("llm").own; got != sums {
		t.Fatalf("pool llm: sums computed anew are %v, gate has %v", sums, got)
	}
}
