package gateway

import (
	"net/http"
	"runtime/metrics"
	"sync"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

const (
	// overloadDelay is the wait for a processor from which on a router rejects a part of the
	// requests. It is longer than the pause of a processor whose quota is spent.
	overloadDelay = 150 * time.Millisecond
	// overloadSpan is the further wait over which that part grows to maxShed. A router should
	// notice within half a second that a caller has left.
	overloadSpan = 300 * time.Millisecond
	// maxShed is the largest part. The rest shows when the overload ends.
	maxShed = 0.9
	// delayInterval is the time over which waits are measured, and delayQuantile the one that counts.
	delayInterval = 100 * time.Millisecond
	delayQuantile = 0.9
	// minDelaySamples is the number of waits below which an interval says nothing.
	minDelaySamples = 20
	// overloadBase and overloadSpread determine the retry delay of callers that are rejected.
	overloadBase   = time.Second
	overloadSpread = time.Second
)

// shedShare returns the part of the requests that a router rejects whose goroutines wait for a
// processor for the given time. A router that is short of processor time serves nobody in time
// once its queue is longer than its callers' patience: it goes on working for callers that have
// left, and forwards what nobody waits for. What it rejects at once can go to another router.
func shedShare(delay time.Duration) float64 {
	return min(max(float64(delay-overloadDelay)/float64(overloadSpan), 0), 1) * maxShed
}

// overload measures how long this process's goroutines wait for a processor. It is safe for
// concurrent use.
type overload struct {
	read func() *metrics.Float64Histogram // of all waits since the start, in seconds

	mu     sync.Mutex
	next   time.Duration // time of the next reading
	former []uint64      // counts of the latest reading
	delay  time.Duration // during the latest interval
}

// readWaits returns the distribution of the waits of all goroutines since the start.
func readWaits() *metrics.Float64Histogram {
	sample := []metrics.Sample{{Name: "/sched/latencies:seconds"}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return nil
	}
	return sample[0].Value.Float64Histogram()
}

// currentDelay returns the wait during the latest interval, and begins a new one if it is over.
func (o *overload) currentDelay(now time.Duration) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if now < o.next {
		return o.delay
	}
	o.next = now + delayInterval
	h := o.read()
	if h == nil {
		return 0
	}
	counts := make([]uint64, len(h.Counts))
	copy(counts, h.Counts)
	if len(o.former) == len(counts) {
		o.delay = quantileOfNew(h, o.former)
	}
	o.former = counts
	return o.delay
}

// latest returns the wait during the latest interval.
func (o *overload) latest() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.delay
}

// quantileOfNew returns the delayQuantile of the values that a histogram holds beyond its former
// counts, rounded down to a bucket's bound; 0 if there are few.
func quantileOfNew(h *metrics.Float64Histogram, former []uint64) time.Duration {
	total := uint64(0)
	for i, n := range h.Counts {
		total += n - former[i]
	}
	if total < minDelaySamples {
		return 0
	}
	below := uint64(0)
	for i, n := range h.Counts {
		below += n - former[i]
		if float64(below) >= delayQuantile*float64(total) {
			lower, _ := fleet.BoundedDuration(max(h.Buckets[i], 0), time.Second, time.Hour)
			return lower
		}
	}
	return 0
}

// rejectOverload returns the rejection of a request that this router has no processor time or memory
// for, or nil.
func (f *forwarder) rejectOverload() *rejection {
	if rejected := f.rejectSlowReaders(); rejected != nil {
		return rejected
	}
	s := f.server
	delay := s.overload.currentDelay(s.cfg.Clock())
	if delay <= overloadDelay || f.newDraw() >= shedShare(delay) {
		return nil
	}
	return &rejection{status: http.StatusServiceUnavailable, reason: "this router is short of processor time", base: overloadBase, spread: overloadSpread}
}
