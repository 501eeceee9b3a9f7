package gateway

import (
	"math"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/wigeonflow/wigeonflow/internal/balance"
	"github.com/wigeonflow/wigeonflow/internal/telemetry"
)

// errorSamples and errorAlpha are the size and the bias towards new samples of the histograms of
// errors, those of go-metrics' timers.
const (
	errorSamples = 1028
	errorAlpha   = 0.015
)

// estimateNames are the values of the label estimate of the metric gateway_estimate_error_percent.
var estimateNames = map[balance.Estimate]string{
	balance.EstimateRead: "prompt", balance.EstimateStream: "stream", balance.EstimateService: "service",
}

// estimateErrors returns a function that records the errors of the balancer's estimates.
func estimateErrors(registry metrics.Registry) func(balance.Estimate, float64) {
	histograms := make(map[balance.Estimate]metrics.Histogram, len(estimateNames))
	for estimate, name := range estimateNames {
		histograms[estimate] = metrics.GetOrRegisterHistogram(telemetry.MetricName("gateway_estimate_error_percent", "estimate", name), registry,
			metrics.NewExpDecaySample(errorSamples, errorAlpha))
	}
	return func(e balance.Estimate, percent float64) {
		histograms[e].Update(int64(math.Round(min(percent, math.MaxInt32))))
	}
}

// updateEstimates updates the gauges of what the balancer has learned.
func updateEstimates(registry metrics.Registry, estimates []balance.PoolEstimates) {
	for _, e := range estimates {
		set := func(name string, value float64) {
			metrics.GetOrRegisterGauge(telemetry.MetricName(name, "pool", string(e.Pool)), registry).Update(int64(math.Round(value)))
		}
		set("gateway_pool_service_ms", float64(e.ServiceTime)/float64(time.Millisecond))
		set("gateway_pool_prompt_tokens_per_second", 1000*e.PrefillRate)
		set("gateway_pool_request_delay_us", float64(e.RequestDelay)/float64(time.Microsecond))
		set("gateway_pool_slow_upstreams", float64(e.Slow))
		set("gateway_pool_fast_upstreams", float64(e.Fast))
		set("gateway_pool_full_upstreams", float64(e.Full))
		set("gateway_pool_slowest_percent", 100*e.Slowest)
	}
}
