package session

import (
	"slices"
	"strings"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// loadSums keeps the fleet's sums per pool, ordered by pool. Replacing one
// router's share costs as much as the router has pools, whatever the number of
// routers.
type loadSums struct{ pools []PoolMean }

func newLoadSums() loadSums { return loadSums{} }

// replace takes a router's old share out of the sums and puts its new one in.
func (l *loadSums) replace(old, new []PoolLoad) {
	for _, o := range old {
		p := l.pool(o.Pool)
		p.InFlight -= o.InFlight
		p.Upstreams -= o.Upstreams
		p.Warm -= o.Warm
		p.WarmUpstreams -= o.WarmUpstreams
	}
	for _, n := range new {
		p := l.pool(n.Pool)
		p.InFlight += n.InFlight
		p.Upstreams += n.Upstreams
		p.Warm += n.Warm
		p.WarmUpstreams += n.WarmUpstreams
	}
}

func (l *loadSums) pool(id fleet.PoolID) *PoolMean {
	i, found := slices.BinarySearchFunc(l.pools, id, func(p PoolMean, id fleet.PoolID) int {
		return strings.Compare(string(p.Pool), string(id))
	})
	if !found {
		l.pools = slices.Insert(l.pools, i, PoolMean{Pool: id})
	}
	return &l.pools[i]
}

// sums returns a copy without the pools that nobody owns an upstream of.
func (l *loadSums) sums() []PoolMean {
	out := make([]PoolMean, 0, len(l.pools))
	for _, p := range l.pools {
		if p.Upstreams > 0 {
			out = append(out, p)
		}
	}
	return out
}
