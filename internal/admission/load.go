package admission

import (
	"math"
	"slices"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// recount brings the pool's sums up to date with the upstream. A start is over
// once the window has reached the load bound.
func (u *upstream) recount() {
	var c Sums
	u.starting = u.starting && int(u.window.size) < u.pool.bound(0)
	if !u.closed() {
		c.All, c.AllUpstreams = u.inFlight(), 1
		if !u.starting {
			c.InFlight, c.Upstreams = c.All, 1
		}
	}
	u.pool.own = u.pool.own.minus(u.counted).plus(c)
	u.counted = c
}

func (s Sums) plus(o Sums) Sums {
	return Sums{s.InFlight + o.InFlight, s.Upstreams + o.Upstreams, s.All + o.All, s.AllUpstreams + o.AllUpstreams}
}

func (s Sums) minus(o Sums) Sums {
	return Sums{s.InFlight - o.InFlight, s.Upstreams - o.Upstreams, s.All - o.All, s.AllUpstreams - o.AllUpstreams}
}

const (
	// smallBound is the bound up to which fractions of a request are rounded up,
	// so that a nearly idle pool can grow.
	smallBound = 5
	// fullYield is the number of cached tokens from which a request yields none of
	// the headroom.
	fullYield = 2000
)

// Bound rounds a multiple of the mean load to requests: down, so that the
// multiple holds to the letter, but up below smallBound, and never below floor.
func Bound(multiple float64, floor int) int {
	up := int(math.Ceil(multiple - 1e-9))
	down := int(multiple + 1e-9)
	return max(floor, min(up, smallBound), down)
}

// YieldFor returns the Yield of a request whose upstream holds so many tokens of
// its prompt: 1 for none, falling to 0 at fullYield. The headroom above the mean
// so goes to requests that would cost more elsewhere.
func YieldFor(cached int) float64 {
	return 1 - min(float64(max(cached, 0))/fullYield, 1)
}

// bound is the load bound of every upstream of the pool for a request that
// yields a part of the headroom.
func (p *pool) bound(yield float64) int {
	headroom := (p.settings.LoadFactor - 1) * (1 - min(max(yield, 0), 1))
	return Bound(p.mean()*(1+headroom), p.settings.StartConcurrency)
}

// mean is the mean load of the pool's upstreams that are past their start: the
// sum of the last renewal, or the same with this instance's own part replaced by
// its present number, whichever gives less.
//
// Starting upstreams stay out of the mean: with them, a zone that returns cold
// would lower the bound of all others, their load would fall, and with it the
// mean again. No more than half of the pool stays out, so that a few upstreams
// don't set their own bound while all others start.
func (p *pool) mean() float64 {
	present := p.load.Total.minus(p.load.Own).plus(p.own)
	if p.load.Total.AllUpstreams == 0 {
		return present.mean()
	}
	return min(present.mean(), p.load.Total.mean())
}

// mean leaves out as many starting upstreams as there are others, and counts
// the rest with the mean load of all that are starting.
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

// Loads appends this instance's part of every pool's sums to dst, ordered by
// pool, for the next session renewal.
func (g *Gate) Loads(dst []Load) []Load {
	start := len(dst)
	for id, p := range g.pools {
		load := Load{Pool: id, Sums: p.own}
		for _, u := range g.order {
			if u.pool == p {
				load.Waiting += u.lines.len()
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

// InFlight returns the requests in flight on the upstream, those of a former
// owner included.
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

// Pressed tells whether work waits only for the load bound. An instance that is
// pressed should renew its session early: the bound grows with each renewal.
func (g *Gate) Pressed() bool {
	for _, u := range g.order {
		if u.lines.len() > 0 && !u.closed() && u.inFlight() >= u.pool.bound(0) && int(u.window.size) > u.pool.bound(0) {
			return true
		}
	}
	return false
}
