package router

import (
	"strings"
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

// homeKeyPrefix marks the keys of plan homes among those of upstreams.
const homeKeyPrefix = "\x00home/"

func homeKey(workspace fleet.WorkspaceID) string { return homeKeyPrefix + string(workspace) }

// owner implements session.OwnerFunc for upstreams' IDs and for homeKey.
func (r *rings) owner(m fleet.Membership, key string) fleet.InstanceID {
	if workspace, ok := strings.CutPrefix(key, homeKeyPrefix); ok {
		return r.ring(m).Home(fleet.WorkspaceID(workspace))
	}
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
