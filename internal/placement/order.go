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

// MaxRelays bounds the number of relays of the upstream list. The first relay, the reader,
// reads the list from the platform for all routers; the other relays read it from the
// reader, and all other routers from one of the relays. The reader's link thus carries at
// most this many copies, and that of each other relay about 25 in a fleet of 410 routers.
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

// RelayCache caches the relays of the membership that was last asked for, because routers
// need them for each update of the upstream list, and a leader for each renewal of a
// joining router. It is safe for concurrent use. Callers must not modify the slices that it
// returns.
type RelayCache struct {
	mu     sync.Mutex
	known  bool // epoch and relays are set
	epoch  fleet.Epoch
	relays []fleet.Member
}

// Relays returns the relays of a committed membership.
func (c *RelayCache) Relays(m fleet.Membership) []fleet.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known || c.epoch != m.Epoch {
		c.known, c.epoch, c.relays = true, m.Epoch, Relays(m)
	}
	return c.relays
}
