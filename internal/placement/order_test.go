package placement

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// membershipOf returns a membership with the given numbers of members in the zones.
func membershipOf(sizes ...int) (m fleet.Membership) {
	for zone, size := range sizes {
		for i := range size {
			m.Members = append(m.Members, fleet.Member{
				ID: fleet.InstanceID(fmt.Sprintf("front-%d-%d", zone, i)), Zone: fleet.AvailabilityZone(fmt.Sprint("zone-", zone)),
			})
		}
	}
	return m
}

func TestEachZoneHasItsShareOfRelays(t *testing.T) {
	for _, sizes := range [][]int{
		{300}, {50, 50, 50, 50, 50, 50}, {150, 60, 60, 20, 10, 1}, {400, 1, 1, 1}, {63, 64, 65}, {8, 8, 2},
	} {
		t.Run(fmt.Sprint(sizes), func(t *testing.T) {
			is := is.New(t)
			m := membershipOf(sizes...)
			found := map[fleet.AvailabilityZone]int{}
			relays := Relays(m)
			is.Equal(len(relays), MaxRelays)
			for _, r := range relays {
				found[r.Zone]++
			}
			for zone, size := range sizes {
				n := found[fleet.AvailabilityZone(fmt.Sprint("zone-", zone))]
				is.True(n >= 1)
				share := float64(MaxRelays*size) / float64(len(m.Members))
				is.True(float64(n) >= share/2-1 && float64(n) <= 2*share+1)
			}
		})
	}
}

// The reader's successors take over its work, so a fleet that grows or shrinks keeps them.
func TestRelaysStayWhenAMemberLeaves(t *testing.T) {
	is := is.New(t)
	m := membershipOf(50, 50, 50, 50, 50, 50)
	before := Relays(m)
	changed, most := 0, 0
	for i := range m.Members {
		smaller := fleet.Membership{Members: append(append([]fleet.Member{}, m.Members[:i]...), m.Members[i+1:]...)}
		kept := map[fleet.InstanceID]bool{}
		for _, r := range Relays(smaller) {
			kept[r.ID] = true
		}
		lost := 0
		for _, r := range before {
			if !kept[r.ID] {
				lost++
			}
		}
		if lost > 0 {
			changed++
		}
		most = max(most, lost)
	}
	is.True(most <= 2)               // the one that left, and one that another zone's takes the place of
	is.True(changed <= 50+MaxRelays) // at most the members of one zone move another relay
}

func TestNearestMembersComeFirst(t *testing.T) {
	is := is.New(t)
	m := membershipOf(5, 5, 5)
	first := map[fleet.InstanceID]int{}
	for _, self := range m.Members {
		order := NearestFirst(m.Members, self)
		is.Equal(len(order), len(m.Members))
		for i, other := range order {
			is.Equal(other.Zone == self.Zone, i < 5)
		}
		first[order[0].ID]++
		without := NearestFirst(m.Members[1:], self) // the first member is gone
		for i, j := 0, 0; i < len(order); i++ {
			if order[i].ID != m.Members[0].ID {
				is.Equal(without[j].ID, order[i].ID)
				j++
			}
		}
	}
	is.True(len(first) >= 7) // not one for all
}
