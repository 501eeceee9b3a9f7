package placement

import (
	"testing"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

func TestDrainingMembersOwnNothing(t *testing.T) {
	cases := []struct {
		name     string
		draining []bool
		owners   map[fleet.InstanceID]bool // that may own something
	}{
		{"none drains", []bool{false, false, false}, map[fleet.InstanceID]bool{"a": true, "b": true, "c": true}},
		{"one drains", []bool{true, false, false}, map[fleet.InstanceID]bool{"b": true, "c": true}},
		{"all drain", []bool{true, true, true}, map[fleet.InstanceID]bool{"a": true, "b": true, "c": true}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var m fleet.Membership
			for i, draining := range tc.draining {
				m.Members = append(m.Members, fleet.Member{ID: fleet.InstanceID("abc"[i : i+1]), Draining: draining})
			}
			ring := NewRing(m)
			seen := map[fleet.InstanceID]bool{}
			for _, id := range []fleet.UpstreamID{"u1", "u2", "u3", "u4", "u5", "u6", "u7", "u8", "u9", "u10", "u11", "u12"} {
				seen[ring.Owner(id)] = true
			}
			is.Equal(seen, tc.owners)
		})
	}
}
