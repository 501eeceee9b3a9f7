package gateway

import (
	"math"
	"math/rand/v2"
	"net/http"
	"runtime/metrics"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/routes"
)

// overloadOutcome counts what becomes of callers at a router whose processor serves a part of them.
type overloadOutcome struct {
	served  int           // within half a second
	wasted  int           // that had left before their turn
	shed    int           // rejected at once
	longest time.Duration // wait of a request that was accepted
}

// playOverload plays ten seconds of callers who come three times as fast as the router's processor
// works, in the order of their arrival, and who leave after two seconds. The router rejects the
// share that shed returns for the wait of those whose turn came in the latest interval.
func playOverload(shed func(time.Duration) float64) (o overloadOutcome) {
	const work, patience, span = 4 * time.Millisecond, 2 * time.Second, 10 * time.Second
	rng := rand.New(rand.NewPCG(1, 2))
	free, measured, delay, waited := time.Duration(0), time.Duration(0), time.Duration(0), time.Duration(0)
	for arrival := time.Duration(0); arrival < span; arrival += time.Duration(rng.ExpFloat64() / 3 * float64(work)) {
		if arrival-measured >= delayInterval {
			measured, delay, waited = arrival, waited, max(free-arrival, 0)
		}
		if rng.Float64() < shed(delay) {
			o.shed++
			continue
		}
		free = max(free, arrival) + work
		wait := free - arrival
		waited = max(waited, wait)
		o.longest = max(o.longest, wait)
		switch {
		case wait > patience:
			o.wasted++
		case wait <= 500*time.Millisecond:
			o.served++
		}
	}
	return o
}

// A router short of processor time worked on for callers that had left, and served nobody in time.
func TestOverloadedRouterWorksForCallersThatHaveLeft(t *testing.T) {
	is := is.New(t)
	const capacity = int(10 * time.Second / (4 * time.Millisecond))
	before := playOverload(func(time.Duration) float64 { return 0 })
	after := playOverload(shedShare)
	t.Logf("without shedding %+v, with it %+v", before, after)
	is.True(before.wasted > capacity/2)
	is.Equal(after.wasted, 0)
	is.True(after.served > 3*before.served)
	is.True(after.served > capacity/2)
}

func TestShedShare(t *testing.T) {
	is := is.New(t)
	for delay, want := range map[time.Duration]float64{
		0: 0, overloadDelay: 0, overloadDelay + overloadSpan/2: maxShed / 2, overloadDelay + overloadSpan: maxShed, time.Hour: maxShed,
	} {
		is.Equal(shedShare(delay), want)
	}
}

// The wait is that of the latest interval, not since the start, and a few goroutines tell nothing.
func TestDelayIsThatOfTheLatestInterval(t *testing.T) {
	is := is.New(t)
	h := &metrics.Float64Histogram{Buckets: []float64{math.Inf(-1), 0, 0.1, 0.4, math.Inf(1)}, Counts: make([]uint64, 4)}
	o := overload{read: func() *metrics.Float64Histogram { return h }}
	now := time.Duration(0)
	delayAfter := func(counts ...uint64) time.Duration {
		for i, n := range counts {
			h.Counts[i] += n
		}
		now += delayInterval
		return o.currentDelay(now)
	}
	is.Equal(delayAfter(0, 0, 0, 1000), time.Duration(0)) // the first reading has none to compare with
	is.Equal(delayAfter(0, 100, 0, 0), time.Duration(0))
	is.Equal(delayAfter(0, 10, 90, 0), 100*time.Millisecond)
	is.Equal(delayAfter(0, 1, 0, 99), 400*time.Millisecond)
	is.Equal(o.currentDelay(now+delayInterval/2), 400*time.Millisecond) // no reading yet
	is.Equal(delayAfter(0, 0, 0, minDelaySamples-1), time.Duration(0))
	is.Equal(delayAfter(0, 1000, 0, 0), time.Duration(0))
}

// The runtime offers the distribution under the name that is read.
func TestWaitsAreMeasured(t *testing.T) {
	is.New(t).True(readWaits() != nil)
}

func TestShedRequestHasNotRun(t *testing.T) {
	is := is.New(t)
	r := newTestGateway(t, routes.Route{Kind: routes.KindOnce, MaxAttempts: 1}, serveDone)
	o := &r.server.overload
	o.mu.Lock()
	o.delay, o.next = time.Hour, math.MaxInt64
	o.mu.Unlock()
	shed := 0
	for range 50 {
		resp, _, err := r.send()
		is.NoErr(err)
		if resp.StatusCode == http.StatusServiceUnavailable {
			shed++
			is.True(resp.Header.Get("Retry-After") != "")
		}
	}
	is.True(shed > 25 && shed < 50)
	is.Equal(len(r.arrivals()), 50-shed)
}
