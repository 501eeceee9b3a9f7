package router

import (
	"github.com/rcrowley/go-metrics"

	"github.com/wigeonflow/wigeonflow/internal/telemetry"
)

// updateGauges updates the gauges of the router's state.
func (r *Router) updateGauges() {
	authority := r.keeper.Authority()
	gauge := func(name string, value int64, labels ...string) {
		metrics.GetOrRegisterGauge(telemetry.MetricName(name, labels...), r.cfg.Metrics).Update(value)
	}
	gauge("session_lease_left_milliseconds", max(authority.Until()-r.cfg.Clock(), 0).Milliseconds())
	gauge("membership_epoch", int64(authority.Membership().Epoch))
	gauge("membership_settled_epoch", int64(authority.Settled()))
	gauge("config_version", int64(r.view.Version()))
	gauge("callers_running", r.entry.Running())
	for _, load := range r.owner.Loads() {
		pool := string(load.Pool)
		gauge("owner_in_flight", int64(load.All), "pool", pool)
		gauge("owner_waiting", int64(load.Waiting), "pool", pool)
		gauge("owner_upstreams", int64(load.AllUpstreams), "pool", pool)
		gauge("owner_upstreams_warm", int64(load.Upstreams), "pool", pool)
	}
}
