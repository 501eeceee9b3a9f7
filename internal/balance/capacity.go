package balance

import (
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/routes"
)

// Capacity is what a pool can do and does, as this router knows it.
type Capacity struct {
	// Upstreams is the number of upstreams that may get work now, and Slots the number of
	// requests that they run at once together; 0 if that is unknown.
	Upstreams, Slots int
	// ColdSlots is the part of Slots at cold upstreams, which only this router may use, and ColdRate
	// the requests per second that it may send them.
	ColdSlots int
	ColdRate  float64
	// Running estimates the requests of all routers that run or wait at these upstreams, and Own
	// counts those of this router.
	Running, Own int
	// Share is this router's part of the pool's demand, from 0 to 1.
	Share float64
	// ServiceTime is the usual time for which a request holds a slot; 0 if unknown.
	ServiceTime time.Duration
	// PrefillRate is the usual number of prompt tokens that an engine reads per millisecond; 0
	// if unknown.
	PrefillRate float64
}

// Capacity returns the capacity of a pool.
func (b *Balancer) Capacity(now time.Duration, pool *routes.Pool, session SessionState) Capacity {
	b.mu.Lock()
	defer b.mu.Unlock()
	estimates := b.poolEstimates(pool.Name)
	c := Capacity{ServiceTime: estimates.serviceTime(), PrefillRate: estimates.prefillRate()}
	known := 0
	for _, s := range b.usable(now, &Request{Pool: pool}, session, false) {
		c.Upstreams++
		slots := s.slotCount(pool)
		if c.Slots += slots; slots > 0 {
			known++
		}
		if s.isCold(now, pool, session) && pool.ColdRate > 0 {
			c.ColdSlots += s.slotCount(pool)
			c.ColdRate += pool.ColdRate
		}
		c.Running += s.load(now)
		c.Own += s.running
	}
	if known > 0 && known < c.Upstreams { // the others are taken to have as many
		c.Slots, c.ColdSlots = c.Slots*c.Upstreams/known, c.ColdSlots*c.Upstreams/known
	}
	c.Share = b.share(now, pool.Name, b.ownRunning(pool.Name), session.Routers)
	return c
}

// ownRunning counts this router's requests in flight at a pool.
func (b *Balancer) ownRunning(pool fleet.PoolID) (running int) {
	for _, s := range b.pools[pool] {
		running += s.running
	}
	return running
}
