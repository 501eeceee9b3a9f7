package gateway

import (
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/balance"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/routes"
)

// sendThenHang sends one event and then nothing.
func sendThenHang(c *conn) {
	after := eventNumber(c.request.Header.Get("After"))
	c.beginStream()
	c.writeEvents(int(after)+1, int(after)+1)
	awaitClose(c)
}

// The upstream that a stream was moved to falls silent for good.
func TestMovedStreamHangsThoughItsReturnIsReserved(t *testing.T) {
	t.Run("retry budget", func(t *testing.T) {
		t.Parallel()
		is := is.New(t)
		var r *testGateway
		r = newTestGateway(t, resumableRoute, pauseThenResume(&r, pauseLength), sendThenHang)
		r.setRetries(balance.RetryLimits{Window: time.Minute, Slack: 2.5})
		r.startServer()
		_, body, err := r.send()
		is.NoErr(err)
		is.Equal(body, encodeEvents(1, 6))
		r.awaitIdle()
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
		_, body, err := r.send()
		is.NoErr(err)
		is.Equal(body, encodeEvents(1, 6))
		r.awaitIdle()
	})
}

// The route allows further upstreams, which are full.
func TestReservedReturnIsSpentOnAnotherUpstream(t *testing.T) {
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
			_, body, err := r.send()
			is.NoErr(err)
			is.Equal(body, encodeEvents(1, 6))
			r.awaitIdle()
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
	r.setRetries(balance.RetryLimits{Window: time.Minute, Slack: 15}) // routers use ten of them
	r.listUpstreams(r.upstreams[:1])
	r.startServer()
	failed := make(chan error, streams)
	for range streams {
		go func() {
			_, _, err := r.send()
			failed <- err
		}()
	}
	r.awaitArrivals(streams)
	r.listUpstreams(r.upstreams)
	cut := 0
	for range streams {
		if err := <-failed; err != nil {
			cut++
		}
	}
	is.Equal(cut, 0)
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
	r.listUpstreams(r.upstreams[:1])
	failed := make(chan error, streams)
	for range streams {
		go func() {
			_, _, err := r.send()
			failed <- err
		}()
	}
	r.awaitArrivals(streams)
	r.listUpstreams(r.upstreams)
	for range streams {
		is.NoErr(<-failed)
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
	_, body, err := r.send()
	is.NoErr(err)
	is.Equal(body, encodeEvents(1, 6))
	r.awaitIdle()
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
	_, body, err := r.send()
	is.NoErr(err)
	is.Equal(body, encodeEvents(1, 6))
	r.awaitIdle()
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
	for r.balancer.TakeRetry(r.server.cfg.Clock(), poolName, 1, 0) {
		left++
	}
	is.True(left >= slack*7/10-3) // one for each upstream that refuses
}

// A reserved retry that the budget no longer covers leads to a choice that sends nothing.
func TestStreamThatWaitsForBudgetTakesTokensOfColdUpstream(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const window = time.Second
	r := newTestGateway(t, resumableRoute, serveDone)
	r.setRetries(balance.RetryLimits{Window: window, Ratio: 4})
	r.startServer()
	f := &forwarder{server: r.server, pool: &routes.Pool{Name: poolName}}
	now := r.server.cfg.Clock()
	r.balancer.CountRequest(now, poolName)
	is.True(r.balancer.TakeRetry(now, poolName, 1, 1))
	f.returnReserved = true
	time.Sleep(2 * window)
	is.True(!r.balancer.TakeReserved(r.server.cfg.Clock(), poolName, 1)) // no requests have come since
	is.True(!f.mayRetry(1))
}
