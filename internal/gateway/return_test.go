package gateway

import (
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/balance"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/routes"
)

var resumableRoute = routes.Route{Kind: routes.KindStream, MaxAttempts: 2, Resumable: true, Timeout: 8 * time.Second}

// resume sends the events that the request lacks, up to the given one, and ends the stream.
func resume(c *conn, last int) {
	after := eventNumber(c.request.Header.Get("After"))
	c.beginStream()
	c.writeEvents(int(max(after, 0))+1, last)
	c.endStream()
}

// sendThenBreakOff sends one event and breaks off.
func sendThenBreakOff(c *conn) {
	after := eventNumber(c.request.Header.Get("After"))
	c.beginStream()
	c.writeEvents(int(after)+1, int(after)+1)
	time.Sleep(50 * time.Millisecond)
}

// pauseThenResume sends two events to the first request, and the others after a pause; further
// requests are resumed at once.
func pauseThenResume(r **testGateway, pause time.Duration) func(*conn) {
	return func(c *conn) {
		if len((*r).arrivals()) > 1 {
			resume(c, 6)
			return
		}
		c.beginStream()
		c.writeEvents(1, 2)
		time.Sleep(pause)
		c.writeEvents(3, 6)
		c.endStream()
	}
}

// A stream was moved to an upstream that broke off, and the budget allowed no return.
func TestMovedStreamIsCutForLackOfRetryBudget(t *testing.T) {
	cases := []struct {
		name     string
		slack    float64
		arrivals []string
	}{
		{"no retry left for a return", 1.5, []string{"u0 a"}},
		{"a return left", 2.5, []string{"u0 a", "u1 a", "u0 a"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var r *testGateway
			r = newTestGateway(t, resumableRoute, pauseThenResume(&r, pauseLength), sendThenBreakOff)
			r.setRetries(balance.RetryLimits{Window: time.Minute, Slack: tc.slack})
			r.startServer()
			_, body, err := r.send()
			is.NoErr(err)
			is.Equal(body, encodeEvents(1, 6))
			is.Equal(r.arrivals(), tc.arrivals)
			r.awaitIdle()
		})
	}
}

// A stream was moved to an upstream that broke off, and the first one had no room meanwhile.
func TestMovedStreamIsCutBecauseFirstUpstreamIsFull(t *testing.T) {
	cases := []struct {
		name   string
		reject func(*conn)
	}{
		{"full", reportNotRun},
		{"turns the router away", func(c *conn) {
			c.writeAnswer(http.StatusServiceUnavailable, "full", "Not-Run: 1", "Rest: 300ms")
		}},
		{"misses its slot twice", reportNotRun},
	}
	for i, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			rejections := 1 + i/2
			var asked atomic.Int32
			var r *testGateway
			first := pauseThenResume(&r, 2*pauseLength)
			r = newTestGateway(t, resumableRoute, func(c *conn) {
				if n := int(asked.Add(1)); n > 1 && n <= 1+rejections {
					tc.reject(c)
					return
				}
				first(c)
			}, sendThenBreakOff)
			_, body, err := r.send()
			is.NoErr(err)
			is.Equal(body, encodeEvents(1, 6))
			want := append([]string{"u0 a", "u1 a"}, slices.Repeat([]string{"u0 a"}, 1+rejections)...)
			is.Equal(r.arrivals(), want)
			r.awaitIdle()
		})
	}
}

// A stream was moved by the last request that may be sent for it, to an upstream that broke off.
func TestMovedStreamIsCutBecauseTooManyUpstreamsWereAsked(t *testing.T) {
	is := is.New(t)
	var r *testGateway
	var others atomic.Int32
	other := func(c *conn) {
		if others.Add(1) < maxSends-1 {
			reportNotRun(c)
			return
		}
		sendThenBreakOff(c)
	}
	scripts := []func(*conn){pauseThenResume(&r, 2*pauseLength)}
	for range maxSends {
		scripts = append(scripts, other)
	}
	r = newTestGateway(t, resumableRoute, scripts...)
	_, body, err := r.send()
	is.NoErr(err)
	is.Equal(body, encodeEvents(1, 6))
	r.awaitIdle()
}

// A stream whose upstream broke off was cut, since no other one took it at that moment.
func TestBegunStreamIsCutWhileNoUpstreamTakesIt(t *testing.T) {
	breakOff := func(c *conn) { c.beginStream(); c.writeEvents(1, 2) }
	t.Run("full", func(t *testing.T) {
		t.Parallel()
		is := is.New(t)
		var asked atomic.Int32
		r := newTestGateway(t, resumableRoute, breakOff, func(c *conn) {
			if asked.Add(1) <= 2 {
				reportNotRun(c)
				return
			}
			resume(c, 6)
		})
		_, body, err := r.send()
		is.NoErr(err)
		is.Equal(body, encodeEvents(1, 6))
		r.awaitIdle()
	})
	t.Run("no retry left", func(t *testing.T) {
		t.Parallel()
		is := is.New(t)
		r := newTestGateway(t, resumableRoute, breakOff, func(c *conn) { resume(c, 6) })
		r.setRetries(balance.RetryLimits{Window: time.Minute, Ratio: 1}) // one retry for two requests
		r.startServer()
		go func() {
			r.awaitArrivals(1)
			for range 3 {
				r.balancer.CountRequest(r.server.cfg.Clock(), poolName)
			}
		}()
		_, body, err := r.send()
		is.NoErr(err)
		is.Equal(body, encodeEvents(1, 6))
	})
	t.Run("out of service", func(t *testing.T) {
		t.Parallel()
		is := is.New(t)
		var out atomic.Bool
		out.Store(true)
		r := newTestGateway(t, resumableRoute, breakOff, func(c *conn) { resume(c, 6) })
		r.session.Out = func(u fleet.Upstream) bool { return u.ID == "u1" && out.Load() }
		r.startServer()
		go func() {
			r.awaitArrivals(1)
			time.Sleep(300 * time.Millisecond)
			out.Store(false)
		}()
		_, body, err := r.send()
		is.NoErr(err)
		is.Equal(body, encodeEvents(1, 6))
	})
}

// A line that doesn't tell where a cut stream had been hides that it was moved.
func TestLineOfCutStreamHidesItsMove(t *testing.T) {
	is := is.New(t)
	log := new(syncBuffer)
	r := newTestGateway(t, resumableRoute, func(c *conn) {
		if c.request.Header.Get("After") == "" {
			c.beginStream()
			c.writeEvents(1, 2)
			awaitClose(c)
		}
	}, sendThenBreakOff)
	r.log = slog.New(slog.NewTextHandler(log, nil))
	r.startServer()
	_, _, err := r.send()
	is.True(err != nil)
	r.awaitIdle()
	is.True(strings.Contains(log.String(), `msg="connection closed without a complete answer"`))
	is.True(strings.Contains(log.String(), "moved_from=[u0]"))
}
