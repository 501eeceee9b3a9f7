package router

import (
	"sync"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/mesh"
	"github.com/wigeonflow/wigeonflow/internal/plan"
	"github.com/wigeonflow/wigeonflow/internal/settings"
)

// A router without members or pool panics in its calls.
func TestPanickingPlanCallEndsProcess(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var recorded []string
	guard := &fleet.Guard{Record: func(work string, _ any, _ []byte) {
		mu.Lock()
		defer mu.Unlock()
		recorded = append(recorded, work)
	}}
	r := New(Config{
		Settings: settings.Settings{Instance: "router-1", Platform: settings.Platform{URL: "http://127.0.0.1:1"}}.WithDefaults(),
		Clock:    fleet.MonotonicClock(), Logger: hclog.NewNullLogger(), Metrics: metrics.NewRegistry(), Guard: guard,
	}, mesh.NewServer(mesh.Config{Instance: "router-1"}), nil)
	r.plans.requestReport(t.Context(), fleet.Member{ID: "peer"}, nil)
	r.members.Store(&map[fleet.InstanceID]fleet.Member{"peer": {ID: "peer"}})
	r.plans.handOver(t.Context(), map[fleet.InstanceID][]plan.UsageRecord{"peer": nil})
	r.members.Store(nil)
	r.plans.sendRequest(plan.BorrowRequest{Workspace: "w"})
	is.True(r.plans.mu.TryLock())
	is.Equal(recorded, []string{"plan: request a report", "plan: hand over usage records", "plan: borrow credits"})
}
