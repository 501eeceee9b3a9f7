package session

import (
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// Authority says what a router may do under one state of its lease. It is an
// immutable value: copies may be used from any goroutine.
type Authority struct {
	self    fleet.Member
	owner   OwnerFunc
	until   time.Duration
	settled fleet.Epoch
	// memberships has no gaps and ends with the current epoch. It starts at
	// settled, or later while the router has not seen all of them.
	memberships []fleet.Membership
	anyEpoch    bool // only in tests: look at the current membership alone
}

// Until returns the end of the lease: it holds before that moment.
func (a Authority) Until() time.Duration { return a.until }

// Valid tells whether the lease holds at now.
func (a Authority) Valid(now time.Duration) bool { return now < a.until }

// Settled returns the newest epoch that every lease holder is known to act upon.
func (a Authority) Settled() fleet.Epoch { return a.settled }

// Membership returns the current membership; empty before the first grant.
func (a Authority) Membership() fleet.Membership {
	if len(a.memberships) == 0 {
		return fleet.Membership{}
	}
	return a.memberships[len(a.memberships)-1]
}

// Memberships returns the memberships that Owns looks at. They must not be
// changed.
func (a Authority) Memberships() []fleet.Membership { return a.memberships }

// Owns tells whether this router may dispatch work of key at now: its lease is
// valid, and it owns the key under every membership from the settled one to
// the current one.
//
// Two routers never both do. Let them act upon epochs a <= b. If a = b, the
// key has one owner there. If a < b and the second router's settled epoch is at
// most a, it looks at the membership of a too, in which the first is the owner.
// If its settled epoch is above a, then the first router, which acts upon a,
// can hold no lease.
func (a Authority) Owns(now time.Duration, key string) bool {
	if !a.Valid(now) || len(a.memberships) == 0 {
		return false
	}
	memberships := a.memberships
	if a.anyEpoch {
		memberships = memberships[len(memberships)-1:]
	} else if memberships[0].Epoch > a.settled {
		return false
	}
	for _, m := range memberships {
		if a.owner(m, key) != a.self.ID || !holds(m, a.self) {
			return false
		}
	}
	return true
}

// holds tells whether this very boot is a member.
func holds(m fleet.Membership, self fleet.Member) bool {
	i, found := find(m.Members, self.ID)
	return found && m.Members[i].Boot == self.Boot
}

// reset forgets every membership but m.
func (a *Authority) reset(m fleet.Membership) {
	a.memberships = []fleet.Membership{m}
}

// extend appends the memberships that changes lead to and returns false when
// they do not lead from one epoch to the other without a gap.
func (a *Authority) extend(changes []Change, from, to fleet.Epoch) bool {
	if len(a.memberships) == 0 {
		return false
	}
	// A new slice: copies of this Authority keep theirs.
	memberships := append([]fleet.Membership(nil), a.memberships...)
	last := memberships[len(memberships)-1]
	for _, c := range changes {
		if c.Epoch <= from {
			continue // sent again: the request was older than the epoch in hand
		}
		if c.Epoch != last.Epoch+1 {
			return false
		}
		last = next(last, c)
		memberships = append(memberships, last)
	}
	if last.Epoch != to {
		return false
	}
	a.memberships = memberships
	return true
}

// trim drops the memberships before the settled one.
func (a *Authority) trim() {
	for len(a.memberships) > 1 && a.memberships[0].Epoch < a.settled {
		a.memberships = a.memberships[1:]
	}
}
