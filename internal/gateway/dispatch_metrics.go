package gateway

import (
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/wigeonflow/wigeonflow/internal/dispatch"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/telemetry"
)

// perMille is the number of units of the gauges of the limit and the share in one slot or the whole
// demand: both may be far below one.
const perMille = 1000

// dispatchMetrics are the metrics of admission at one pool.
type dispatchMetrics struct {
	registry metrics.Registry
	pool     fleet.PoolID
	starts   metrics.Counter
	refused  metrics.Counter // by upstreams
	waited   metrics.Timer
	gauges   map[int]bool // priorities that have a gauge
}

// newDispatchMetrics returns the metrics of a pool. The gauges read limit, which must lock what it
// reads.
func newDispatchMetrics(registry metrics.Registry, pool fleet.PoolID, limit func() (limit, share float64)) *dispatchMetrics {
	name := func(name string) string { return telemetry.MetricName(name, "pool", string(pool)) }
	metrics.NewRegisteredFunctionalGauge(name("gateway_dispatch_limit_permille"), registry, func() int64 {
		most, _ := limit()
		return int64(most * perMille)
	})
	metrics.NewRegisteredFunctionalGauge(name("gateway_dispatch_share_permille"), registry, func() int64 {
		_, share := limit()
		return int64(share * perMille)
	})
	return &dispatchMetrics{
		registry: registry, pool: pool, gauges: make(map[int]bool),
		starts:  metrics.GetOrRegisterCounter(name("gateway_dispatch_starts"), registry),
		refused: metrics.GetOrRegisterCounter(name("gateway_dispatch_refusals"), registry),
		waited:  metrics.GetOrRegisterTimer(name("gateway_dispatch_waited"), registry),
	}
}

// showWaiting registers the gauge of the requests of a priority that wait, on its first call.
func (m *dispatchMetrics) showWaiting(priority int, waiting func(priority int) int) {
	if m.gauges[priority] {
		return
	}
	m.gauges[priority] = true
	name := telemetry.MetricName("gateway_dispatch_waiting", "pool", string(m.pool), "priority", strconv.Itoa(priority))
	_ = m.registry.Register(name, metrics.NewFunctionalGauge(func() int64 { return int64(waiting(priority)) })) // fails only if it is registered
}

// countRejection counts a rejected request by its reason.
func (m *dispatchMetrics) countRejection(reason dispatch.Reason) {
	label := "deadline"
	switch reason {
	case dispatch.ReasonQueueFull:
		label = "queue_full"
	case stopEndsRequest:
		label = "planned_stop"
	}
	metrics.GetOrRegisterCounter(telemetry.MetricName("gateway_dispatch_rejections", "pool", string(m.pool), "reason", label), m.registry).Inc(1)
}

// countWait records how long a request has waited.
func (m *dispatchMetrics) countWait(wait time.Duration) { m.waited.Update(wait) }
