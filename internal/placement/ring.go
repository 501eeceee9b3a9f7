package placement

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// Ring computes the owner of an upstream and the plan home of a workspace under one
// committed membership. It is immutable and safe for concurrent use.
type Ring struct {
	epoch   fleet.Epoch
	ids     []fleet.InstanceID
	hashes  []uint64
	weights []float64
	uniform bool // all weights are equal
}

// NewRing returns the Ring of one membership. Draining members own nothing, unless
// all members are draining.
func NewRing(m fleet.Membership) *Ring {
	r := &Ring{epoch: m.Epoch, uniform: true}
	drained := allDraining(m)
	for _, member := range m.Members {
		if member.Draining && !drained {
			continue
		}
		weight := max(member.Weight, 1)
		r.ids = append(r.ids, member.ID)
		r.hashes = append(r.hashes, xxhash.Sum64String(string(member.ID)))
		r.weights = append(r.weights, float64(weight))
		r.uniform = r.uniform && float64(weight) == r.weights[0]
	}
	return r
}

func allDraining(m fleet.Membership) bool {
	for _, member := range m.Members {
		if !member.Draining {
			return false
		}
	}
	return true
}

// Epoch returns the epoch of the membership.
func (r *Ring) Epoch() fleet.Epoch { return r.epoch }

// Owner returns the instance that owns the upstream, or "" if there are no members.
func (r *Ring) Owner(id fleet.UpstreamID) fleet.InstanceID {
	return r.pickMember(xxhash.Sum64String(string(id)) ^ saltOwner)
}

// Home returns the plan home of the workspace, or "" if there are no members.
func (r *Ring) Home(id fleet.WorkspaceID) fleet.InstanceID {
	return r.pickMember(xxhash.Sum64String(string(id)) ^ saltHome)
}

// Owner returns the owner of an upstream under m. For many lookups under one
// membership a Ring is cheaper.
func Owner(m fleet.Membership, id fleet.UpstreamID) fleet.InstanceID {
	return NewRing(m).Owner(id)
}

// Home returns the plan home of a workspace under m.
func Home(m fleet.Membership, id fleet.WorkspaceID) fleet.InstanceID {
	return NewRing(m).Home(id)
}

// pickMember returns the member that ranks first for the key, or "" if there are none.
func (r *Ring) pickMember(key uint64) fleet.InstanceID {
	if len(r.ids) == 0 {
		return ""
	}
	if r.uniform {
		return r.ids[r.pickUniform(key)]
	}
	return r.ids[r.pickWeighted(key)]
}

// pickUniform selects the member with the highest hash. With equal weights the
// weighted score is a monotonic function of the hash, so that pickWeighted selects the
// same member.
func (r *Ring) pickUniform(key uint64) int {
	best, bestScore := 0, uint64(0)
	for i, h := range r.hashes {
		if score := Mix(key, h); score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// pickWeighted selects the member that maximises -weight/ln(u), where its hash gives u
// uniform in (0, 1).
func (r *Ring) pickWeighted(key uint64) int {
	best, bestScore := 0, math.Inf(-1)
	for i, h := range r.hashes {
		u := (float64(Mix(key, h)>>11) + 0.5) / (1 << 53)
		if score := -r.weights[i] / math.Log(u); score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}
