package balance

import (
	"math"
	"slices"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/placement"
	"github.com/wigeonflow/wigeonflow/internal/rollout"
)

// Side is the part of a pool's upstreams that a request may be sent to while a roll-out is under way.
type Side uint8

// Sides of a roll-out.
const (
	// AnySide is every version that gets requests.
	AnySide Side = iota
	// OldSide is every version but the new one.
	OldSide
	// NewSide is the new version.
	NewSide
)

// VersionPolicy says which versions of a pool's upstreams may get requests. It is immutable.
type VersionPolicy struct {
	// New is the version that a roll-out under way moves the pool to; empty for none.
	New string
	// Share is the part of the new version's upstreams, of rollout.FullShare, that requests go to.
	Share uint16
	// Key determines which upstreams these are: those with the highest hash. A greater Share adds
	// upstreams and removes none.
	Key uint64
	// Barred lists the versions that get nothing, LastResort those that get requests only if no
	// other upstream serves.
	Barred, LastResort []string
}

// subset is the part of the new version's upstreams of a pool that requests go to.
type subset struct {
	policy *VersionPolicy // from which it follows
	least  uint64         // hash of the last member
}

// score returns the hash that ranks an upstream of the new version.
func (p *VersionPolicy) score(s *upstreamState) uint64 { return placement.Mix(p.Key, s.hash) }

// versions returns the policy of a pool; nil if all versions may get requests.
func (s *SessionState) versions(pool fleet.PoolID) *VersionPolicy {
	if s.Versions == nil {
		return nil
	}
	return s.Versions(pool)
}

// admits reports whether an upstream may get the request by its version. lastResort is set if no
// other upstream serves. A cold upstream of the new version counts as one of the subset: it gets
// requests from its owner only, so that most routers would reach none of the few others.
func (b *Balancer) admits(now time.Duration, p *VersionPolicy, s *upstreamState, r *Request, session *SessionState, lastResort bool) bool {
	switch side := r.Side; {
	case r.Version != nil && s.Version != *r.Version:
		return false
	case p == nil:
		return true
	case slices.Contains(p.Barred, s.Version), !lastResort && slices.Contains(p.LastResort, s.Version):
		return false
	case p.New == "":
		return true
	case s.Version != p.New:
		return side == OldSide || side == AnySide && p.Share < rollout.FullShare
	case side == OldSide:
		return false
	case lastResort, r.beyondSubset, now < s.coldUntil:
		return true
	}
	return p.score(s) >= b.subset(p, s.Pool, session).least
}

// subset returns the subset of a pool by its policy, which it keeps until the policy or the list
// changes.
func (b *Balancer) subset(p *VersionPolicy, pool fleet.PoolID, session *SessionState) subset {
	if found, ok := b.subsets[pool]; ok && found.policy == p {
		return found
	}
	var scores []uint64
	for _, s := range b.pools[pool] {
		if s.Version == p.New && !s.Leaving && !session.Out(s.Upstream) {
			scores = append(scores, p.score(s))
		}
	}
	found := subset{policy: p}
	if n := len(scores); n > 0 {
		slices.Sort(scores)
		count := int(math.Ceil(float64(p.Share) / rollout.FullShare * float64(n)))
		found.least = scores[n-min(max(count, 1), n)]
	}
	b.subsets[pool] = found
	return found
}

// sourceFor returns the upstream from which s may fetch cached prompt parts, which is source unless
// versions are told apart and theirs differ: another version may have other weights.
func (s *upstreamState) sourceFor(source *upstreamState, session *SessionState) *upstreamState {
	if source != nil && session.Versions != nil && source.Version != s.Version {
		return nil
	}
	return source
}

// soundNew returns the sound upstreams of the new version beyond the subset, for a request that finds
// none in it: one that is ejected fails the requests that it gets, and the version would be blamed.
func (b *Balancer) soundNew(now time.Duration, r *Request, session SessionState) []*upstreamState {
	r.beyondSubset = true
	defer func() { r.beyondSubset = false }()
	return b.usable(now, r, session, false)
}
