package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/rollout"
)

const (
	// maxReportBytes bounds one report. Control members have 6 Mbit/s for the reports of up to 410
	// routers a second, among all else.
	maxReportBytes = 300
	// reportHeaderBytes is the part of it for the fields besides the counts, with a pool's name.
	reportHeaderBytes = 60
	// newReports is by how many reports the counts of the new version go before those of the old ones:
	// a bad version is to be convicted at once.
	newReports = 2
	// slowBuckets is by how many buckets an answer is longer than the median of the old version if it
	// counts as bad: four times as long.
	slowBuckets = 4
	// minMedianAnswers is the number of answers from which a median is taken.
	minMedianAnswers = 10
	// repeatReports is the number of reports after which a count that hasn't grown goes before one
	// that has.
	repeatReports = 3
)

// countKey tells what a rollout.Count counts.
type countKey struct {
	route string
	zone  fleet.AvailabilityZone
	isNew bool
}

// answerSample is one answer, or an attempt that ended without one.
type answerSample struct {
	countKey
	failed bool
	// latency is the time to the first event of a stream or to a complete answer, pause the longest
	// time between two events; negative for unknown.
	latency, pause time.Duration
}

// routeCount is a Count and what of it was reported.
type routeCount struct {
	rollout.Count
	reported   uint32 // Answers when it was last reported
	reportedAt int    // number of that report; of the new version, as if it had been earlier
}

// rolloutCounts holds what a router has seen of one roll-out.
type rolloutCounts struct {
	counts  map[countKey]*routeCount
	reports int // made
}

func newRolloutCounts() rolloutCounts { return rolloutCounts{counts: make(map[countKey]*routeCount)} }

// add counts an answer and reports whether it is a bad one: a failure, or one that took several times
// as long as the old version takes on that route. Of a stream the pauses are compared: the time to its
// first event is long until the new upstreams have prompts cached.
func (c *rolloutCounts) add(s answerSample) (bad bool) {
	found := c.counts[s.countKey]
	if found == nil {
		found = &routeCount{Count: rollout.Count{Route: s.route, Zone: s.zone, New: s.isNew}}
		c.counts[s.countKey] = found
	}
	found.Answers++
	if s.failed {
		found.Failed++
		return true
	}
	if s.latency >= 0 {
		found.Latency = countBucket(found.Latency, rollout.Bucket(s.latency))
	}
	if s.pause >= 0 {
		found.Pause = countBucket(found.Pause, rollout.Bucket(s.pause))
		return c.isSlow(s.route, s.pause, func(r *rollout.Count) []uint32 { return r.Pause })
	}
	return c.isSlow(s.route, s.latency, func(r *rollout.Count) []uint32 { return r.Latency })
}

// isSlow reports whether a time is several times as long as the median of the old version on a route.
func (c *rolloutCounts) isSlow(route string, d time.Duration, of func(*rollout.Count) []uint32) bool {
	median, ok := c.oldMedian(route, of)
	return ok && rollout.Bucket(d) >= median+slowBuckets
}

// countBucket adds one to a bucket of a distribution.
func countBucket(buckets []uint32, i int) []uint32 {
	for len(buckets) <= i {
		buckets = append(buckets, 0)
	}
	buckets[i]++
	return buckets
}

// oldMedian returns the bucket of the median of a distribution of the old version on a route; ok is
// false if there are too few answers.
func (c *rolloutCounts) oldMedian(route string, of func(*rollout.Count) []uint32) (bucket int, ok bool) {
	var sum [rollout.LatencyBuckets]uint32
	total := uint32(0)
	for key, found := range c.counts {
		if key.route != route || key.isNew {
			continue
		}
		for i, n := range of(&found.Count) {
			sum[i] += n
			total += n
		}
	}
	if total < minMedianAnswers {
		return 0, false
	}
	below := uint32(0)
	for i, n := range sum {
		if below += n; 2*below >= total {
			return i, true
		}
	}
	return 0, false
}

// addTo adds as many counts to a report as it may hold, those reported longest ago first. A count that
// grows no more is repeated less often, since a report may be lost.
func (c *rolloutCounts) addTo(r *rollout.Report) {
	c.reports++
	all := make([]*routeCount, 0, len(c.counts))
	for _, found := range c.counts {
		all = append(all, found)
	}
	slices.SortFunc(all, func(a, b *routeCount) int {
		return cmp.Or(cmp.Compare(a.due(), b.due()), compareBool(b.New, a.New), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Zone, b.Zone))
	})
	left := maxReportBytes - reportHeaderBytes - len(r.Pool)
	for _, found := range all {
		encoded, _ := found.MarshalMsg(nil) // strings and numbers only, cannot fail
		if left -= len(encoded); left < 0 && len(r.Counts) > 0 {
			return
		}
		found.reported, found.reportedAt = found.Answers, c.reports
		if found.New {
			found.reportedAt -= newReports
		}
		count := found.Count
		count.Latency, count.Pause = slices.Clone(found.Latency), slices.Clone(found.Pause)
		r.Counts = append(r.Counts, count)
	}
}

// due returns the number of the report in which the count is due.
func (c *routeCount) due() int {
	if c.Answers == c.reported {
		return c.reportedAt + repeatReports
	}
	return c.reportedAt
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
