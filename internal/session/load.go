package session

import (
	"slices"
	"strings"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// loadSums keeps the sums of all routers' loads per pool, ordered by pool. The cost of
// replacing one router's loads depends on its number of pools, not on the number of
// routers.
type loadSums struct{ pools []PoolMean }

func newLoadSums() loadSums { return loadSums{} }

// replace subtracts a router's old loads from the sums and adds its new ones.
func (l *loadSums) replace(old, new []PoolLoad) {
	for _, o := range old {
		p := l.findOrAddPool(o.Pool)
		p.InFlight -= o.InFlight
		p.Upstreams -= o.Upstreams
		p.Warm -= o.Warm
		p.WarmUpstreams -= o.WarmUpstreams
	}
	for _, n := range new {
		p := l.findOrAddPool(n.Pool)
		p.InFlight += n.InFlight
		p.Upstreams += n.Upstreams
		p.Warm += n.Warm
		p.WarmUpstreams += n.WarmUpstreams
	}
}

// findOrAddPool returns the sums of a pool. It adds zero sums for a new pool.
func (l *loadSums) findOrAddPool(id fleet.PoolID) *PoolMean {
	i, found := slices.BinarySearchFunc(l.pools, id, func(p PoolMean, id fleet.PoolID) int {
		return strings.Compare(string(p.Pool), string(id))
	})
	if !found {
		l.pools = slices.Insert(l.pools, i, PoolMean{Pool: id})
	}
	return &l.pools[i]
}

// sums returns a copy without the pools of which no router owns an upstream.
func (l *loadSums) sums() []PoolMean {
	out := make([]PoolMean, 0, len(l.pools))
	for _, p := range l.pools {
		if p.Upstreams > 0 {
			out = append(out, p)
		}
	}
	return out
}
