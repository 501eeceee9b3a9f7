package session

import (
	"cmp"
	"slices"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// MemberStatus is what the Grantor knows of one router that is a member or may
// still hold a lease.
type MemberStatus struct {
	Member fleet.Member
	// LeaseLeft is at least as long as the holder's own lease; 0 when it has none.
	LeaseLeft time.Duration
	// Epoch is the newest epoch that the router acknowledged.
	Epoch fleet.Epoch
	// Version is the configuration in force at the router.
	Version  fleet.ConfigVersion
	InFlight uint32
	// Upstreams counts those that the router owns.
	Upstreams uint32
	// Removing is set once the member's removal was proposed.
	Removing bool
}

// Status returns every router's state, ordered by ID and boot.
func (g *Grantor) Status(now time.Duration) []MemberStatus {
	out := make([]MemberStatus, 0, len(g.sessions))
	for _, s := range g.sessions {
		m := MemberStatus{
			Member: s.member, LeaseLeft: max(0, s.until-now),
			Epoch: s.acked, Version: s.version, Removing: s.removal != 0,
		}
		for _, l := range s.loads {
			m.InFlight += l.InFlight
			m.Upstreams += l.Upstreams
		}
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b MemberStatus) int {
		return cmp.Or(cmp.Compare(a.Member.ID, b.Member.ID), cmp.Compare(a.Member.Boot, b.Member.Boot))
	})
	return out
}
