package session

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strconv"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// owner is rendezvous hashing (Thaler and Ravishankar, 1998) without weights.
// Draining members own nothing, unless all are draining.
func (w *world) owner(m fleet.Membership, key string) fleet.InstanceID {
	cached := strconv.FormatUint(uint64(m.Epoch), 10) + key
	if id, ok := w.owners[cached]; ok {
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
	w.owners[cached] = best
	return best
}

// check looks for two owners of a key at this instant. A frozen process counts:
// it may wake and dispatch now.
func (w *world) check() {
	for k := range testKeys {
		key := "upstream-" + strconv.Itoa(k)
		owners := w.ownersOf(key)
		if len(owners) > 1 {
			w.violation = fmt.Sprintf("at %v %s is owned by %v", w.now, key, owners)
			return
		}
		if len(owners) == 1 {
			w.gaps = append(w.gaps, w.now-max(w.ownedAt[k], testWarmUp))
			if gap := len(w.gaps) - 1; w.gaps[gap] <= testStep {
				w.gaps = w.gaps[:gap] // between two checks
			}
			w.ownedAt[k] = w.now
		}
	}
}

func (w *world) ownersOf(key string) (owners []string) {
	for _, r := range w.routers {
		if !r.dead && r.holder.Owns(r.clock.at(w.now), key) {
			owners = append(owners, fmt.Sprintf("%s/%s@%d", r.name, r.holder.self.Boot, r.holder.Epoch()))
		}
	}
	return owners
}
