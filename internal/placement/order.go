package placement

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// SortByHash sorts members in place by the salted hash of their IDs, so that all routers
// get the same order. Different salts give independent orders.
func SortByHash(members []fleet.Member, salt string) {
	slices.SortFunc(members, func(a, b fleet.Member) int {
		return cmp.Compare(xxhash.Sum64String(salt+string(a.ID)), xxhash.Sum64String(salt+string(b.ID)))
	})
}

// MaxRelays bounds the relays of the upstream list: the router that reads the list for
// all, and those that read it from this router. All others read from one of the relays.
// The reader's link thus carries this many copies, and that of each other relay, at 410
// routers, about 25.
const MaxRelays = 17

// Relays returns the relays of a membership in order of succession; the first is the
// reader. Draining members are left out.
func Relays(m fleet.Membership) []fleet.Member {
	var out []fleet.Member
	for _, member := range m.Members {
		if !member.Draining {
			out = append(out, member)
		}
	}
	SortByHash(out, "platform-list/")
	return out[:min(len(out), MaxRelays)]
}

// RelayCache caches the relays of the last membership, because routers need them for each
// update of the upstream list, and a leader for each renewal of a joining router. It is
// safe for concurrent use. Callers must not modify the slices that it returns.
type RelayCache struct {
	mu     sync.Mutex
	known  bool
	epoch  fleet.Epoch
	relays []fleet.Member
}

// Relays returns the relays of a committed membership.
func (o *RelayCache) Relays(m fleet.Membership) []fleet.Member {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.known || o.epoch != m.Epoch {
		o.known, o.epoch, o.relays = true, m.Epoch, Relays(m)
	}
	return o.relays
}
