package router

import (
	"sync"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/placement"
)

// maxRings bounds the memberships whose rings are kept: an authority looks at
// those from the settled to the current one.
const maxRings = 8

// rings keeps the ring of each recent membership, so that an owner is looked up
// without hashing over all members again.
type rings struct {
	mu      sync.Mutex
	byEpoch map[fleet.Epoch]*placement.Ring
}

func newRings() *rings { return &rings{byEpoch: make(map[fleet.Epoch]*placement.Ring)} }

// owner implements session.OwnerFunc for keys that are upstreams' IDs.
func (r *rings) owner(m fleet.Membership, key string) fleet.InstanceID {
	return r.ring(m).Owner(fleet.UpstreamID(key))
}

func (r *rings) ring(m fleet.Membership) *placement.Ring {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ring := r.byEpoch[m.Epoch]; ring != nil {
		return ring
	}
	ring := placement.NewRing(m)
	r.byEpoch[m.Epoch] = ring
	for epoch := range r.byEpoch {
		if epoch+maxRings <= m.Epoch {
			delete(r.byEpoch, epoch)
		}
	}
	return ring
}
