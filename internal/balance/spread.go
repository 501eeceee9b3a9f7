package balance

import "github.com/wigeonflow/wigeonflow/internal/routes"

const (
	// spreadShare is the mean part of its slots in use from which on a plain pool's requests are
	// spread by chance. Below it the nearest upstream serves at once.
	spreadShare = 0.5
	// spreadFactor times the mean load beyond that is the range over which they are spread.
	spreadFactor = 3.0
)

// spread returns the range, in requests, of the random part of the cost of plain upstreams, at least
// 1. Reports of other routers' requests are older than a plain request lasts. If a large fleet compared
// them alone, all routers would send to the upstream that they show idle, and the others would be
// idle until the next reports.
func spread(usable []*upstreamState, pool *routes.Pool, mean float64, routers int) float64 {
	if pool.Engine != nil || routers <= fewRouters {
		return 1
	}
	slots := 0
	for _, s := range usable {
		slots += s.slotCount(pool)
	}
	if slots == 0 {
		return 1
	}
	return 1 + spreadFactor*max(mean-spreadShare*float64(slots)/float64(len(usable)), 0)
}
