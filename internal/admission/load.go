package admission

import (
	"math"
	"slices"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// updateSums recomputes the upstream's part of the sums that this instance reports for
// the pool. The upstream is no longer starting once its window has reached the load bound.
func (u *upstream) updateSums() {
	var c Sums
	u.starting = u.starting && int(u.window.size) < u.pool.bound(0)
	if !u.closed() {
		c.All, c.AllUpstreams = u.inFlight(), 1
		if !u.starting {
			c.InFlight, c.Upstreams = c.All, 1
		}
	}
	u.pool.own = u.pool.own.minus(u.summed).plus(c)
	u.summed = c
}

// plus returns the sum of s and o, field by field.
func (s Sums) plus(o Sums) Sums {
	return Sums{s.InFlight + o.InFlight, s.Upstreams + o.Upstreams, s.All + o.All, s.AllUpstreams + o.AllUpstreams}
}

// minus returns the difference of s and o, field by field.
func (s Sums) minus(o Sums) Sums {
	return Sums{s.InFlight - o.InFlight, s.Upstreams - o.Upstreams, s.All - o.All, s.AllUpstreams - o.AllUpstreams}
}

const (
	// roundUpBound is the bound up to which fractions of a request are rounded up,
	// so that a nearly idle pool can grow.
	roundUpBound = 5
	// noYieldTokens is the number of cached tokens from which on a request yields
	// none of the headroom.
	noYieldTokens = 2000
)

// Bound rounds a multiple of the mean load to whole requests, and returns at least
// floor. It rounds up where the result is at most roundUpBound, and down above that, so
// that a larger load never exceeds the multiple.
func Bound(multiple float64, floor int) int {
	up := int(math.Ceil(multiple - 1e-9))
	down := int(multiple + 1e-9)
	return max(floor, min(up, roundUpBound), down)
}

// YieldFor returns the Yield of a request of whose prompt the upstream has cached
// this many tokens: 1 for none, falling to 0 at noYieldTokens. The headroom above
// the mean thereby goes to requests that would cost more elsewhere.
func YieldFor(cached int) float64 {
	return 1 - min(float64(max(cached, 0))/noYieldTokens, 1)
}

// bound returns the load bound of every upstream of the pool, for a request that
// yields the given part of the headroom.
func (p *pool) bound(yield float64) int {
	headroom := (p.settings.LoadFactor - 1) * (1 - min(max(yield, 0), 1))
	return Bound(p.mean()*(1+headroom), p.settings.StartConcurrency)
}

// mean returns the mean load of the pool's upstreams that are past their start:
// that of the last renewal, or the same with this instance's own part replaced by
// its current one, whichever is lower.
//
// Starting upstreams don't count: if they did, a zone that returns cold would lower
// the bound of all others, their load would fall, and the mean would fall again. At
// most half of the pool is left out, so that a few upstreams don't set their own
// bound while all others start.
func (p *pool) mean() float64 {
	present := p.load.Total.minus(p.load.Own).plus(p.own)
	if p.load.Total.AllUpstreams == 0 {
		return present.mean()
	}
	return min(present.mean(), p.load.Total.mean())
}

// mean returns the mean load of the upstreams. It leaves starting ones out, but at most
// as many as there are others; each further one counts with the mean load of all that
// are starting.
func (s Sums) mean() float64 {
	starting := s.AllUpstreams - s.Upstreams
	rest := max(starting-s.Upstreams, 0)
	upstreams := float64(s.Upstreams + rest)
	if upstreams == 0 {
		return 0
	}
	sum := float64(s.InFlight)
	if rest > 0 {
		sum += float64(s.All-s.InFlight) * float64(rest) / float64(starting)
	}
	return max(sum, 0) / upstreams
}

// Loads appends this instance's part of every pool's sums to dst, sorted by pool,
// for the next session renewal.
func (g *Gate) Loads(dst []Load) []Load {
	start := len(dst)
	for id, p := range g.pools {
		load := Load{Pool: id, Sums: p.own}
		for _, u := range g.order {
			if u.pool == p {
				load.Waiting += u.queues.len()
			}
		}
		dst = append(dst, load)
	}
	slices.SortFunc(dst[start:], func(a, b Load) int {
		if a.Pool < b.Pool {
			return -1
		}
		return 1
	})
	return dst
}

// InFlight returns the number of requests in flight on the upstream, including
// those of a former owner.
func (g *Gate) InFlight(id fleet.UpstreamID) int {
	if u := g.upstreams[id]; u != nil {
		return u.inFlight()
	}
	return 0
}

// Limit returns how many requests the upstream may have in flight now.
func (g *Gate) Limit(id fleet.UpstreamID) int {
	if u := g.upstreams[id]; u != nil && !u.closed() {
		return g.limit(u, 0)
	}
	return 0
}

// HeldBackByBound reports whether requests are queued at an upstream only because of the
// load bound. The instance should then renew its session early, as the bound grows with
// each renewal.
func (g *Gate) HeldBackByBound() bool {
	for _, u := range g.order {
		if u.queues.len() > 0 && !u.closed() && u.inFlight() >= u.pool.bound(0) && int(u.window.size) > u.pool.bound(0) {
			return true
		}
	}
	return false
}
