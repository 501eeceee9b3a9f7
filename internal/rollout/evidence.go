package rollout

import (
	"math"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// metric is what answers are compared by.
type metric uint8

const (
	byFailure metric = iota
	byLatency
	byPause
	metricCount
)

func (m metric) String() string { return [...]string{"failures", "latency", "pauses"}[m] }

const (
	// referenceHalfLife is how long the old versions' answers count in full and in half: they are
	// compared with answers of about the same time.
	referenceHalfLife = 8 * time.Second
	// minFailureReference and minLatencyReference are the answers of the old versions that a
	// comparison needs. A cell with fewer is compared with its route or, for failures, with all.
	minFailureReference = 100
	minLatencyReference = 40

	// failureMargin is by how much the new version may fail more often than the old ones, and
	// failureGap by how much a bad one does, at least. Bad versions fail in 5 % of their answers
	// or more.
	failureMargin = 0.003
	failureGap    = 0.04
	// failureGapRatio replaces failureGap where the old versions fail often themselves.
	failureGapRatio = 0.3
	// slowQuantile is the part of the old versions' answers that count as slow, before the
	// tolerance. slowMargin and slowGap are for slow answers as the two above are for failures.
	slowQuantile = 0.1
	slowMargin   = 0.03
	slowGap      = 0.15
	// warmup is how long streams aren't compared by time after the first answers of a route: until
	// engines keep the shared parts of prompts, they read them, and the streams that run there pause
	// meanwhile.
	warmup = 3 * time.Second

	// burstPart bounds what failures can add to a score at once, as a part of the score that convicts,
	// and burstTime is the time in which they may add as much again: the end of one replica breaks all
	// of its requests at once, and routers report that over two seconds.
	burstPart = 0.6
	burstTime = 3 * time.Second
)

// tolerance is by how many buckets an answer must be slower than the slowQuantile of the old
// versions' answers to count as slow; two buckets are a factor of two. A negative one turns the
// comparison off.
type tolerance struct{ plain, pause, firstEvent int }

var (
	// rampTolerance applies while the new version gets a small share.
	rampTolerance = tolerance{plain: 1, pause: 1, firstEvent: 2}
	// finishTolerance applies while replicas take over the whole load with empty caches.
	finishTolerance = tolerance{plain: 3, pause: 3, firstEvent: -1}
)

// testKey names one test: of a cell, a route, a zone or everything, by a metric.
type testKey struct {
	cellKey
	metric metric
}

// test is a cumulative sum of log-likelihood ratios (Page, 1954): of the new version being bad
// against its being no worse than the old ones.
type test struct {
	score float64 // since the last moment at which nothing spoke against the new version
	total float64 // since the start
	added float64 // lately, of a limit: decays to 0 in burstTime
	at    time.Duration
}

// add adds a log-likelihood ratio, at most limit at once.
func (t *test) add(now time.Duration, ratio, limit float64) {
	if !math.IsInf(limit, 1) {
		t.added = max(t.added-limit*float64(now-t.at)/float64(burstTime), 0)
		ratio = min(ratio, limit-t.added)
		t.added = max(t.added+ratio, 0)
	}
	t.at = now
	t.score = max(t.score+ratio, 0)
	t.total += ratio
}

// reference is what the old versions have answered lately.
type reference struct {
	seen   counts // when it was last updated
	recent counts // decayed
	at     time.Duration
}

// update decays the reference and adds what the old versions have answered since. It stays as it is
// while they answer nothing.
func (r *reference) update(now time.Duration, old *counts) {
	grown := old.minus(&r.seen)
	if grown.answers == 0 {
		return
	}
	r.recent.scale(math.Exp2(-float64(now-r.at) / float64(referenceHalfLife)))
	r.recent.plus(&grown)
	r.seen, r.at = *old, now
}

// evidence compares the new version with the old ones.
type evidence struct {
	tests      map[testKey]*test
	references map[cellKey]*reference // of cells, of routes and of all
	used       map[testKey]counts     // of the new version, by cell
}

func newEvidence() *evidence {
	return &evidence{tests: make(map[testKey]*test), references: make(map[cellKey]*reference), used: make(map[testKey]counts)}
}

// evaluate takes what the tally has counted since the last call into the tests. convict is the score
// that convicts the new version.
func (e *evidence) evaluate(now time.Duration, t *tally, tol tolerance, convict float64) {
	routes := make(map[string]*cell)
	for _, key := range t.order {
		c, route := t.cells[key], routes[key.route]
		if route == nil {
			route = &cell{}
			routes[key.route] = route
		}
		route.old.plus(&c.old)
		route.new.plus(&c.new)
		e.reference(key).update(now, &c.old)
	}
	for name, c := range routes {
		e.reference(cellKey{route: name, zone: allZones}).update(now, &c.old)
	}
	e.reference(cellKey{zone: allZones}).update(now, &t.total.old)
	for _, key := range t.order {
		for m := range metricCount {
			limit := math.Inf(1)
			if m == byFailure {
				limit = burstPart * convict
			}
			e.compare(now, key, t.cells[key], m, tol, limit)
		}
	}
}

// allZones is the zone of the tests and references of a whole route, or of everything.
const allZones = fleet.AvailabilityZone("\x00all")

// reference returns the reference of a key, a new one if there is none.
func (e *evidence) reference(key cellKey) *reference {
	r := e.references[key]
	if r == nil {
		r = &reference{}
		e.references[key] = r
	}
	return r
}

// compare adds the new version's answers in one cell to the tests of the cell, of its route, of its
// zone and of all.
func (e *evidence) compare(now time.Duration, key cellKey, c *cell, m metric, tol tolerance, limit float64) {
	used, all := e.used[testKey{key, m}], &c.warm
	if m == byFailure {
		all = &c.new
	}
	grown := all.minus(&used)
	ratio, ok := 0.0, true
	if m == byFailure {
		ratio = e.failureRatio(key, &grown)
	} else {
		ratio, ok = e.slowRatio(key, all, &grown, m, tol)
	}
	if !ok {
		return
	}
	e.used[testKey{key, m}] = *all
	if ratio == 0 {
		return
	}
	for _, k := range [...]cellKey{key, {key.route, allZones}, {"", key.zone}, {"", allZones}} {
		tested := e.tests[testKey{k, m}]
		if tested == nil {
			tested = new(test)
			e.tests[testKey{k, m}] = tested
		}
		tested.add(now, ratio, limit)
	}
}

// failureRatio returns the log-likelihood ratio of the failures among answers.
func (e *evidence) failureRatio(key cellKey, grown *counts) float64 {
	ref := &e.reference(key).recent
	if ref.answers < minFailureReference {
		ref = &e.reference(cellKey{key.route, allZones}).recent
	}
	if ref.answers < minFailureReference {
		ref = &e.reference(cellKey{zone: allZones}).recent
	}
	expected := min((ref.failed+0.3)/(ref.answers+1)+failureMargin, 0.9)
	bad := min(expected+max(failureGap, failureGapRatio*expected), 0.98)
	return logRatio(grown.answers, grown.failed, expected, bad)
}

// slowRatio returns the log-likelihood ratio of the slow answers. ok is false if they can't be compared
// yet and are to be kept for later.
func (e *evidence) slowRatio(key cellKey, c, grown *counts, m metric, tol tolerance) (ratio float64, ok bool) {
	buckets := tol.plain
	switch {
	case m == byPause:
		buckets = tol.pause
	case c.pause.sum() > 0: // streams
		buckets = tol.firstEvent
	}
	if buckets < 0 {
		return 0, true
	}
	ref := e.reference(key).recent.by(m)
	if route := e.reference(cellKey{key.route, allZones}); ref.sum() < minLatencyReference {
		if ref = route.recent.by(m); ref.sum() < minLatencyReference {
			ref = route.seen.by(m) // all since the order, on a route with few requests
		}
	}
	all := ref.sum()
	if all < minLatencyReference {
		return 0, false
	}
	slow := ref.quantile(slowQuantile) + buckets
	expected := ref.above(slow)/all + slowMargin
	return logRatio(grown.by(m).sum(), grown.by(m).above(slow), expected, expected+slowGap), true
}

// logRatio returns the log-likelihood ratio of hits among n, of the probability bad against expected.
func logRatio(n, hits, expected, bad float64) float64 {
	return hits*math.Log(bad/expected) + (n-hits)*math.Log((1-bad)/(1-expected))
}

// worst returns the test with the highest score.
func (e *evidence) worst() (worst testKey, score float64) {
	for key, t := range e.tests {
		if t.score > score {
			worst, score = key, t.score
		}
	}
	return worst, score
}

// overall returns the log-likelihood ratio of all answers since the start, by a metric.
func (e *evidence) overall(m metric) float64 {
	if t := e.tests[testKey{cellKey{zone: allZones}, m}]; t != nil {
		return t.total
	}
	return 0
}

// slowness returns the log-likelihood ratio of all answers by the metric of the two other than failures
// that speaks most against the new version. compared is false if no answer has been compared by them.
func (e *evidence) slowness() (slowest float64, compared bool) {
	for m := byLatency; m < metricCount; m++ {
		if t := e.tests[testKey{cellKey{zone: allZones}, m}]; t != nil && (!compared || t.total > slowest) {
			slowest, compared = t.total, true
		}
	}
	return slowest, compared
}

// by returns the histogram of a metric other than byFailure.
func (c *counts) by(m metric) *histogram {
	if m == byPause {
		return &c.pause
	}
	return &c.latency
}

func (c *counts) plus(o *counts) {
	c.answers += o.answers
	c.failed += o.failed
	for i := range c.latency {
		c.latency[i] += o.latency[i]
		c.pause[i] += o.pause[i]
	}
}

func (c *counts) minus(o *counts) counts {
	d := *c
	d.answers -= o.answers
	d.failed -= o.failed
	for i := range d.latency {
		d.latency[i] -= o.latency[i]
		d.pause[i] -= o.pause[i]
	}
	return d
}

func (c *counts) scale(f float64) {
	c.answers *= f
	c.failed *= f
	for i := range c.latency {
		c.latency[i] *= f
		c.pause[i] *= f
	}
}
