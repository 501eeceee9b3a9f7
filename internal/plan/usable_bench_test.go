package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/lists"
)

// BenchmarkUsableShare prints the fraction of a plan that its workspace can use in a surge
// to twice the plan, and the bytes of control messages per started request.
func BenchmarkUsableShare(t *testing.B) {
	const warm, span = 5 * time.Second, 60 * time.Second
	for _, routers := range []int{8, 10, 410} {
		for _, tc := range []struct {
			name   string
			plan   lists.Plan
			load   float64
			limits float64 // starts per second that the plan allows
		}{
			{"small rate", lists.Plan{RequestsPerSecond: 2, Burst: 4}, 4, 2},
			{"small slots", lists.Plan{Concurrency: 6}, 4, 2},
			{"small all", lists.Plan{RequestsPerSecond: 2, Burst: 4, Concurrency: 20, TokensPerMinute: 120_000}, 4, 2},
			{"rate 100", lists.Plan{RequestsPerSecond: 100}, 200, 100},
			{"rate 400", lists.Plan{RequestsPerSecond: 400}, 800, 400},
			{"slots 300", lists.Plan{Concurrency: 300}, 200, 100},
			{"slots 1200", lists.Plan{Concurrency: 1200}, 800, 400},
			{"tokens", lists.Plan{TokensPerMinute: 1_500_000}, 200, 100},
			{"all", lists.Plan{RequestsPerSecond: 100, Concurrency: 360, TokensPerMinute: 1_800_000}, 200, 100},
			{"half the plan", lists.Plan{RequestsPerSecond: 100, Concurrency: 360, TokensPerMinute: 1_800_000}, 50, 50},
			{"small, half", lists.Plan{RequestsPerSecond: 2, Burst: 4, Concurrency: 20, TokensPerMinute: 120_000}, 1, 1},
		} {
			s := newSchedule(1, routers, tc.plan, options{})
			s.rate = tc.load
			s.run(warm)
			s.started, s.bytes = 0, 0
			s.run(warm + span)
			share := float64(s.started) / span.Seconds() / tc.limits
			fmt.Printf("%-12s %4d %5.0f/s  %5.1f%%  %6.0f B  %d breaches\n", tc.name, routers, tc.load, 100*share, float64(s.bytes)/float64(max(s.started, 1)), len(s.violations))
		}
	}
}
