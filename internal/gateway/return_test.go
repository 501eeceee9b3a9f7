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

// checkStream checks that a caller gets a stream that ends with the given event, and that no attempt is
// left.
func (r *testGateway) checkStream(is *is.I, last int) {
	is.Helper()
	_, body, err := r.send()
	is.NoErr(err)
	is.Equal(body, encodeEvents(1, last))
	r.awaitIdle()
}

// sendAtFirstUpstream sends requests that all reach the first upstream, before the others are listed,
// and returns the errors with which they ended.
func (r *testGateway) sendAtFirstUpstream(count int) []error {
	r.listUpstreams(r.upstreams[:1])
	ended := make(chan error, count)
	for range count {
		go func() {
			_, _, err := r.send()
			ended <- err
		}()
	}
	r.awaitArrivals(count)
	r.listUpstreams(r.upstreams)
	errs := make([]error, count)
	for i := range errs {
		errs[i] = <-ended
	}
	return errs
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
			r.checkStream(is, 6)
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
			r.checkStream(is, 6)
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
	r.checkStream(is, 6)
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
		r.checkStream(is, 6)
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
		r.checkStream(is, 6)
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
		r.checkStream(is, 6)
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

// sendThenHang sends one event and then nothing.
func sendThenHang(c *conn) {
	after := eventNumber(c.request.Header.Get("After"))
	c.beginStream()
	c.writeEvents(int(after)+1, int(after)+1)
	awaitClose(c)
}

// The upstream that a stream was moved to falls silent for good.
func TestMovedStreamHangsThoughItMayReturn(t *testing.T) {
	t.Run("retry budget", func(t *testing.T) {
		t.Parallel()
		is := is.New(t)
		var r *testGateway
		r = newTestGateway(t, resumableRoute, pauseThenResume(&r, pauseLength), sendThenHang)
		r.setRetries(balance.RetryLimits{Window: time.Minute, Slack: 2.5})
		r.startServer()
		r.checkStream(is, 6)
	})
	t.Run("requests", func(t *testing.T) {
		t.Parallel()
		is := is.New(t)
		var r *testGateway
		var others atomic.Int32
		other := func(c *conn) {
			if others.Add(1) < maxSends-2 {
				reportNotRun(c)
				return
			}
			sendThenHang(c)
		}
		scripts := append([]func(*conn){pauseThenResume(&r, 2*pauseLength)}, slices.Repeat([]func(*conn){other}, maxSends)...)
		r = newTestGateway(t, resumableRoute, scripts...)
		r.checkStream(is, 6)
	})
}

// The route allows further upstreams, which are full.
func TestRetryOfReturnIsSpentOnAnotherUpstream(t *testing.T) {
	route := resumableRoute
	route.MaxAttempts = 3
	cases := []struct {
		name   string
		limits balance.RetryLimits
		breaks int32 // the number of the other upstream that breaks off; the others are full
	}{
		{"retry budget", balance.RetryLimits{Window: time.Minute, Slack: 2.5}, 1},
		{"requests", balance.RetryLimits{Window: time.Minute, Slack: 50}, maxSends - 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var first atomic.Value
			var others atomic.Int32
			var r *testGateway
			script := func(c *conn) {
				id := c.request.Header.Get("To")
				switch {
				case first.CompareAndSwap(nil, id):
					busy := balance.Activities{fleet.UpstreamID(id): {Running: 5}}
					r.balancer.SetPeerActivities(r.server.cfg.Clock(), busy)
					c.beginStream()
					c.writeEvents(1, 2)
					awaitClose(c)
				case first.Load() == id:
					resume(c, 6)
				case others.Add(1) == tc.breaks:
					sendThenBreakOff(c)
				default:
					reportNotRun(c)
				}
			}
			r = newTestGateway(t, route, slices.Repeat([]func(*conn){script}, 12)...)
			for i := range r.upstreams {
				r.upstreams[i].Zone = routerZone
			}
			r.setRetries(tc.limits)
			r.startServer()
			r.checkStream(is, 6)
		})
	}
}

// The budget allows that all streams move, but not that all return.
func TestStreamsOfHungUpstreamAreCutForReturnsOfOthers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const streams = 10
	r := newTestGateway(t, resumableRoute, func(c *conn) { c.beginStream(); c.writeEvents(1, 2); awaitClose(c) }, func(c *conn) {
		after := int(eventNumber(c.request.Header.Get("After")))
		c.beginStream()
		for id := after + 1; id <= 60; id++ {
			c.writeEvents(id, id)
			time.Sleep(100 * time.Millisecond)
		}
		c.endStream()
	})
	r.setRetries(balance.RetryLimits{Window: time.Minute, Slack: 15}) // of which ten may move streams
	r.startServer()
	for _, err := range r.sendAtFirstUpstream(streams) {
		is.NoErr(err)
	}
}

// Two stalls in a row have ejected the first upstream, and no other request probes it.
func TestMovedStreamsHangBecauseFirstUpstreamStaysEjected(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const streams = 2
	var asked atomic.Int32
	r := newTestGateway(t, resumableRoute, func(c *conn) {
		if asked.Add(1) > streams {
			resume(c, 6)
			return
		}
		c.beginStream()
		c.writeEvents(1, 2)
		awaitClose(c)
	}, sendThenHang)
	for _, err := range r.sendAtFirstUpstream(streams) {
		is.NoErr(err)
	}
	r.awaitIdle()
}

// All other upstreams of the pool are full at the moment at which one breaks off.
func TestBegunStreamIsCutBecauseManyUpstreamsAreFullAtOnce(t *testing.T) {
	is := is.New(t)
	breakOff := func(c *conn) { c.beginStream(); c.writeEvents(1, 2) }
	full := time.Now().Add(300 * time.Millisecond)
	other := func(c *conn) {
		if time.Now().Before(full) {
			reportNotRun(c)
			return
		}
		resume(c, 6)
	}
	r := newTestGateway(t, resumableRoute, append([]func(*conn){breakOff}, slices.Repeat([]func(*conn){other}, maxSends)...)...)
	r.checkStream(is, 6)
}

// The only upstream left had begun as a replacement without an event, and is full when asked again.
func TestBegunStreamIsCutBecauseFormerReplacementIsFull(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var r *testGateway
	var asked atomic.Int32
	dropped := make(chan struct{})
	r = newTestGateway(t, resumableRoute, func(c *conn) {
		c.beginStream()
		c.writeEvents(1, 2)
		<-dropped
		c.writeEvents(3, 3) // goes on, so that no further replacement is opened
		time.Sleep(50 * time.Millisecond)
	}, func(c *conn) {
		switch asked.Add(1) {
		case 1:
			c.beginStream()
			awaitClose(c)
			close(dropped)
		case 2:
			reportNotRun(c)
		default:
			resume(c, 6)
		}
	})
	r.checkStream(is, 6)
}

// No other upstream accepts connections, so that no retry of the stream arrives anywhere.
func TestWaitingStreamSpendsRetryBudgetOnRefusedConnections(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	route := resumableRoute
	route.Timeout = 3 * time.Second
	const slack = 20
	r := newTestGateway(t, route, func(c *conn) { c.beginStream(); c.writeEvents(1, 2) }, nil, nil, nil)
	r.setRetries(balance.RetryLimits{Window: time.Minute, Slack: slack})
	r.startServer()
	_, _, err := r.send()
	is.True(err != nil)
	left := 0
	for r.balancer.TakeRetry(r.server.cfg.Clock(), poolName, 1, balance.RetryUnanswered) {
		left++
	}
	is.True(left >= slack*7/10-3) // one for each upstream that refuses
}

// A stream waits for the retry budget, and the only other upstream is cold.
func TestStreamThatWaitsForBudgetTakesTokensOfColdUpstream(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := newTestGateway(t, resumableRoute, func(c *conn) { c.beginStream(); c.writeEvents(1, 2) }, func(c *conn) { resume(c, 5) })
	r.balancer = balance.New(balance.Config{Zone: routerZone})
	r.table.Pools[0].ColdRate = 1
	cold := balance.ListedUpstream{Upstream: r.upstreams[1], ColdFor: time.Hour}
	r.balancer.SetUpstreams(0, []balance.ListedUpstream{{Upstream: r.upstreams[0]}, cold})
	r.startServer()
	go func() { _, _, _ = r.send() }()
	time.Sleep(2 * time.Second)
	is.Equal(r.arrivals(), []string{"u0 a"})
	r.balancer.SetUpstreams(0, []balance.ListedUpstream{cold})
	_, body, err := r.send("Id", "b")
	is.NoErr(err)
	is.Equal(body, encodeEvents(1, 5))
}
