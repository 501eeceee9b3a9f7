package gateway

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/balance"
	"github.com/wigeonflow/wigeonflow/internal/rollout"
)

// orderLag is by how much an order may follow the listing of its new version: operators start the
// upstreams and order the roll-out at about the same time.
const orderLag = 1500 * time.Millisecond

// replacedFor is the time after the deadline of a completed roll-out in which a router that has just
// started takes the other versions that it finds listed for replaced ones. Operators stop these at once; what is
// listed later belongs to another release.
const replacedFor = time.Minute

// listedVersion counts a pool's listed upstreams of one version.
type listedVersion struct {
	listed int
	warm   int // of these
}

// versionStatus is what a router knows of one version of a pool's upstreams.
type versionStatus struct {
	listedVersion
	firstListed time.Duration
	// released is set once the version may get requests without an order.
	released bool
	// rolledBack is set once an order to this version was rolled back, replaced once one to another
	// version was completed; until an order names the version again.
	rolledBack, replaced bool
}

// poolVersions holds the versions of one pool's upstreams and decides which of them may get
// requests: a new version gets none before it is known whether an order names it. It is not safe
// for concurrent use.
type poolVersions struct {
	contact time.Duration // for which a version is held without a confirmation; 0 for no limit
	known   map[string]*versionStatus
	record  rollout.Rollout // the newest known; zero before the first
	listed  bool            // the pool was listed before
	policy  *balance.VersionPolicy
	settled bool // policy holds until the next call of changed
	// timeOfDay is in milliseconds since 1970.
	timeOfDay int64
}

// status returns the status of a version, which it adds if it is new.
func (p *poolVersions) status(version string, now time.Duration) *versionStatus {
	found := p.known[version]
	if found == nil {
		found = &versionStatus{firstListed: now}
		p.known[version] = found
	}
	return found
}

// active reports whether a roll-out is under way.
func (p *poolVersions) active() bool {
	return p.record.State == rollout.InProgress || p.record.State == rollout.Finishing
}

// setRecord takes in a newer state of the pool's roll-out, or a newer roll-out.
func (p *poolVersions) setRecord(now time.Duration, r rollout.Rollout) {
	former := p.record
	p.record = r
	to := p.status(r.To, now)
	if r.ID != former.ID {
		to.rolledBack, to.replaced = false, false
	}
	for rejected := range strings.SplitSeq(r.Rejected, "\n") {
		if rejected != "" && rejected != r.To {
			p.status(rejected, now).rolledBack = true
		}
	}
	switch r.State {
	case rollout.RolledBack:
		to.rolledBack = true
	case rollout.Completed:
		to.released = true
		if former.ID != r.ID || former.State != r.State {
			p.replaceOthers()
		}
	}
	p.changed()
}

// replaceOthers records that a completed roll-out has replaced all other versions that are listed.
func (p *poolVersions) replaceOthers() {
	if p.timeOfDay > p.record.StartedAt+(p.record.Duration+replacedFor).Milliseconds() {
		return
	}
	for version, s := range p.known {
		s.replaced = s.replaced || version != p.record.To && s.listed > 0
	}
}

// setListed replaces the numbers of listed upstreams.
func (p *poolVersions) setListed(now time.Duration, versions map[string]listedVersion) {
	for version, s := range p.known {
		s.listedVersion = versions[version]
		if s.listed == 0 && !s.rolledBack && !s.replaced && version != p.record.To {
			delete(p.known, version)
		}
	}
	for version, l := range versions {
		s := p.status(version, now)
		s.listedVersion = l
	}
	if !p.listed && len(versions) > 0 && p.record.State == rollout.Completed {
		p.replaceOthers()
	}
	p.listed = p.listed || len(versions) > 0
	p.releaseBase()
	p.changed()
}

// releaseBase releases a version if none of those listed is released: the one of the most warm
// upstreams, since the upstreams of a version that is about to be rolled out have just started.
func (p *poolVersions) releaseBase() {
	var base string
	var best *versionStatus
	for version, s := range p.known {
		switch {
		case s.listed == 0 || s.rolledBack || s.replaced || p.active() && version == p.record.To:
			continue
		case s.released:
			return
		}
		if best == nil || cmp.Or(cmp.Compare(s.warm, best.warm), cmp.Compare(s.listed, best.listed), cmp.Compare(base, version)) > 0 {
			base, best = version, s
		}
	}
	if best != nil {
		best.released = true
	}
}

// oldListed reports whether an upstream is listed of a version that a roll-out under way replaces.
func (p *poolVersions) oldListed() bool {
	for version, s := range p.known {
		if version != p.record.To && s.listed > 0 && !s.rolledBack {
			return true
		}
	}
	return false
}

// update releases the versions that no order names by a confirmation of the configuration, and
// returns the policy that holds now. It is the same pointer as long as nothing changes.
func (p *poolVersions) update(now, confirmedAt time.Duration) *balance.VersionPolicy {
	if p.settled {
		return p.policy
	}
	p.settled = true
	var next balance.VersionPolicy
	if p.active() {
		next.New, next.Share, next.Key = p.record.To, p.record.Share, uint64(p.record.ID)
	}
	unreplaced := p.unreplacedListed()
	for version, s := range p.known {
		switch {
		case p.active() && version == p.record.To:
		case s.rolledBack, s.replaced && unreplaced:
			next.Barred = append(next.Barred, version)
		case s.replaced, s.released:
		case confirmedAt >= s.firstListed+orderLag:
			s.released = true
		case p.contact > 0 && now >= s.firstListed+p.contact:
			next.LastResort = append(next.LastResort, version)
			p.settled = false
		default:
			p.settled = false
			next.Barred = append(next.Barred, version)
		}
	}
	slices.Sort(next.Barred)
	slices.Sort(next.LastResort)
	switch {
	case next.New == "" && len(next.Barred)+len(next.LastResort) == 0:
		p.policy = nil
	case p.policy == nil || !samePolicy(p.policy, &next):
		p.policy = &next
	}
	return p.policy
}

// unreplacedListed reports whether a version is listed that no completed roll-out has replaced. If
// there is none, the operators have left the order behind, and what is listed serves.
func (p *poolVersions) unreplacedListed() bool {
	for _, s := range p.known {
		if s.listed > 0 && !s.replaced && !s.rolledBack {
			return true
		}
	}
	return false
}

// changed forgets the policy, so that the next one is a new pointer: what the balancer derives from
// it depends on the configuration, too.
func (p *poolVersions) changed() { p.policy, p.settled = nil, false }

// samePolicy reports whether two policies say the same.
func samePolicy(a, b *balance.VersionPolicy) bool {
	return a.New == b.New && a.Share == b.Share && a.Key == b.Key && slices.Equal(a.Barred, b.Barred) && slices.Equal(a.LastResort, b.LastResort)
}
