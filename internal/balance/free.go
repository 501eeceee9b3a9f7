package balance

import (
	"time"

	"github.com/wigeonflow/wigeonflow/internal/routes"
)

// slotsMargin divides an engine's slots into the requests beyond them that an engine may get, at least
// one: the estimate of its load is some tenths of a second old, and an engine that has a request in
// its queue begins it without a pause.
const slotsMargin = 16

// atSlots reports whether an engine's estimated load has reached its slots and a small margin.
func (s *upstreamState) atSlots(now time.Duration, pool *routes.Pool) bool {
	slots := s.slotCount(pool)
	return pool.Engine != nil && slots > 0 && s.load(now) >= slots+max(slots/slotsMargin, 1)
}

// HasFull reports whether an upstream would take the request but for its slots. Cold upstreams don't
// count: they are bounded by their rate.
func (b *Balancer) HasFull(now time.Duration, r *Request, session SessionState) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := *r
	all.FreeOnly = false
	for _, s := range b.usable(now, &Request{Pool: r.Pool, FreeOnly: true}, session, false) {
		if !s.isCold(now, r.Pool, session) {
			return false
		}
	}
	for _, s := range b.usable(now, &all, session, false) {
		if !s.isCold(now, r.Pool, session) && s.atSlots(now, r.Pool) {
			return true
		}
	}
	return false
}
