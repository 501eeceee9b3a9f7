package session

import (
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// Authority is a snapshot of a router's lease and of the memberships that decide
// which keys it owns. It is an immutable value: copies may be used from any
// goroutine.
type Authority struct {
	self    fleet.Member
	owner   OwnerFunc
	until   time.Duration // end of the lease
	settled fleet.Epoch
	// memberships has no gaps and ends with the current epoch. It starts at
	// settled, or later while the router has not received all of them.
	memberships      []fleet.Membership
	currentEpochOnly bool // test only: check the current membership alone
}

// Until returns the end of the lease, which is valid before this instant.
func (a Authority) Until() time.Duration { return a.until }

// Valid reports whether the lease is valid at now.
func (a Authority) Valid(now time.Duration) bool { return now < a.until }

// Settled returns the newest epoch that every lease holder is known to have adopted.
func (a Authority) Settled() fleet.Epoch { return a.settled }

// Membership returns the current membership; empty before the first grant.
func (a Authority) Membership() fleet.Membership {
	if len(a.memberships) == 0 {
		return fleet.Membership{}
	}
	return a.memberships[len(a.memberships)-1]
}

// Memberships returns the memberships that Owns checks. They must not be modified.
func (a Authority) Memberships() []fleet.Membership { return a.memberships }

// Owns reports whether this router may dispatch work for key at now: its lease is
// valid, and it owns the key under every membership from the settled one to
// the current one.
//
// It is never true for two routers at once. Let their epochs be a <= b. If a = b,
// the key has one owner under that membership. If a < b and the second router's
// settled epoch is at most a, it also checks the membership of a, in which the
// first router is the owner. If its settled epoch is above a, then the first
// router, whose epoch is a, can't hold a lease.
func (a Authority) Owns(now time.Duration, key string) bool {
	if !a.Valid(now) || len(a.memberships) == 0 {
		return false
	}
	memberships := a.memberships
	if a.currentEpochOnly {
		memberships = memberships[len(memberships)-1:]
	} else if memberships[0].Epoch > a.settled {
		return false
	}
	for _, m := range memberships {
		if a.owner(m, key) != a.self.ID || !containsBoot(m, a.self) {
			return false
		}
	}
	return true
}

// containsBoot reports whether m contains self with the same boot.
func containsBoot(m fleet.Membership, self fleet.Member) bool {
	i, found := findMember(m.Members, self.ID)
	return found && m.Members[i].Boot == self.Boot
}

// resetMemberships replaces all memberships by m.
func (a *Authority) resetMemberships(m fleet.Membership) {
	a.memberships = []fleet.Membership{m}
}

// appendChanges appends the memberships that result from changes. It returns false if the
// changes do not lead from one epoch to the other without a gap.
func (a *Authority) appendChanges(changes []Change, from, to fleet.Epoch) bool {
	if len(a.memberships) == 0 {
		return false
	}
	// A new slice: copies of this Authority keep theirs.
	memberships := append([]fleet.Membership(nil), a.memberships...)
	last := memberships[len(memberships)-1]
	for _, c := range changes {
		if c.Epoch <= from {
			continue // duplicate: the request was sent before the router adopted this epoch
		}
		if c.Epoch != last.Epoch+1 {
			return false
		}
		last = applyChange(last, c)
		memberships = append(memberships, last)
	}
	if last.Epoch != to {
		return false
	}
	a.memberships = memberships
	return true
}

// trimToSettled removes the memberships before the settled one.
func (a *Authority) trimToSettled() {
	for len(a.memberships) > 1 && a.memberships[0].Epoch < a.settled {
		a.memberships = a.memberships[1:]
	}
}
