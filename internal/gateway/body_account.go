package gateway

import (
	"sync"

	"github.com/rcrowley/go-metrics"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/telemetry"
)

const (
	// ownMemory is what the router needs in bytes without answers and bodies, garbage included.
	ownMemory = 40 << 20
	// minBodyDivisor makes the smallest budget of held bodies out of the process's memory.
	minBodyDivisor = 8
	// workspaceFactor bounds the bytes that one workspace holds, as a multiple of what is left to all:
	// one workspace takes at most three quarters of the budget, and any number of them leave a part to
	// others (dynamic thresholds: Choudhury and Hahne, 1998).
	workspaceFactor = 3
)

// errBodyBudget is the type of errors of bodies that can't be held.
var errBodyBudget = fleet.Errors.NewType("gateway_body_budget")

// bodyAccount counts the bytes that a router holds of requests' bodies, and keeps them within a budget
// of their own, so that no body takes room from an answer that is under way. It is safe for
// concurrent use.
type bodyAccount struct {
	budget  int64
	refused metrics.Counter
	mu      sync.Mutex
	total   int64
	peak    int64 // highest total so far
	// workspaces holds the bytes of workspaces that have any. Callers without a key share the empty
	// ID.
	workspaces map[fleet.WorkspaceID]int64
}

// bodyBudget returns the bytes that may be held of bodies by a process with the given memory. With the
// budget of answers, the garbage of both that GOGC=50 allows and ownMemory they take nine tenths of it;
// the rest is for connections.
func bodyBudget(memory int64) int64 {
	held := (memory/10*9 - ownMemory) / 3 * 2
	return max(held-memory/budgetDivisor, memory/minBodyDivisor)
}

// newBodyAccount returns an account for a process that may use the given memory in bytes; 0 if that
// is not known. Its gauges are registered in the registry.
func newBodyAccount(memory int64, registry metrics.Registry) *bodyAccount {
	if memory <= 0 {
		memory = defaultMemory
	}
	b := &bodyAccount{budget: bodyBudget(memory), workspaces: make(map[fleet.WorkspaceID]int64)}
	gauge := func(value func() int64, name string, labels ...string) {
		metrics.NewRegisteredFunctionalGauge(telemetry.MetricName(name, labels...), registry, value)
	}
	gauge(func() int64 { return b.budget }, "gateway_held_request_bytes_budget")
	gauge(func() int64 { _, peak := b.held(); return peak }, "gateway_held_request_bytes_peak")
	gauge(func() int64 { total, _ := b.held(); return total }, "gateway_held_bytes", "part", "request")
	b.refused = metrics.GetOrRegisterCounter(telemetry.MetricName("gateway_held_refused", "part", "request"), registry)
	return b
}

// held returns the bytes that are held now, and the highest value so far.
func (b *bodyAccount) held() (total, peak int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total, b.peak
}

// bodyHolding counts the bytes that are held of one request's body. It is not safe for concurrent
// use.
type bodyHolding struct {
	account   *bodyAccount
	workspace fleet.WorkspaceID
	bytes     int64
}

// open returns a holding of the workspace without bytes.
func (b *bodyAccount) open(workspace fleet.WorkspaceID) *bodyHolding {
	return &bodyHolding{account: b, workspace: workspace}
}

// grow adds n bytes before they are allocated. It returns an errBodyBudget, and adds none, if there
// is no room for them or the workspace exceeds its share.
func (h *bodyHolding) grow(n int64) error {
	if n <= 0 {
		return nil
	}
	b := h.account
	b.mu.Lock()
	defer b.mu.Unlock()
	left, workspace := b.budget-b.total-n, b.workspaces[h.workspace]+n
	if left < 0 || workspace > workspaceFactor*left {
		b.refused.Inc(1)
		return errBodyBudget.New("the body needs %d bytes, its workspace holds %d and all workspaces %d of at most %d",
			h.bytes+n, b.workspaces[h.workspace], b.total, b.budget)
	}
	h.add(n)
	return nil
}

// shrink takes n bytes away.
func (h *bodyHolding) shrink(n int64) {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.add(-n)
}

// release takes all bytes away.
func (h *bodyHolding) release() {
	if h != nil {
		h.shrink(h.bytes)
	}
}

// add adds n bytes, which may be negative. The account's mutex must be held.
func (h *bodyHolding) add(n int64) {
	b := h.account
	h.bytes += n
	b.total += n
	b.peak = max(b.peak, b.total)
	if b.workspaces[h.workspace] += n; b.workspaces[h.workspace] == 0 {
		delete(b.workspaces, h.workspace)
	}
}
