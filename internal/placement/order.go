package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// Order sorts members in place as all routers do, by the hash of their IDs. The salt
// keeps orders for different purposes apart.
func Order(members []fleet.Member, salt string) {
	slices.SortFunc(members, func(a, b fleet.Member) int {
		return cmp.Compare(xxhash.Sum64String(salt+string(a.ID)), xxhash.Sum64String(salt+string(b.ID)))
	})
}
