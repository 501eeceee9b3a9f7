package gateway

import (
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonflow/wigeonflow/internal/balance"
	"github.com/wigeonflow/wigeonflow/internal/deflate"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/mesh"
)

//go:generate go tool msgp -tests=false -io=false -file listing.go
//msgp:ignore snapshot

// ListRequest opens a stream of the upstream list.
type ListRequest struct {
	// Digest is the digest of the follower's list; 0 if it has none. A source with the
	// same digest doesn't send the complete list.
	Digest uint64 `msg:"d,omitempty"`
	// AcceptsStale is set if the follower stays with a source whose list is older than
	// maxListAge. Followers of earlier releases leave it.
	AcceptsStale bool `msg:"s,omitempty"`
	// AcceptsChanges is set if the follower decodes reports with changes. Followers of earlier
	// releases take them for complete ones.
	AcceptsChanges bool `msg:"c,omitempty"`
	// AcceptsPending is set if the follower takes a pending update as a sign that it will get a
	// list. Those of earlier releases need a list in the first update.
	AcceptsPending bool `msg:"p,omitempty"`
}

// ListEntry is one upstream of the upstream list.
type ListEntry struct {
	Upstream fleet.Upstream `msg:"u"`
	// ColdFor is the remaining time of the upstream's cold start at the time of the list.
	ColdFor time.Duration `msg:"c,omitempty"`
}

// ListEntries holds all upstreams of a list.
type ListEntries struct {
	Entries []ListEntry `msg:"e"`
}

// ListUpdate brings a follower's list up to date. One without entries is a heartbeat:
// the list has not changed.
type ListUpdate struct {
	// Age is the time since the platform was asked for the list.
	Age time.Duration `msg:"a"`
	// ReadTime is how long the list took to read from the platform.
	ReadTime time.Duration `msg:"rt,omitempty"`
	// Pending is set if the source has no list yet and one is being read. The update holds
	// nothing else.
	Pending bool `msg:"p,omitempty"`
	// Whole holds the complete list as deflated ListEntries, if the update can't be
	// expressed as changes of the follower's list.
	Whole   []byte             `msg:"w,omitempty"`
	Changed []ListEntry        `msg:"c,omitempty"`
	Removed []fleet.UpstreamID `msg:"r,omitempty"`
	// Number is the sender's number of the list that results from the update.
	Number uint64 `msg:"n"`
	// Totals sums up the activities of all routers at upstreams.
	Totals LoadReport `msg:"t"`
	// AcceptsChanges is set if the sender decodes reports with changes.
	AcceptsChanges bool `msg:"x,omitempty"`
}

const (
	// coldTolerance is the largest difference between the ends of a cold start in two
	// reads of the list that doesn't count as a change.
	coldTolerance = 300 * time.Millisecond
	// maxListBytes bounds a complete encoded list: a hundred thousand upstreams.
	maxListBytes = 16 << 20
)

// snapshot is the upstream list at one time. It is immutable once numbered.
type snapshot struct {
	number    uint64 // counts the changes of the list at this router
	asOf      time.Duration
	readTime  time.Duration // how long the list took to read
	entries   map[fleet.UpstreamID]listedUpstream
	sortedIDs []fleet.UpstreamID // keys of entries, which load reports index
	digest    uint64             // of the upstreams, without their cold starts
	encoded   func() []byte      // returns ListUpdate.Whole, which is encoded once for all followers
}

// listedUpstream is an upstream with the end of its cold start.
type listedUpstream struct {
	fleet.Upstream
	coldUntil time.Duration
}

// newSnapshot returns the snapshot of a list that was read from the platform.
func newSnapshot(asOf time.Duration, list []balance.ListedUpstream) *snapshot {
	entries := make(map[fleet.UpstreamID]listedUpstream, len(list))
	for _, l := range list {
		entries[l.ID] = listedUpstream{l.Upstream, asOf + l.ColdFor}
	}
	return newSnapshotOf(asOf, entries)
}

// newSnapshotOf returns a snapshot with the given entries, which it keeps.
func newSnapshotOf(asOf time.Duration, entries map[fleet.UpstreamID]listedUpstream) *snapshot {
	s := &snapshot{number: 1, asOf: asOf, entries: entries, sortedIDs: slices.Sorted(maps.Keys(entries))}
	s.digest = s.computeDigest()
	s.encoded = sync.OnceValue(s.encode)
	return s
}

// withTime returns the same list with another time.
func (s *snapshot) withTime(asOf time.Duration) *snapshot {
	next := *s
	next.asOf = asOf
	next.encoded = sync.OnceValue(next.encode)
	return &next
}

// computeDigest returns a digest that is the same on all routers with the same upstreams.
func (s *snapshot) computeDigest() uint64 {
	h := xxhash.New()
	for _, id := range s.sortedIDs {
		u := s.entries[id].Upstream
		for _, field := range []string{string(id), string(u.Pool), u.Addr, string(u.Zone), string(u.Boot)} {
			_, _ = h.WriteString(field) // writes to a hash never fail
			_, _ = h.Write([]byte{0})
		}
		if u.Leaving {
			_, _ = h.Write([]byte{1})
		}
		// Left out where the platform doesn't tell them, so that routers of the release before,
		// which don't know them, have the same digest.
		if u.Version != "" || u.Slots != 0 {
			_, _ = h.WriteString(u.Version)
			_, _ = h.Write(binary.AppendVarint([]byte{0}, int64(u.Slots)))
		}
	}
	return max(h.Sum64(), 1) // 0 means none
}

// encode encodes the complete list as in ListUpdate.Whole.
func (s *snapshot) encode() []byte {
	var all ListEntries
	for _, id := range s.sortedIDs {
		all.Entries = append(all.Entries, s.entries[id].entry(s.asOf))
	}
	encoded, _ := all.MarshalMsg(nil) // strings and numbers only, cannot fail
	return deflate.Compress(encoded)
}

// numberAfter numbers the snapshot as the successor of an earlier one, which may be nil. The
// number grows if the upstreams or their cold starts differ.
func (s *snapshot) numberAfter(former *snapshot) {
	if former == nil {
		return
	}
	s.number = former.number
	if s.digest != former.digest || !s.sameColdStarts(former) {
		s.number++
	}
}

// sameColdStarts reports whether the cold starts of all upstreams end at the same time as in
// former, which has the same upstreams.
func (s *snapshot) sameColdStarts(former *snapshot) bool {
	for id, e := range s.entries {
		if !former.entries[id].sameColdEnd(e, s.asOf) {
			return false
		}
	}
	return true
}

// diff returns the changes from the former snapshot to s.
func (s *snapshot) diff(former *snapshot) (changed []ListEntry, removed []fleet.UpstreamID) {
	for id, e := range s.entries {
		if old, known := former.entries[id]; !known || old.Upstream != e.Upstream || !old.sameColdEnd(e, s.asOf) {
			changed = append(changed, e.entry(s.asOf))
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

// sameColdEnd reports whether two cold starts end at the same time, within coldTolerance.
// All ends before asOf are the same.
func (l listedUpstream) sameColdEnd(other listedUpstream, asOf time.Duration) bool {
	a, b := max(l.coldUntil, asOf), max(other.coldUntil, asOf)
	return max(a-b, b-a) <= coldTolerance
}

func (l listedUpstream) entry(asOf time.Duration) ListEntry {
	return ListEntry{Upstream: l.Upstream, ColdFor: l.coldFor(asOf)}
}

// coldFor returns the remaining time of the upstream's cold start at the given time.
func (l listedUpstream) coldFor(asOf time.Duration) time.Duration { return max(l.coldUntil-asOf, 0) }

// agesFrom returns the time from which the list's age is counted: it is out of date by one read
// when it has been read, and by another one before the next can take its place.
func (s *snapshot) agesFrom() time.Duration { return s.asOf + 2*s.readTime }

// update returns the update from the former snapshot to s. If former is nil, the
// follower holds a list with the digest followerDigest, or none if that is 0.
func (s *snapshot) update(former *snapshot, followerDigest uint64, now time.Duration) *ListUpdate {
	u := &ListUpdate{Age: now - s.asOf, ReadTime: s.readTime, Number: s.number}
	switch {
	case former == nil && followerDigest != s.digest:
		u.Whole = s.encoded()
	case former == nil: // the same upstreams; their cold starts may differ
		for _, e := range s.entries {
			if e.coldUntil > s.asOf {
				u.Changed = append(u.Changed, e.entry(s.asOf))
			}
		}
	case former.number != s.number:
		u.Changed, u.Removed = s.diff(former)
	}
	return u
}

// apply returns the snapshot that results from an update of s, which may be nil. The
// error is errListGap if the update needs a previous list and s is nil.
func (s *snapshot) apply(now time.Duration, u *ListUpdate) (*snapshot, error) {
	next, err := s.applyEntries(now-max(u.Age, 0), u)
	if err != nil {
		return nil, err
	}
	next.readTime = min(max(u.ReadTime, 0), firstReadTimeout)
	return next, nil
}

// applyEntries is like apply, without the read time of the update.
func (s *snapshot) applyEntries(asOf time.Duration, u *ListUpdate) (*snapshot, error) {
	changed := u.Changed
	entries := make(map[fleet.UpstreamID]listedUpstream)
	switch {
	case len(u.Whole) > 0:
		encoded, err := deflate.Decompress(u.Whole, maxListBytes)
		if err != nil {
			return nil, err
		}
		var all ListEntries
		if err := mesh.Decode(encoded, &all); err != nil {
			return nil, err
		}
		changed = all.Entries
	case s == nil:
		return nil, errListGap
	case len(u.Changed) == 0 && len(u.Removed) == 0:
		return s.withTime(asOf), nil
	default:
		maps.Copy(entries, s.entries)
	}
	for _, id := range u.Removed {
		delete(entries, id)
	}
	for _, e := range changed {
		entries[e.Upstream.ID] = listedUpstream{e.Upstream, asOf + min(max(e.ColdFor, 0), fleet.MaxDuration)}
	}
	return newSnapshotOf(asOf, entries), nil
}

// upstreams returns the upstreams in the balancer's form.
func (s *snapshot) upstreams() []balance.ListedUpstream {
	out := make([]balance.ListedUpstream, 0, len(s.entries))
	for _, e := range s.entries {
		out = append(out, balance.ListedUpstream{Upstream: e.Upstream, ColdFor: e.coldFor(s.asOf)})
	}
	return out
}
