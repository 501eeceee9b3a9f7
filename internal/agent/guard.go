package agent

import (
	"fmt"

	"github.com/rcrowley/go-metrics"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/telemetry"
)

// newGuard returns the guard of the process's background work, which logs and counts panics.
func (a *Agent) newGuard() *fleet.Guard {
	return &fleet.Guard{
		Record: func(work string, value any, stack []byte) {
			a.log.Error("background work panicked", "work", work, "panic", fmt.Sprint(value), "stack", string(stack))
			metrics.GetOrRegisterCounter(telemetry.MetricName("background_panics", "work", work), a.metrics).Inc(1)
		},
		Stop: a.reportFailure,
	}
}
