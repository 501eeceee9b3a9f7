package gateway

import (
	"time"

	"github.com/wigeonflow/wigeonflow/internal/balance"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/placement"
	"github.com/wigeonflow/wigeonflow/internal/rollout"
)

const (
	// grantParts divides the time within which no router sends a bad version anything, for the
	// age of the confirmation up to which a grant holds. The rest of that time is for the report,
	// the decision and its way to the routers.
	grantParts = 3
	// slackParts divides the slack for what routers spend of it. The rest is for what a router that
	// has restarted spends again, and for rounding the shares of up to 25 routers.
	slackParts = 2
	// thinSlackParts is slackParts where a router's part is under one request. Its fraction is rounded
	// at random then, and so are the shares of many routers: with 410 the sum deviates by 8 (standard
	// deviation), and the slack of 50 leaves more than four times that.
	thinSlackParts = 4
	// slackGain is the part of requests that spend the slack. On a service with few requests the
	// share alone gives too few answers to judge by.
	slackGain = 0.05
	// catchUp multiplies the share of requests that go to the new version while it has got fewer than
	// were granted. More at once would be a load on its few upstreams that they won't have later.
	catchUp = 1.5
	// maxCredit bounds the requests that go to the new version one after the other.
	maxCredit = 3.0
	// goneFor is how long a router remembers that an upstream was gone. Meanwhile the upstream gets no
	// requests, so that it can't show again.
	goneFor = 5 * time.Second
	// minBadAnswers is the number of bad answers of the new version, a majority of its answers, from
	// which on a router stops by itself.
	minBadAnswers = 10
)

// Orders in which the sides of a roll-out are tried for a request.
var (
	anySide    = []balance.Side{balance.AnySide}
	onlyOld    = []balance.Side{balance.OldSide}
	onlyNew    = []balance.Side{balance.NewSide}
	newThenOld = []balance.Side{balance.NewSide, balance.OldSide}
	oldThenNew = []balance.Side{balance.OldSide, balance.NewSide}
)

// rolloutKnowledge is what a router knows at one moment and a decision depends on.
type rolloutKnowledge struct {
	now         time.Duration
	confirmedAt time.Duration // see Keeper.ConfirmedAt
	timeOfDay   int64         // milliseconds since 1970
	routers     int           // 0 while unknown
}

// sideRequest is what the choice of a version for a request depends on.
type sideRequest struct {
	// first is set if no version was chosen for the request before.
	first bool
	// key is the same for the requests of a session; 0 for a request without one.
	key uint64
	// bound is set for a stream whose caller has events of a version; boundNew if of the new one.
	bound, boundNew bool
	// refused is set once an upstream has refused the request's connection, or another one has
	// answered at its address.
	refused bool
}

// rolloutLedger decides which requests to one pool go to a new version, so that the new version gets
// no more of this router's requests than the roll-out grants. It is not safe for concurrent use.
type rolloutLedger struct {
	poolVersions
	limits rollout.Limits
	// seed differs between routers and their boots.
	seed uint64

	requests int64 // since the order was known
	exposed  int64 // of these, those that went to the new version
	// phase rounds the share of few requests: over many routers the fractions add up to the share.
	phase  float64
	credit float64 // requests that may go to the new version now
	// answers and bad count the answers of the new version in the present step.
	answers, bad int
	stopped      bool // the router has stopped by itself in the present step
	// goneUntil is the time until which a router remembers that an upstream of an old version was
	// gone.
	goneUntil time.Duration

	running map[string]int // requests in flight by version
	counts  rolloutCounts
}

func newRolloutLedger(limits rollout.Limits, contact time.Duration, seed uint64) *rolloutLedger {
	return &rolloutLedger{
		poolVersions: poolVersions{contact: contact, known: make(map[string]*versionStatus)},
		limits:       limits, seed: seed, running: make(map[string]int),
	}
}

// setRecord takes in a state of the pool's roll-out and reports whether it is a newer one.
func (l *rolloutLedger) setRecord(now time.Duration, r rollout.Rollout) bool {
	if r.ID < l.record.ID || r.ID == l.record.ID && r.Step <= l.record.Step {
		return false
	}
	if r.ID != l.record.ID {
		l.requests, l.exposed, l.counts = 0, 0, newRolloutCounts()
		l.phase = fleet.Fraction(placement.Mix(l.seed, uint64(r.ID)))
		l.credit = l.phase
	}
	l.answers, l.bad, l.stopped = 0, 0, false
	l.poolVersions.setRecord(now, r)
	return true
}

// grant returns the share of requests that may go to the new version now, from 0 to 1. It isn't limited
// to the exposure: the leader keeps to that until it has decided, and raises the share above it then.
func (l *rolloutLedger) grant(k rolloutKnowledge) float64 {
	if !l.active() || l.stopped || l.isStale(k) {
		return 0
	}
	return min(float64(l.record.Share)/rollout.FullShare, 1)
}

// isStale reports whether the newest confirmation is too old for a grant to hold.
func (l *rolloutLedger) isStale(k rolloutKnowledge) bool {
	return k.now-k.confirmedAt > l.limits.Rollback/grantParts
}

// sideChoice holds the sides that are to be tried for a request, in this order.
type sideChoice struct {
	order []balance.Side
	first bool    // see sideRequest
	gain  float64 // of credit, once the request is sent
}

// sides returns the sides that are to be tried for a request. If the new one is the first, a request to
// the new version is reserved; commit or cancel must follow.
func (l *rolloutLedger) sides(k rolloutKnowledge, r sideRequest) sideChoice {
	if !l.active() {
		return sideChoice{order: anySide}
	}
	grant := l.grant(k)
	c := sideChoice{first: r.first, gain: l.gain(k, grant)}
	c.order = l.order(k, r, grant, c.gain)
	if c.startsNew() {
		l.exposed++
		l.credit--
	}
	return c
}

// startsNew reports whether the new side is the first to be tried.
func (c *sideChoice) startsNew() bool { return c.order[0] == balance.NewSide }

// order returns the sides in order.
func (l *rolloutLedger) order(k rolloutKnowledge, r sideRequest, grant, gain float64) []balance.Side {
	switch {
	case !l.oldListed():
		return onlyNew
	case l.isFull(grant), r.boundNew && l.mayExpose(k, grant):
		return newThenOld
	case r.bound:
		return onlyOld
	case r.first && l.hasCredit(k, r, grant, gain):
		return newThenOld
	case r.refused && l.isDecided(k):
		return newThenOld
	case l.record.State == rollout.Finishing, l.isDecided(k) && k.now < l.goneUntil:
		return oldThenNew
	default:
		return onlyOld
	}
}

// isFull reports whether all requests go to the new version.
func (l *rolloutLedger) isFull(grant float64) bool {
	return l.record.State == rollout.Finishing && grant >= 1
}

// isDecided reports whether the roll-out may have ended, which a router that is cut off has not learned.
// A request goes to the new version without a grant then if the old upstreams are gone: operators stop
// them once the roll-out is completed.
func (l *rolloutLedger) isDecided(k rolloutKnowledge) bool {
	return l.record.State == rollout.Finishing || k.timeOfDay > l.record.StartedAt+l.record.Duration.Milliseconds()
}

// mayExpose reports whether the new version may get one more request.
func (l *rolloutLedger) mayExpose(k rolloutKnowledge, grant float64) bool {
	if grant <= 0 {
		return false
	}
	if l.record.State == rollout.Finishing {
		return true
	}
	return float64(l.exposed+1) <= grant*float64(l.requests+1)+l.phase+l.slack(k)
}

// slack returns this router's part of the slack in requests.
func (l *rolloutLedger) slack(k rolloutKnowledge) float64 {
	if k.routers <= 0 {
		return 0
	}
	if n := l.limits.ExposureSlack / slackParts / k.routers; n > 0 {
		return float64(n)
	}
	return float64(l.limits.ExposureSlack) / thinSlackParts / float64(k.routers)
}

// gain returns the credit that a request adds for the new version.
func (l *rolloutLedger) gain(k rolloutKnowledge, grant float64) float64 {
	if !l.mayExpose(k, grant) {
		return grant
	}
	if float64(l.exposed) < l.slack(k) {
		return grant*catchUp + slackGain
	}
	return grant * catchUp
}

// hasCredit reports whether a request's first attempt goes to the new version. Once there were enough
// requests, those of the same sessions do so as long as they come often enough for the share.
func (l *rolloutLedger) hasCredit(k rolloutKnowledge, r sideRequest, grant, gain float64) bool {
	available := l.credit + gain
	if slack := l.slack(k); l.exposed == 0 && slack < 1 {
		available += slack
	}
	needed := 1.0
	if r.key != 0 && grant*float64(l.requests) > maxCredit && fleet.Fraction(placement.Mix(r.key, uint64(l.record.ID))) >= 2*grant {
		needed = 2
	}
	return available >= needed && l.mayExpose(k, grant)
}

// commit records that an upstream of the given side was chosen for a request.
func (l *rolloutLedger) commit(c sideChoice, picked balance.Side) {
	if picked == balance.AnySide {
		return
	}
	if c.first {
		l.requests++
		l.credit += c.gain
	}
	switch isNew := picked == balance.NewSide; {
	case c.startsNew() && !isNew:
		l.cancel(c)
	case !c.startsNew() && isNew:
		l.exposed++
	}
	l.credit = min(max(l.credit, 0), maxCredit)
}

// cancel returns the reservation of a request that did not go to the new version.
func (l *rolloutLedger) cancel(c sideChoice) {
	if c.startsNew() {
		l.exposed--
		l.credit++
	}
}

// recordAnswer counts an answer for the decision to stop without the leader.
func (l *rolloutLedger) recordAnswer(isNew, bad bool) {
	if !isNew {
		return
	}
	l.answers++
	if bad {
		l.bad++
	}
	l.stopped = l.stopped || l.bad >= minBadAnswers && 2*l.bad > l.answers
}

// countRunning adds n to the requests in flight at a version.
func (l *rolloutLedger) countRunning(version string, n int) {
	if l.running[version] += n; l.running[version] <= 0 {
		delete(l.running, version)
	}
}

// report returns a report of the roll-out under way; ok is false if there is none.
func (l *rolloutLedger) report() (r rollout.Report, ok bool) {
	if !l.active() {
		return r, false
	}
	r = rollout.Report{ID: l.record.ID, Pool: l.record.Pool, Step: l.record.Step}
	for version, n := range l.running {
		if version == l.record.To {
			r.RunningNew += uint32(n)
		} else {
			r.RunningOld += uint32(n)
		}
	}
	l.counts.addTo(&r)
	return r, true
}

// moveTime is the time before a roll-out's deadline at which streams that still run at an old version
// are moved. Until then they end by themselves, and no prompt has to be read again. The leader ends
// the roll-out up to 1 s before the deadline, and a move takes about as long.
const moveTime = 2500 * time.Millisecond

// movesFrom reports whether streams that run at a version are to be moved to the new one: the version
// is stopped at the end of the roll-out, or is already.
func (l *rolloutLedger) movesFrom(k rolloutKnowledge, version string) bool {
	r := l.record
	switch {
	case version == r.To:
		return false
	case r.State == rollout.Completed:
		return l.known[version] != nil && l.known[version].replaced
	case !l.isFull(l.grant(k)):
		return false
	}
	left := time.Duration(r.StartedAt+r.Duration.Milliseconds()-k.timeOfDay) * time.Millisecond
	return left <= moveTime
}
