package placement

import (
	"sync"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// maxRings bounds the memberships whose rings are kept: an authority looks at
// those from the settled to the current one.
const maxRings = 8

// Rings keeps the ring of each recent membership, so that an owner is looked up
// without hashing over all members again. It is safe for concurrent use.
type Rings struct {
	mu      sync.Mutex
	byEpoch map[fleet.Epoch]*Ring
}

// NewRings returns no rings.
func NewRings() *Rings { return &Rings{byEpoch: make(map[fleet.Epoch]*Ring)} }

// Ring returns the ring of a membership.
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

// Owner returns the owner of the upstream whose ID the key is, as a session's
// OwnerFunc does.
func (r *Rings) Owner(m fleet.Membership, key string) fleet.InstanceID {
	return r.Ring(m).Owner(fleet.UpstreamID(key))
}
