package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/balance"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

//go:generate go tool msgp -tests=false -io=false -file listing.go
//msgp:ignore snapshot

// ListRequest opens a stream of the platform's list.
type ListRequest struct{}

// ListEntry is one upstream of the list.
type ListEntry struct {
	Upstream fleet.Upstream `msg:"u"`
	// ColdFor is how much longer the upstream is cold, as of the message.
	ColdFor time.Duration `msg:"c,omitempty"`
}

// ListUpdate brings a follower's list up to date. It also tells that the sender is
// alive: one without entries says that nothing has changed.
type ListUpdate struct {
	// Age is how long ago the sender asked the platform for the list.
	Age time.Duration `msg:"a"`
	// Whole is set where Changed is the whole list.
	Whole   bool               `msg:"w,omitempty"`
	Changed []ListEntry        `msg:"c,omitempty"`
	Removed []fleet.UpstreamID `msg:"r,omitempty"`
	// Number is the sender's number of the list that the update leads to.
	Number uint64 `msg:"n"`
	// Totals are the requests in flight of all routers together.
	Totals LoadReport `msg:"t"`
}

// coldTolerance is how far the end of a cold start may seem to move between two
// reads of the list without counting as a change.
const coldTolerance = 300 * time.Millisecond

// snapshot is the platform's list as read once. It is never changed.
type snapshot struct {
	number  uint64 // counts the changes of the list
	asOf    time.Duration
	entries map[fleet.UpstreamID]listed
	order   []fleet.UpstreamID // of entries, sorted: the places of load reports
}

// sorted fills in the order and returns the snapshot.
func (s *snapshot) sorted() *snapshot {
	s.order = slices.Sorted(maps.Keys(s.entries))
	return s
}

type listed struct {
	fleet.Upstream
	coldUntil time.Duration
}

func newSnapshot(asOf time.Duration, list []balance.Listed) *snapshot {
	s := &snapshot{number: 1, asOf: asOf, entries: make(map[fleet.UpstreamID]listed, len(list))}
	for _, l := range list {
		s.entries[l.ID] = listed{l.Upstream, asOf + l.ColdFor}
	}
	return s.sorted()
}

// after numbers the snapshot as the successor of an earlier one.
func (s *snapshot) after(former *snapshot) {
	if former == nil {
		return
	}
	s.number = former.number
	if changed, removed := s.diff(former, s.asOf); len(changed) > 0 || len(removed) > 0 {
		s.number++
	}
}

// diff returns what a holder of the former snapshot lacks.
func (s *snapshot) diff(former *snapshot, now time.Duration) (changed []ListEntry, removed []fleet.UpstreamID) {
	for id, e := range s.entries {
		if old, known := former.entries[id]; !known || !old.same(e, now) {
			changed = append(changed, e.entry(now))
		}
	}
	for id := range former.entries {
		if _, still := s.entries[id]; !still {
			removed = append(removed, id)
		}
	}
	slices.Sort(removed)
	return changed, removed
}

func (l listed) same(other listed, now time.Duration) bool {
	a, b := max(l.coldUntil, now), max(other.coldUntil, now)
	return l.Upstream == other.Upstream && max(a-b, b-a) <= coldTolerance
}

func (l listed) entry(now time.Duration) ListEntry {
	return ListEntry{Upstream: l.Upstream, ColdFor: max(l.coldUntil-now, 0)}
}

// update returns what brings a holder of the former snapshot, nil for none, to s.
func (s *snapshot) update(former *snapshot, now time.Duration) *ListUpdate {
	u := &ListUpdate{Age: now - s.asOf, Number: s.number}
	switch {
	case former == nil:
		u.Whole = true
		for _, e := range s.entries {
			u.Changed = append(u.Changed, e.entry(now))
		}
	case former.number != s.number:
		u.Changed, u.Removed = s.diff(former, now)
	}
	return u
}

// apply returns the snapshot that an update makes of s. It returns nil where the
// update needs a former list and there is none.
func (s *snapshot) apply(now time.Duration, u *ListUpdate) *snapshot {
	next := &snapshot{asOf: now - u.Age, entries: make(map[fleet.UpstreamID]listed)}
	if !u.Whole {
		if s == nil {
			return nil
		}
		for id, e := range s.entries {
			next.entries[id] = e
		}
	}
	for _, id := range u.Removed {
		delete(next.entries, id)
	}
	for _, e := range u.Changed {
		next.entries[e.Upstream.ID] = listed{e.Upstream, now + e.ColdFor}
	}
	return next.sorted()
}

// list returns the snapshot as the balancer takes it.
func (s *snapshot) list() []balance.Listed {
	out := make([]balance.Listed, 0, len(s.entries))
	for _, e := range s.entries {
		out = append(out, balance.Listed{Upstream: e.Upstream, ColdFor: max(e.coldUntil-s.asOf, 0)})
	}
	return out
}
