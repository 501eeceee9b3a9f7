package placement

import (
	"sync"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// maxRings is the number of recent epochs whose rings are cached. An authority uses
// those from the settled epoch to the current one.
const maxRings = 8

// Rings caches the Ring of each recent membership, so that a lookup doesn't build it
// again. It is safe for concurrent use.
type Rings struct {
	mu      sync.Mutex
	byEpoch map[fleet.Epoch]*Ring
}

// NewRings returns an empty cache.
func NewRings() *Rings { return &Rings{byEpoch: make(map[fleet.Epoch]*Ring)} }

// Ring returns the ring of a membership, from the cache if it has one for its epoch.
func (r *Rings) Ring(m fleet.Membership) *Ring {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ring := r.byEpoch[m.Epoch]; ring != nil {
		return ring
	}
	ring := NewRing(m)
	r.byEpoch[m.Epoch] = ring
	for epoch := range r.byEpoch {
		if epoch+maxRings <= m.Epoch {
			delete(r.byEpoch, epoch)
		}
	}
	return ring
}

// Owner returns the owner of the upstream whose ID is key. It is a session.OwnerFunc.
func (r *Rings) Owner(m fleet.Membership, key string) fleet.InstanceID {
	return r.Ring(m).Owner(fleet.UpstreamID(key))
}
