package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/routes"
)

// callerKind describes callers that send requests of one kind.
type callerKind struct {
	name          string
	perSecond     float64
	aim, deadline time.Duration
}

// restartCallers are the kinds of a site whose callers return once.
var restartCallers = []callerKind{
	{"long stream", 16, 800 * time.Millisecond, 12 * time.Second},
	{"short stream", 23, 300 * time.Millisecond, 10 * time.Second},
	{"short answer", 32, 400 * time.Millisecond, 2500 * time.Millisecond},
	{"booking", 18, 100 * time.Millisecond, 600 * time.Millisecond},
}

// restartOutcome counts what callers of one kind get.
type restartOutcome struct {
	asked, inAim, late, rejected int
	longestHeld                  time.Duration
}

// startupPolicy is the decision that playRestart plays: startupWait, or that of a router which
// rejects at once.
type startupPolicy interface {
	limit(now, timeout time.Duration, held int64) time.Duration
	retryDelay(now time.Duration) (base, spread time.Duration)
}

// rejectAtOnce rejects each request that arrives before the router can serve it.
type rejectAtOnce struct{}

func (rejectAtOnce) limit(time.Duration, time.Duration, int64) time.Duration { return 0 }
func (rejectAtOnce) retryDelay(time.Duration) (base, spread time.Duration) {
	return controlBase, controlSpread
}

// playRestart plays the callers of the first five seconds after a router's start, which can serve
// from the time ready on and takes 20 ms for each request. A caller returns once, after the
// time that it is told, but at most a third of the time that it has left.
func playRestart(p startupPolicy, ready time.Duration) map[string]*restartOutcome {
	const service, span = 20 * time.Millisecond, 5 * time.Second
	result := map[string]*restartOutcome{}
	for i, kind := range restartCallers {
		arrivals, delays := rand.New(rand.NewPCG(1, uint64(i))), rand.New(rand.NewPCG(2, uint64(i)))
		o := &restartOutcome{}
		result[kind.name] = o
		for arrival := time.Duration(0); arrival < span; arrival += time.Duration(arrivals.ExpFloat64() / kind.perSecond * float64(time.Second)) {
			o.asked++
			o.record(kind, arrival, ready, service, p, delays)
		}
	}
	return result
}

// record plays one caller.
func (o *restartOutcome) record(kind callerKind, arrival, ready, service time.Duration, p startupPolicy, rng *rand.Rand) {
	end := arrival + kind.deadline
	now := arrival
	for range 2 {
		held := max(0, min(ready-now, p.limit(now, end-now, 0)))
		o.longestHeld = max(o.longestHeld, held)
		now += held
		if now >= ready {
			if now+service-arrival <= kind.aim {
				o.inAim++
			} else {
				o.late++
			}
			return
		}
		base, spread := p.retryDelay(now)
		now += min(base+time.Duration(rng.Float64()*float64(spread)), (end-now)/3)
	}
	o.rejected++
}

// Callers that return once were rejected twice while the group elected a leader after a joint restart.
func TestJointRestartRejectsCallersForGood(t *testing.T) {
	for _, ready := range []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, 1200 * time.Millisecond} {
		t.Run(ready.String(), func(t *testing.T) {
			is := is.New(t)
			before := playRestart(rejectAtOnce{}, ready)
			after := playRestart(startupWait{}, ready)
			for _, kind := range restartCallers {
				b, a := before[kind.name], after[kind.name]
				t.Logf("%s: %d in aim, %d late, %d rejected; rejected at once: %d, %d, %d", kind.name, a.inAim, a.late, a.rejected, b.inAim, b.late, b.rejected)
				is.True(a.inAim >= b.inAim)
				is.True(a.rejected <= b.rejected)
				if kind.deadline > 2*startupWindow {
					is.Equal(a.rejected, 0)
				}
			}
			long := after["long stream"]
			if ready < 800*time.Millisecond {
				is.Equal(long.inAim, long.asked)
			}
		})
	}
}

// While the control group stays away, nobody waits after the window, and nobody waits for more
// than its share.
func TestStartupWaitIsBounded(t *testing.T) {
	is := is.New(t)
	for name, o := range playRestart(startupWait{}, time.Hour) {
		is.Equal(o.rejected, o.asked)
		for _, kind := range restartCallers {
			if kind.name == name {
				is.True(o.longestHeld <= min(maxStartupWait, kind.deadline/startupShare))
			}
		}
	}
	w := startupWait{start: time.Minute}
	is.Equal(w.limit(time.Minute, 0, 0), maxStartupWait)
	is.Equal(w.limit(time.Minute, 400*time.Millisecond, 0), 100*time.Millisecond)
	is.Equal(w.limit(time.Minute+startupWindow-time.Millisecond, 0, 0), time.Millisecond)
	is.Equal(w.limit(time.Minute+startupWindow, 0, 0), time.Duration(0))
	is.Equal(w.limit(time.Minute, 0, maxHeld), time.Duration(0))
	base, _ := w.retryDelay(time.Minute)
	is.Equal(base, retryBase)
	base, _ = w.retryDelay(time.Minute + startupWindow)
	is.Equal(base, controlBase)
}

// newStartingGateway returns a gateway without a table whose start ends when the function
// that it returns is called.
func newStartingGateway(t *testing.T) (r *testGateway, start func()) {
	r = newTestGateway(t, routes.Route{Kind: routes.KindOnce, MaxAttempts: 1}, serveDone)
	r.started = make(chan struct{})
	r.startServer()
	table := r.index.Swap(nil)
	return r, func() {
		r.index.Store(table)
		close(r.started)
	}
}

// awaitHeld waits until a request is held back.
func (r *testGateway) awaitHeld() {
	for r.server.startup.held.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
}

func TestRequestWaitsForTheStart(t *testing.T) {
	is := is.New(t)
	r, start := newStartingGateway(t)
	go func() {
		r.awaitHeld()
		start()
	}()
	resp, body, err := r.send()
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(body, "done")
	is.Equal(r.arrivals(), []string{"u0 a"})
}

// A request that isn't served after its share of the wait has not run and is rejected so.
func TestRequestIsRejectedAfterItsWait(t *testing.T) {
	is := is.New(t)
	r, _ := newStartingGateway(t)
	resp, _, err := r.send("Patience", "200")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(resp.Header.Get("Retry-After") != "")
	is.Equal(len(r.arrivals()), 0)
	is.Equal(r.server.startup.held.Load(), int64(0))
}

// The whole body reaches the upstream although it was read before the wait; a long one isn't held.
func TestBodyOfAHeldRequestIsWhole(t *testing.T) {
	for _, size := range []int{0, 1, maxHeldBody, maxHeldBody + 1, 3 * maxHeldBody} {
		is := is.New(t)
		var got int64
		r := newTestGateway(t, routes.Route{Kind: routes.KindOnce, MaxAttempts: 1}, func(c *conn) {
			got = c.request.ContentLength
			serveDone(c)
		})
		r.started = make(chan struct{})
		r.startServer()
		if size <= maxHeldBody {
			go func() {
				r.awaitHeld()
				close(r.started)
			}()
		}
		resp, _, err := r.sendWith(t.Context(), "POST", "/x", strings.Repeat("b", size))
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		is.Equal(got, int64(size))
	}
}

func TestCallerThatLeavesEndsItsWait(t *testing.T) {
	is := is.New(t)
	r, start := newStartingGateway(t)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		r.awaitHeld()
		cancel()
	}()
	_, _, err := r.sendWith(ctx, "POST", "/x", "order")
	is.True(err != nil)
	for r.server.startup.held.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
	start()
	is.Equal(len(r.arrivals()), 0)
}

// A body that breaks off is no request.
func TestBrokenBodyOfAHeldRequestIsRejected(t *testing.T) {
	is := is.New(t)
	r, _ := newStartingGateway(t)
	req, err := http.NewRequestWithContext(t.Context(), "POST", r.url+"/x", io.MultiReader(strings.NewReader("half"), brokenReader{}))
	is.NoErr(err)
	req.Host = testHost
	req.Header.Set("Id", "a")
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err == nil {
		is.NoErr(resp.Body.Close())
		is.Equal(resp.StatusCode, http.StatusBadRequest)
	}
	is.Equal(len(r.arrivals()), 0)
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
