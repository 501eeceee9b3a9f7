package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/balance"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/routes"
)

// silence is longer than the time after which a silent upstream counts as stalled.
const silence = 1700 * time.Millisecond

// A stream isn't cut because its upstream falls silent for a while, whatever keeps the request
// from being served elsewhere.
func TestSilentUpstreamKeepsItsStream(t *testing.T) {
	pause := func(c *conn) {
		c.beginStream()
		c.writeEvents(1, 2)
		time.Sleep(silence)
		c.writeEvents(3, 5)
		c.endStream()
	}
	cases := []struct {
		name   string
		second func(*conn)
		modify func(*testGateway)
	}{
		{"no other upstream", nil, func(r *testGateway) { r.listUpstreams(r.upstreams[:1]) }},
		{"the other upstream refuses connections", nil, nil},
		{"the other upstream is full", reportNotRun, nil},
		{"the other upstream breaks off", closeConn, nil},
		{"the other upstream answers with an error", answerError, nil},
		{"the other upstream breaks off its stream", func(c *conn) { c.beginStream() }, nil},
		{"the other upstream is silent too", func(c *conn) { _, _ = c.Read(make([]byte, 1)) }, nil},
		{"the retry budget is spent", serveDone, func(r *testGateway) {
			r.balancer = balance.New(balance.Config{Zone: routerZone})
			r.listUpstreams(r.upstreams)
		}},
		{"the zone of the other upstream is out of service", serveDone, func(r *testGateway) {
			r.session.Out = func(u fleet.Upstream) bool { return u.ID == "u1" }
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r := newTestGateway(t, routes.Route{Kind: routes.KindStream, MaxAttempts: 2, Resumable: true}, pause, tc.second)
			if tc.modify != nil {
				tc.modify(r)
				r.startServer()
			}
			resp, body, err := r.send()
			is.True(resp != nil) // an answer was begun
			is.NoErr(err)
			is.Equal(body, encodeEvents(1, 5))
		})
	}
}

// A complete answer that takes longer than the route's latency target reaches its caller if no
// other upstream can serve the request.
func TestSlowUpstreamKeepsItsRequest(t *testing.T) {
	slow := func(c *conn) {
		time.Sleep(500 * time.Millisecond)
		serveDone(c)
	}
	cases := []struct {
		name   string
		second func(*conn)
		modify func(*testGateway)
	}{
		{"no other upstream", nil, func(r *testGateway) { r.listUpstreams(r.upstreams[:1]) }},
		{"the other upstream refuses connections", nil, nil},
		{"the other upstream is full", reportNotRun, nil},
		{"the other upstream breaks off", closeConn, nil},
		{"the other upstream answers with an error", answerError, nil},
		{"the other upstream truncates its answer", truncateAnswer, nil},
		{"the other upstream is silent", func(c *conn) { _, _ = c.Read(make([]byte, 1)) }, nil},
		{"the retry budget is spent", serveDone, func(r *testGateway) {
			r.balancer = balance.New(balance.Config{Zone: routerZone})
			r.listUpstreams(r.upstreams)
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r := newTestGateway(t, routes.Route{Kind: routes.KindIdempotent, MaxAttempts: 2, Target: 100 * time.Millisecond, Timeout: 3 * time.Second}, slow, tc.second)
			if tc.modify != nil {
				tc.modify(r)
				r.startServer()
			}
			resp, body, err := r.send()
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusOK)
			is.Equal(body, "done")
		})
	}
}

// An upstream that stays silent loses its stream to another one, which continues it after the
// last event, and its connection is closed then.
func TestReplacementContinuesStreamOfSilentUpstream(t *testing.T) {
	is := is.New(t)
	left := make(chan struct{})
	r := newTestGateway(t, routes.Route{Kind: routes.KindStream, MaxAttempts: 2, Resumable: true},
		func(c *conn) {
			c.beginStream()
			c.writeEvents(1, 2)
			_, _ = c.Read(make([]byte, 1))
			close(left)
		},
		func(c *conn) {
			is.Equal(c.request.Header.Get("After"), "2")
			c.beginStream()
			c.writeEvents(3, 5)
			c.endStream()
		})
	_, body, err := r.send()
	is.NoErr(err)
	is.Equal(body, encodeEvents(1, 5))
	<-left
	is.Equal(r.arrivals(), []string{"u0 a", "u1 a"})
	r.awaitIdle()
}

// A replacement is canceled as soon as the silent upstream goes on.
func TestReplacementEndsWhenSilentUpstreamGoesOn(t *testing.T) {
	is := is.New(t)
	left := make(chan struct{})
	r := newTestGateway(t, routes.Route{Kind: routes.KindStream, MaxAttempts: 2, Resumable: true},
		func(c *conn) {
			c.beginStream()
			c.writeEvents(1, 2)
			time.Sleep(silence)
			c.writeEvents(3, 4)
			<-left
			c.writeEvents(5, 5)
			c.endStream()
		},
		func(c *conn) {
			_, _ = c.Read(make([]byte, 1))
			close(left)
		})
	_, body, err := r.send()
	is.NoErr(err)
	is.Equal(body, encodeEvents(1, 5))
	is.Equal(r.arrivals(), []string{"u0 a", "u1 a"})
	r.awaitIdle()
}

// Both attempts end if their caller leaves.
func TestCallerLeavesDuringReplacement(t *testing.T) {
	is := is.New(t)
	left := make(chan struct{}, 2)
	silent := func(c *conn) {
		_, _ = c.Read(make([]byte, 1))
		left <- struct{}{}
	}
	r := newTestGateway(t, routes.Route{Kind: routes.KindIdempotent, MaxAttempts: 2}, silent, silent)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for len(r.arrivals()) < 2 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	_, _, err := r.sendWith(ctx, "POST", "/x", "order")
	is.True(err != nil)
	<-left
	<-left
	r.awaitIdle()
}
