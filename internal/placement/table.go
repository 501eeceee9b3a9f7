package placement

import (
	"slices"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

const (
	// MaxCandidates bounds how many candidates a lookup returns.
	MaxCandidates = 8
	// formerSets is how many earlier sets of eligible upstreams a table keeps.
	formerSets = 3
	// formerAge is how long an earlier set is kept.
	formerAge = 2 * time.Hour
)

// View is one router's knowledge of members and upstreams at one time.
type View struct {
	Membership fleet.Membership
	Upstreams  []fleet.Upstream
	// Out reports whether operators have taken the upstream, its instance or its
	// availability zone out of service. Nil means none is out.
	Out func(fleet.Upstream) bool
}

// Basis is why a candidate is in the list.
type Basis uint8

const (
	// Ranked candidates are in rendezvous order over the pool's eligible upstreams.
	Ranked Basis = iota
	// Former candidates ranked first under an earlier set of upstreams. Their
	// owner should admit the request only if it knows the chat to be resident.
	Former
	// Recorded candidates served the chat last, according to this router's records.
	Recorded
)

// Candidate is one upstream to try, with the instance that owns it.
type Candidate struct {
	Upstream fleet.UpstreamID
	Owner    fleet.InstanceID
	Basis    Basis
}

// Table ranks the upstreams of each pool for a chat. It is immutable and safe
// for concurrent use.
type Table struct {
	ring    *Ring
	pools   map[fleet.PoolID]*poolTable
	listed  map[fleet.UpstreamID]fleet.Upstream
	history []upstreamSet // the current set, then earlier ones, newest first
}

// upstreamSet is a set of eligible upstreams, and the time at which another one replaced it.
type upstreamSet struct {
	eligible map[fleet.UpstreamID]bool
	until    time.Duration
}

// NewTable builds the first table of a router.
func NewTable(now time.Duration, v View) *Table {
	return (*Table)(nil).Next(now, v)
}

// Next builds the table that follows t for a new view. It keeps earlier sets of
// eligible upstreams, newest first, so that a chat is still looked for at the
// upstream where its cache was built. A view with the same eligible upstreams adds
// no set.
func (t *Table) Next(now time.Duration, v View) *Table {
	next := &Table{ring: NewRing(v.Membership), listed: map[fleet.UpstreamID]fleet.Upstream{}}
	current := upstreamSet{eligible: map[fleet.UpstreamID]bool{}}
	for _, u := range v.Upstreams {
		next.listed[u.ID] = u
		if !u.Leaving && (v.Out == nil || !v.Out(u)) {
			current.eligible[u.ID] = true
		}
	}
	next.history = append([]upstreamSet{current}, t.earlierSets(now, current)...)
	next.buildPools(v.Upstreams)
	return next
}

// earlierSets returns the earlier sets to keep after the new current one.
func (t *Table) earlierSets(now time.Duration, current upstreamSet) []upstreamSet {
	if t == nil {
		return nil
	}
	past := slices.Clone(t.history)
	if sameSet(past[0].eligible, current.eligible) {
		past = past[1:]
	} else {
		past[0].until = now
	}
	past = slices.DeleteFunc(past, func(s upstreamSet) bool { return now-s.until > formerAge })
	return past[:min(len(past), formerSets)]
}

func sameSet(a, b map[fleet.UpstreamID]bool) bool {
	if len(a) != len(b) {
		return false
	}
	for id := range a {
		if !b[id] {
			return false
		}
	}
	return true
}

// buildPools groups the upstreams by pool.
func (t *Table) buildPools(upstreams []fleet.Upstream) {
	sorted := slices.Clone(upstreams)
	slices.SortFunc(sorted, func(a, b fleet.Upstream) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	t.pools = map[fleet.PoolID]*poolTable{}
	for _, u := range sorted {
		pool := t.pools[u.Pool]
		if pool == nil {
			pool = &poolTable{}
			t.pools[u.Pool] = pool
		}
		pool.addUpstream(u, t.ring.Owner(u.ID), t.eligibleSets(u.ID))
	}
	all := setMask(1)<<len(t.history) - 1
	for _, pool := range t.pools {
		pool.groupEntries(all)
	}
}

// eligibleSets returns the sets of the history in which the upstream is eligible; bit 0
// is the current set.
func (t *Table) eligibleSets(id fleet.UpstreamID) setMask {
	var mask setMask
	for i, s := range t.history {
		if s.eligible[id] {
			mask |= 1 << i
		}
	}
	return mask
}

// Owner returns the owner of the upstream under the table's membership.
func (t *Table) Owner(id fleet.UpstreamID) fleet.InstanceID { return t.ring.Owner(id) }

// Home returns the plan home of the workspace under the table's membership.
func (t *Table) Home(id fleet.WorkspaceID) fleet.InstanceID { return t.ring.Home(id) }

// Upstream returns the upstream as listed, and whether it is listed.
func (t *Table) Upstream(id fleet.UpstreamID) (fleet.Upstream, bool) {
	u, ok := t.listed[id]
	return u, ok
}

// Eligible reports whether the upstream may receive new work in this view.
func (t *Table) Eligible(id fleet.UpstreamID) bool { return t.history[0].eligible[id] }

// Candidates appends to dst, in the order to try them, the upstreams of the
// pool for a chat: those that ranked first under earlier sets and are still
// eligible, then the current ranking. It fills dst up to its capacity or
// MaxCandidates, whichever is less, and appends each upstream once.
//
// A chat's order is the same in every zone. For the key of a single request,
// upstreams in localZone come first, as nothing is cached for it.
func (t *Table) Candidates(key ChatKey, pool fleet.PoolID, localZone fleet.AvailabilityZone, dst []Candidate) []Candidate {
	p := t.pools[pool]
	if p == nil {
		return dst
	}
	limit := min(cap(dst)-len(dst), MaxCandidates)
	if limit <= 0 {
		return dst
	}
	if key.Chat() {
		return p.chatCandidates(uint64(key)^mixA, limit, dst)
	}
	return p.requestCandidates(uint64(key)^mixA, limit, localZone, dst)
}

// Promote moves the candidate for upstream to the front of the list and marks it
// Recorded. An eligible upstream that the list lacks is inserted at the front; the
// last candidate is dropped if the list is at capacity.
func (t *Table) Promote(list []Candidate, upstream fleet.UpstreamID) []Candidate {
	if !t.Eligible(upstream) {
		return list
	}
	at := slices.IndexFunc(list, func(c Candidate) bool { return c.Upstream == upstream })
	first := Candidate{Upstream: upstream, Owner: t.ring.Owner(upstream), Basis: Recorded}
	if at < 0 {
		if len(list) < cap(list) {
			list = append(list, first)
		}
		at = len(list) - 1
	}
	if at < 0 {
		return list
	}
	copy(list[1:at+1], list[:at])
	list[0] = first
	return list
}
