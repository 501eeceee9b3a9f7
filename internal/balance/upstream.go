package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/routes"
)

// ListedUpstream is an upstream as the platform lists it.
type ListedUpstream struct {
	fleet.Upstream
	// ColdFor is how much longer the upstream stays cold, counted from the list's time.
	ColdFor time.Duration
}

// Load is the load that an upstream reports of itself.
type Load struct {
	// Running and Waiting count its requests; RunningUnknown and WaitingUnknown mark a count that
	// is missing, which is 0.
	Running, Waiting               int
	RunningUnknown, WaitingUnknown bool
	// Slots is the number of requests that it runs at once; 0 if unknown.
	Slots int
	// Time is how long work takes there now, in percent of the usual time; 0 if unknown.
	Time int
}

const (
	// reportAge is how long a reported load counts.
	reportAge = 3 * time.Second
	// unreportedShare is the part of this router's growth that counts for each other router.
	unreportedShare = 0.5
	// stallTimeout is how long an upstream with requests in flight may send no byte on
	// any connection before it gets no further work. It is longer than the time to read
	// the longest prompt.
	stallTimeout = 1200 * time.Millisecond
	// replacedFor is how long an upstream gets no work after another one has answered at
	// its address. The list is up to a second late and contains stopped upstreams for some
	// seconds more.
	replacedFor = 5 * time.Second
	// maxListLag is by how much the platform's list may lag behind the moment at which it is
	// read.
	maxListLag = time.Second
	// coldBurst is how many requests a cold upstream may get at once.
	coldBurst = 2
)

// upstreamState is this router's view of one upstream.
type upstreamState struct {
	ListedUpstream
	hash        uint64
	listed      bool          // in the newest list
	firstListed time.Duration // time of the first list with this boot and address
	coldUntil   time.Duration
	coldBucket  bucket

	running int // this router's requests that have not ended
	prefill int // prompt tokens of this router's requests that await their first event
	// others is the other routers' activity as of reportedAt. Its Running comes from their
	// reports or from the load that the upstream itself reported, whichever is newer.
	others     Activity
	reported   bool
	reportedAt time.Duration
	// runningThen is running as of reportedAt.
	runningThen int

	slots int  // as reported by the upstream; 0 for none
	pace  pace // as reported by the upstream

	learned upstreamEstimates
	held    heldParts // see Balancer.heldBy
	memory  memoryUse // of engines whose memory is known

	replacedUntil time.Duration // see Pick.MarkReplaced
	outAt         time.Duration // when operators were last seen to have the upstream out of service; 0 for never
	notices       *notices      // of this incarnation; nil for none
	announced     [conditionCount]announced
	malformedAt   time.Duration // time of the latest call of OnMalformed; 0 for none

	answeredAt time.Duration // time of the newest byte that served a request; 0 for never
	endedAt    time.Duration // when a connection last showed that the upstream has ended; 0 for never
	idleBreaks []idleBreak   // newest last

	lastByte time.Duration // time of the newest byte that served a request, or of the first request after idleness
	health   health
	// zoneHealth is that of the upstream's zone; nil if the zone isn't judged.
	zoneHealth *zoneHealth
	outcomes   outcomes

	rate      float64 // see failureRate; valid until rateUntil
	rateUntil time.Duration
}

func newState(l ListedUpstream) *upstreamState {
	return &upstreamState{ListedUpstream: l, hash: xxhash.Sum64String(string(l.ID))}
}

// recordReport records that others has been set to what is known now.
func (s *upstreamState) recordReport(now time.Duration) {
	s.reported, s.reportedAt, s.runningThen = true, now, s.running
}

// recordLoad records the load that the upstream reports, as far as its figures are known. A
// report without the running requests says nothing of the load.
func (s *upstreamState) recordLoad(now time.Duration, l *Load) {
	if !l.RunningUnknown {
		s.others.Running = max(l.Running+l.Waiting-s.running, 0)
		s.recordReport(now)
	}
	if l.Slots > 0 {
		s.slots = l.Slots
	}
	if l.Time > 0 {
		s.learned.time.add(float64(l.Time))
		s.pace = pace{percent: l.Time, at: now}
	}
}

// load estimates the requests of all routers that run or wait at the upstream.
func (s *upstreamState) load(now time.Duration) int {
	return s.running + s.recentOthers(now).Running
}

// unreported estimates the requests of other routers that have come since reportedAt. Callers
// turn to all routers alike, so the others' grow with this router's own. Half of that is
// counted: what one router sees in the time between reports may be chance.
func (s *upstreamState) unreported(now time.Duration, routers int) float64 {
	if !s.reported || now-s.reportedAt >= reportAge {
		return 0
	}
	others := max(min(routers, fewRouters)-1, 0)
	return unreportedShare * float64(max(s.running-s.runningThen, 0)*others)
}

// stalled reports whether the upstream has requests in flight and has sent no byte that serves one
// for stallTimeout.
func (s *upstreamState) stalled(now time.Duration) bool {
	return s.running > 0 && now-s.lastByte > stallTimeout
}

// isCold reports whether the upstream of a pool counts as cold: while the list says so, and
// after its return to service until a list can show whether it is.
func (s *upstreamState) isCold(now time.Duration, pool *routes.Pool, session SessionState) bool {
	return now < s.coldUntil || s.outAt > 0 && pool.ColdRate > 0 && session.ListAsOf < s.outAt+maxListLag
}

// bucket is a token bucket. The zero value holds one token at time 0 of the clock and
// fills from then on.
type bucket struct {
	takenUntil time.Duration // the time up to which tokens have been taken
}

// takeToken takes one token and reports whether there was one. The bucket gains rate
// tokens per second and holds at most burst.
func (b *bucket) takeToken(now time.Duration, rate float64, burst int) bool {
	if !(rate > 0) { // NaN too
		return false
	}
	interval, _ := fleet.BoundedDuration(1/rate, time.Second, fleet.MaxDuration)
	start := max(b.takenUntil, now-time.Duration(burst-1)*interval)
	if start > now {
		return false
	}
	b.takenUntil = start + interval
	return true
}
