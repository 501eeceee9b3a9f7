package session

import (
	"slices"
	"strings"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// LeaseStatus describes the lease of one committed member.
type LeaseStatus struct {
	Member fleet.Member
	// Remaining is the maximum remaining time of the member's lease; 0 without a lease.
	Remaining time.Duration
	// Acknowledged is a lower bound of the member's epoch.
	Acknowledged fleet.Epoch
	Version      fleet.ConfigVersion
	InFlight     uint32
	Upstreams    uint32
}

// Leases returns the committed members' leases, ordered by ID.
func (g *Grantor) Leases(now time.Duration) []LeaseStatus {
	var out []LeaseStatus
	for _, s := range g.sessions {
		if !s.committed {
			continue
		}
		status := LeaseStatus{
			Member: s.member, Remaining: max(s.until-now, 0), Acknowledged: s.acked, Version: s.version,
		}
		for _, l := range s.loads {
			status.InFlight += l.InFlight
			status.Upstreams += l.Upstreams
		}
		out = append(out, status)
	}
	slices.SortFunc(out, func(a, b LeaseStatus) int { return strings.Compare(string(a.Member.ID), string(b.Member.ID)) })
	return out
}

// Settled returns the newest epoch that every lease holder is known to have adopted.
func (g *Grantor) Settled() fleet.Epoch { return g.settled }
