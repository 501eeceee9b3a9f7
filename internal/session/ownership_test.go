package session

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strconv"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// owner is an OwnerFunc: rendezvous hashing (Thaler and Ravishankar, 1998) without
// weights. Draining members own nothing, unless all are draining.
func (sim *simulation) owner(m fleet.Membership, key string) fleet.InstanceID {
	cached := strconv.FormatUint(uint64(m.Epoch), 10) + key
	if id, ok := sim.owners[cached]; ok {
		return id
	}
	var best fleet.InstanceID
	var bestScore uint64
	allDraining := !slices.ContainsFunc(m.Members, func(m fleet.Member) bool { return !m.Draining })
	for _, member := range m.Members {
		if member.Draining && !allDraining {
			continue
		}
		h := fnv.New64a()
		fmt.Fprintf(h, "%s/%s", key, member.ID)
		if s := h.Sum64() * 0x9e3779b97f4a7c15; best == "" || s > bestScore {
			best, bestScore = member.ID, s
		}
	}
	sim.owners[cached] = best
	return best
}

// checkOwners records a violation if a key has two owners at this instant, and the
// gaps without an owner. A frozen process counts as an owner: it may wake up and
// dispatch now.
func (sim *simulation) checkOwners() {
	for k := range testKeys {
		key := "upstream-" + strconv.Itoa(k)
		owners := sim.ownersOf(key)
		if len(owners) > 1 {
			sim.violation = fmt.Sprintf("at %v: %s has two owners: %v", sim.now, key, owners)
			return
		}
		if len(owners) == 1 {
			sim.gaps = append(sim.gaps, sim.now-max(sim.ownedAt[k], testWarmUp))
			if gap := len(sim.gaps) - 1; sim.gaps[gap] <= testStep {
				sim.gaps = sim.gaps[:gap] // not a gap: the time between two checks
			}
			sim.ownedAt[k] = sim.now
		}
	}
}

func (sim *simulation) ownersOf(key string) (owners []string) {
	for _, r := range sim.routers {
		if !r.stopped && r.holder.Owns(r.clock.at(sim.now), key) {
			owners = append(owners, fmt.Sprintf("%s/%s@%d", r.name, r.holder.self.Boot, r.holder.Epoch()))
		}
	}
	return owners
}
