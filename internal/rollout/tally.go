package rollout

import (
	"math"
	"slices"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

const (
	// maxCells bounds the pairs of route and zone that a tally distinguishes; further ones are
	// counted together.
	maxCells = 128
	// firstReport is how old answers may be in the first report of a router that a leader gets.
	firstReport = 2 * time.Second
	// maxCounts bounds the counts of one report; further ones are left out.
	maxCounts = 2 * maxCells
	// maxBoots bounds the boots of one router that a tally remembers. A report of an older one
	// that arrives after as many restarts is counted again.
	maxBoots = 4
)

// Router is one boot of a router.
type Router struct {
	Instance fleet.InstanceID
	Boot     fleet.BootID
}

// cellKey names a part of a pool's requests. An empty field stands for all.
type cellKey struct {
	route string
	zone  fleet.AvailabilityZone
}

// histogram counts answers by the buckets of a Count.
type histogram [LatencyBuckets]float64

// counts are sums over routers of what is in a Count.
type counts struct {
	answers, failed float64
	latency, pause  histogram
}

// cell holds the counts of the old versions and of the new one, and those of the new one that were
// answered by warm replicas.
type cell struct{ old, new, warm counts }

// source is what a tally knows of one boot of a router.
type source struct {
	Router
	seq  uint64
	at   time.Duration // arrival of the newest report
	last Report
	// countedAt holds the arrival of the newest report of each count in last: a report need not
	// hold all counts.
	countedAt []time.Duration
}

// tally sums the reports of one roll-out. Reports may be lost, late or repeated.
type tally struct {
	id      fleet.ConfigVersion
	cells   map[cellKey]*cell
	order   []cellKey                      // of the cells
	sources map[fleet.InstanceID][]*source // the newest boot last
	total   cell
	changed bool // since it was last read
	// firstAt is when the new version's first answers on a route were reported.
	firstAt map[string]time.Duration
}

func newTally(id fleet.ConfigVersion) *tally {
	return &tally{id: id, firstAt: make(map[string]time.Duration), cells: make(map[cellKey]*cell), sources: make(map[fleet.InstanceID][]*source)}
}

// add counts what the report holds beyond earlier ones of the same boot. It keeps the report.
func (t *tally) add(now time.Duration, from Router, seq uint64, report Report) {
	if report.ID != t.id {
		return
	}
	s := t.source(from)
	if seq <= s.seq {
		return
	}
	report.Counts = report.Counts[:min(len(report.Counts), maxCounts)]
	before, beforeAt := s.last.Counts, s.countedAt
	// A report holds a few counts, the ones that weren't reported before first: answers in those came
	// after the report before.
	newSince := now - firstReport
	if s.seq > 0 {
		newSince = s.at
	}
	s.seq, s.at, s.last = seq, now, report
	s.countedAt = make([]time.Duration, len(report.Counts), max(len(report.Counts), len(before)))
	t.changed = true
	for i := range s.last.Counts {
		c := &s.last.Counts[i]
		if known := findCount(before, c, i); known >= 0 {
			t.grow(c, &before[known], t.isWarm(c, beforeAt[known]))
		} else {
			t.grow(c, &Count{}, t.isWarm(c, newSince))
		}
		s.countedAt[i] = now
		t.noteFirst(now, c)
	}
	for i := range before {
		if len(s.last.Counts) < maxCounts && findCount(s.last.Counts, &before[i], i) < 0 {
			s.last.Counts, s.countedAt = append(s.last.Counts, before[i]), append(s.countedAt, beforeAt[i])
		}
	}
}

// noteFirst records when the new version's first answers on a route were reported.
func (t *tally) noteFirst(now time.Duration, c *Count) {
	if _, begun := t.firstAt[c.Route]; c.New && c.Answers > 0 && !begun {
		t.firstAt[c.Route] = now
	}
}

// isWarm reports whether the answers that c counts since the given time come from warm replicas.
func (t *tally) isWarm(c *Count, since time.Duration) bool {
	first, begun := t.firstAt[c.Route]
	return len(c.Pause) == 0 || begun && since >= first+warmup // plain upstreams keep nothing
}

// source returns the record of a router's boot, a new one if it has none.
func (t *tally) source(from Router) *source {
	boots := t.sources[from.Instance]
	for _, s := range boots {
		if s.Boot == from.Boot {
			return s
		}
	}
	s := &source{Router: from}
	boots = append(boots, s)
	if len(boots) > maxBoots {
		boots = boots[1:]
	}
	t.sources[from.Instance] = boots
	return s
}

// findCount returns the index of the count of the same route, zone and version, which is i in most
// reports, or -1.
func findCount(list []Count, c *Count, i int) int {
	same := func(o Count) bool { return o.Route == c.Route && o.Zone == c.Zone && o.New == c.New }
	if i < len(list) && same(list[i]) {
		return i
	}
	return slices.IndexFunc(list, same)
}

// grow adds to the sums what c holds beyond before, and raises c to what before holds.
func (t *tally) grow(c, before *Count, warm bool) {
	cell := t.cell(cellKey{c.Route, c.Zone})
	var grown counts
	grown.answers, grown.failed = growth(&c.Answers, before.Answers), growth(&c.Failed, before.Failed)
	c.Latency = growBuckets(c.Latency, before.Latency, &grown.latency)
	c.Pause = growBuckets(c.Pause, before.Pause, &grown.pause)
	cell.of(c.New).plus(&grown)
	t.total.of(c.New).plus(&grown)
	if c.New && warm {
		cell.warm.plus(&grown)
	}
}

// growBuckets adds to sum what buckets hold beyond before, and returns the larger of the two in each
// bucket.
func growBuckets(buckets, before []uint32, sum *histogram) []uint32 {
	for len(buckets) < len(before) {
		buckets = append(buckets, 0)
	}
	for i := range buckets {
		var known uint32
		if i < len(before) {
			known = before[i]
		}
		sum[min(i, LatencyBuckets-1)] += growth(&buckets[i], known)
	}
	return buckets
}

// growth returns by how much counter exceeds before, and raises it to before if it doesn't.
func growth(counter *uint32, before uint32) float64 {
	*counter = max(*counter, before)
	return float64(*counter - before)
}

// cell returns the cell of the key, or the one that counts all further ones.
func (t *tally) cell(key cellKey) *cell {
	c := t.cells[key]
	if c == nil && len(t.cells) >= maxCells {
		key = cellKey{}
		c = t.cells[key]
	}
	if c == nil {
		c = &cell{}
		t.cells[key] = c
		t.order = append(t.order, key)
	}
	return c
}

func (c *cell) of(newVersion bool) *counts {
	if newVersion {
		return &c.new
	}
	return &c.old
}

// heard returns how many of the routers have reported since the time after, acting upon at least
// the given step, and how many of those run nothing at the old versions.
func (t *tally) heard(routers []Router, after time.Duration, step uint32) (reported, idle int) {
	for _, r := range routers {
		for _, s := range t.sources[r.Instance] {
			if s.Boot != r.Boot || s.at < after || s.last.Step < step {
				continue
			}
			reported++
			if s.last.RunningOld == 0 {
				idle++
			}
		}
	}
	return reported, idle
}

// forget drops the routers that aren't among the present ones and have reported nothing since the
// time before. What they have counted stays counted.
func (t *tally) forget(routers []Router, before time.Duration) {
	present := make(map[fleet.InstanceID]bool, len(routers))
	for _, r := range routers {
		present[r.Instance] = true
	}
	for id, boots := range t.sources {
		if !present[id] && boots[len(boots)-1].at < before {
			delete(t.sources, id)
		}
	}
}

// bucketLimit returns the longest latency that bucket i counts.
func bucketLimit(i int) time.Duration {
	return time.Duration(math.Exp2(float64(i)/2) * float64(4*time.Millisecond))
}

// Bucket returns the index of the bucket that counts a latency.
func Bucket(d time.Duration) int {
	if d <= 4*time.Millisecond {
		return 0
	}
	i := int(math.Ceil(2*math.Log2(float64(d)/float64(4*time.Millisecond)) - 1e-9))
	return min(i, LatencyBuckets-1)
}

// sum returns the number of answers in the histogram.
func (h *histogram) sum() (n float64) {
	for _, v := range h {
		n += v
	}
	return n
}

// above returns the number of answers in buckets after i.
func (h *histogram) above(i int) (n float64) {
	for _, v := range h[min(i+1, LatencyBuckets):] {
		n += v
	}
	return n
}

// quantile returns the first bucket that at most a part q of the answers exceed.
func (h *histogram) quantile(q float64) int {
	all, i := h.sum(), 0
	for i < LatencyBuckets-1 && h.above(i) > q*all {
		i++
	}
	return i
}

// mean returns the mean latency, taken at the buckets' limits.
func (h *histogram) mean() time.Duration {
	var sum, n float64
	for i, v := range h {
		sum += v * float64(bucketLimit(i))
		n += v
	}
	return time.Duration(sum / max(n, 1))
}

// Summary is what the routers have reported of the versions of a roll-out.
type Summary struct{ Old, New VersionSummary }

// VersionSummary is what the routers have reported of the old versions or of the new one.
type VersionSummary struct {
	Answers, Failed int
	// Mean is the mean latency, and WorstP90 the 90th percentile of the slowest route, in the
	// resolution of a Count.
	Mean, WorstP90 time.Duration
}

// Summary returns what the routers have reported so far.
func (j *Judge) Summary() Summary {
	var s Summary
	s.Old, s.New = summarize(j.tally, false), summarize(j.tally, true)
	return s
}

func summarize(t *tally, newVersion bool) VersionSummary {
	total := t.total.of(newVersion)
	s := VersionSummary{Answers: int(total.answers), Failed: int(total.failed), Mean: total.latency.mean()}
	routes := make(map[string]*counts)
	for _, key := range t.order {
		if routes[key.route] == nil {
			routes[key.route] = new(counts)
		}
		routes[key.route].plus(t.cells[key].of(newVersion))
	}
	for _, c := range routes {
		if c.latency.sum() > 0 {
			s.WorstP90 = max(s.WorstP90, bucketLimit(c.latency.quantile(0.1)))
		}
	}
	return s
}
