package owner

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/admission"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// gate makes the admission core safe for concurrent use, and lets queued requests wait
// for their decision.
type gate struct {
	clock fleet.Clock

	mu        sync.Mutex
	core      *admission.Gate
	serial    uint64 // of the latest request; makes IDs unique
	waiting   map[fleet.RequestID]chan admission.Decision
	decisions []admission.QueuedDecision // buffer reused between calls of the core
}

func newGate(clock fleet.Clock) *gate {
	return &gate{clock: clock, core: admission.NewGate(), waiting: make(map[fleet.RequestID]chan admission.Decision)}
}

// slot is the right to run one request at an upstream until it is released.
type slot struct {
	gate            *gate
	id              fleet.RequestID
	begun           time.Duration
	firstTokenAfter time.Duration // since begun; 0 until the first token
	once            sync.Once
}

// admit decides on a request, and waits for the decision if it is queued. The slot is
// nil if the request was rejected.
func (g *gate) admit(ctx context.Context, r admission.Request) (*slot, admission.Decision) {
	g.mu.Lock()
	g.serial++
	r.ID += fleet.RequestID("#" + strconv.FormatUint(g.serial, 10)) // a resumed attempt may overlap its previous run
	decision := g.core.Admit(g.clock(), r)
	var decided chan admission.Decision
	if decision.Kind == admission.Queued {
		decided = make(chan admission.Decision, 1)
		g.waiting[r.ID] = decided
	}
	g.mu.Unlock()
	if decided != nil {
		decision = g.wait(ctx, r.ID, decided)
	}
	if decision.Kind != admission.Admitted {
		return nil, decision
	}
	return &slot{gate: g, id: r.ID, begun: g.clock()}, decision
}

// wait waits for the decision on a queued request. If ctx ends first, the request is
// withdrawn and rejected.
func (g *gate) wait(ctx context.Context, id fleet.RequestID, decided chan admission.Decision) admission.Decision {
	select {
	case decision := <-decided:
		return decision
	case <-ctx.Done():
	}
	g.updateCore(func(now time.Duration, dst []admission.QueuedDecision) []admission.QueuedDecision {
		delete(g.waiting, id)
		return g.core.Cancel(now, id, dst)
	})
	return admission.Decision{Kind: admission.Rejected, Reason: admission.ReasonDeadline}
}

// updateCore calls the core, and passes its decisions to the queued requests.
func (g *gate) updateCore(f func(now time.Duration, dst []admission.QueuedDecision) []admission.QueuedDecision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.decisions = f(g.clock(), g.decisions[:0])
	for _, d := range g.decisions {
		if decided := g.waiting[d.ID]; decided != nil {
			decided <- d.Decision
			delete(g.waiting, d.ID)
		}
	}
}

// withCore calls the core without decisions on queued requests.
func (g *gate) withCore(f func(core *admission.Gate)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.core)
}

// recordFirstToken records the time of the answer's first token.
func (s *slot) recordFirstToken() {
	if s.firstTokenAfter != 0 {
		return
	}
	now := s.gate.clock()
	s.firstTokenAfter = now - s.begun
	s.gate.withCore(func(core *admission.Gate) { core.FirstToken(now, s.id, s.firstTokenAfter) })
}

// release ends the request with its result at the upstream.
func (s *slot) release(tokens int, failed bool) {
	s.once.Do(func() {
		s.gate.updateCore(func(now time.Duration, dst []admission.QueuedDecision) []admission.QueuedDecision {
			return s.gate.core.Done(now, s.id, admission.Result{Duration: now - s.begun, Tokens: tokens, Failed: failed}, dst)
		})
	})
}

// cancel ends the request without a result for the upstream's health.
func (s *slot) cancel() {
	s.once.Do(func() {
		s.gate.updateCore(func(now time.Duration, dst []admission.QueuedDecision) []admission.QueuedDecision {
			return s.gate.core.Cancel(now, s.id, dst)
		})
	})
}
