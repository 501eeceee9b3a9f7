package placement

import (
	"cmp"
	"math/bits"
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
// reader. Draining members are left out. In a fleet with more members than relays, each
// availability zone has relays in proportion to its members, and at least one as long as there
// are enough.
func Relays(m fleet.Membership) []fleet.Member {
	var out []fleet.Member
	for _, member := range m.Members {
		if !member.Draining {
			out = append(out, member)
		}
	}
	SortByHash(out, "platform-list/")
	if len(out) <= MaxRelays {
		return out
	}
	return spreadOverZones(out)[:MaxRelays]
}

// spreadOverZones returns the members in an order in which each prefix holds of each
// availability zone about as large a share as all members do (Adams' apportionment). Members of
// one zone stay in their order, and the first member stays the first. The zones' sizes are
// rounded down to powers of two, so that a member that joins or leaves moves few others.
func spreadOverZones(members []fleet.Member) []fleet.Member {
	size := make(map[fleet.AvailabilityZone]uint)
	for _, m := range members {
		size[m.Zone]++
	}
	type seat struct {
		fleet.Member
		share float64 // of the zone's members that precede this one
	}
	seats := make([]seat, len(members))
	taken := make(map[fleet.AvailabilityZone]int)
	for i, m := range members {
		seats[i] = seat{m, float64(taken[m.Zone]) / float64(uint(1)<<(bits.Len(size[m.Zone])-1))}
		taken[m.Zone]++
	}
	slices.SortStableFunc(seats, func(a, b seat) int { return cmp.Compare(a.share, b.share) })
	out := make([]fleet.Member, len(seats))
	for i, s := range seats {
		out[i] = s.Member
	}
	return out
}

// NearestFirst returns the members in the order in which self turns to them: those of its own
// availability zone first, otherwise in an order that differs from router to router and in which
// a change of the members moves no others.
func NearestFirst(members []fleet.Member, self fleet.Member) []fleet.Member {
	out := slices.Clone(members)
	SortByHash(out, string(self.ID)+"/")
	slices.SortStableFunc(out, func(a, b fleet.Member) int {
		switch near := a.Zone == self.Zone; {
		case near == (b.Zone == self.Zone):
			return 0
		case near:
			return -1
		default:
			return 1
		}
	})
	return out
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
