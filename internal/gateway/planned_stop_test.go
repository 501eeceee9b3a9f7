package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/wigeonflow/wigeonflow/internal/exchange"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/routes"
)

// A request that came late in the grace period was passed on and cut at its end.
func TestStoppingRouterPassesOnWhatItWillCut(t *testing.T) {
	const notice = 2500 * time.Millisecond
	cases := []struct {
		name    string
		kind    routes.Kind
		after   time.Duration // since the stop began
		grace   time.Duration
		timeout time.Duration
		status  int
	}{
		{"once, ends in time", routes.KindOnce, 0, 8 * time.Second, 4 * time.Second, http.StatusOK},
		{"once, may be cut", routes.KindOnce, 0, 8 * time.Second, 9 * time.Second, http.StatusServiceUnavailable},
		{"once, late but in time", routes.KindOnce, 6 * time.Second, 8 * time.Second, time.Second, http.StatusOK},
		{"once, too late", routes.KindOnce, 7 * time.Second, 8 * time.Second, 1500 * time.Millisecond, http.StatusServiceUnavailable},
		{"repeatable, within the notice", routes.KindIdempotent, time.Second, 8 * time.Second, 15 * time.Second, http.StatusOK},
		{"repeatable, after the notice", routes.KindIdempotent, 3 * time.Second, 8 * time.Second, 15 * time.Second, http.StatusServiceUnavailable},
		{"repeatable, after the notice, ends in time", routes.KindIdempotent, 3 * time.Second, 8 * time.Second, 2 * time.Second, http.StatusOK},
		{"no grace period", routes.KindOnce, time.Hour, 0, 15 * time.Second, http.StatusOK},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			r := newTestGateway(t, routes.Route{Kind: tc.kind, MaxAttempts: 1, Timeout: tc.timeout}, serveDone)
			r.stopping.Store(true)
			now := r.server.cfg.Clock()
			stop := &fleet.PlannedStop{NoticeEnd: now - tc.after + notice}
			if tc.grace > 0 {
				stop.GraceEnd = now - tc.after + tc.grace
			}
			r.stop.Store(stop)
			resp, _, err := r.send()
			is.NoErr(err)
			is.Equal(resp.StatusCode, tc.status)
			is.True(resp.Close)
			is.Equal(len(r.arrivals()) > 0, tc.status == http.StatusOK)
			is.Equal(resp.Header.Get("Retry-After") != "", tc.status != http.StatusOK)
		})
	}
}

// A request without a byte of its answer at the end of the grace period is cut with the process.
func TestRequestThatWaitsIsUnansweredAtEndOfGracePeriod(t *testing.T) {
	for name, kind := range map[string]routes.Kind{"idempotent": routes.KindIdempotent, "stream": routes.KindStream} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			const grace = 700 * time.Millisecond
			r := newTestGateway(t, routes.Route{Kind: kind, MaxAttempts: 1, Timeout: 4 * time.Second}, awaitClose)
			now := r.server.cfg.Clock()
			r.stopping.Store(true)
			r.stop.Store(&fleet.PlannedStop{NoticeEnd: now + grace/2, GraceEnd: now + grace})
			ctx, cancel := context.WithTimeout(t.Context(), grace)
			defer cancel()
			resp, _, err := r.sendWith(ctx, "POST", "/x", "order")
			is.NoErr(err)
			is.True(resp.StatusCode >= http.StatusInternalServerError)
		})
	}
}

// router returns a router with the server, on which no request may have arrived yet. drain begins its
// planned stop, with a grace period that ends after the given time.
func (r *testGateway) router() (drain func(grace time.Duration)) {
	router := &Router{cfg: Config{Clock: r.server.cfg.Clock}, log: hclog.NewNullLogger(), server: r.server}
	r.server.cfg.Stop, r.server.cfg.Stopping = router.stop.Load, router.stopping.Load
	return func(grace time.Duration) {
		ctx, cancel := context.WithTimeout(r.t.Context(), grace)
		r.t.Cleanup(cancel)
		router.Drain(ctx)
	}
}

// result is what a caller got.
type result struct {
	resp *http.Response
	body string
	err  error
}

// sendLater sends a request beside the test. The caller waits for a minute.
func (r *testGateway) sendLater(fields ...string) <-chan result {
	results := make(chan result, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		resp, body, err := r.sendWith(ctx, "POST", "/x", "order", fields...)
		results <- result{resp, body, err}
	}()
	return results
}

// A request that came before the stop was cut at the end of the grace period.
func TestRequestBeforeStopIsUnansweredAtEndOfGracePeriod(t *testing.T) {
	silent := func(c *conn) { c.beginStream(); awaitClose(c) }
	half := func(c *conn) {
		c.write("HTTP/1.1 200 OK\r\nId: ", c.id, "\r\nContent-Length: 9\r\n\r\nhalf")
		awaitClose(c)
	}
	cases := map[string]struct {
		kind   routes.Kind
		script func(*conn)
	}{
		"once": {routes.KindOnce, awaitClose}, "idempotent": {routes.KindIdempotent, awaitClose}, "stream": {routes.KindStream, awaitClose},
		"once, half an answer": {routes.KindOnce, half}, "stream without an event": {routes.KindStream, silent},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r := newTestGateway(t, routes.Route{Kind: tc.kind, MaxAttempts: 3, Timeout: time.Minute}, tc.script)
			var lines syncBuffer
			r.server.cfg.Log = slog.New(slog.NewTextHandler(&lines, nil))
			drain := r.router()
			answered := r.sendLater()
			r.awaitArrivals(1)
			drain(300 * time.Millisecond)
			got := <-answered
			is.NoErr(got.err)
			is.Equal(got.resp.StatusCode, http.StatusGatewayTimeout)
			is.Equal(got.resp.Header.Get("Retry-After"), "")
			is.True(got.resp.Close)
			await(func() bool { return r.server.Running() == 0 })
			is.True(strings.Contains(lines.String(), `no_attempt="planned stop"`))
			activity := r.balancer.Activities(r.server.cfg.Clock())["u0"]
			is.Equal(activity.Failed, 0) // the upstream is not blamed
			is.Equal(activity.Running, 0)
		})
	}
}

// A request that had not been sent got no answer at the end of the grace period.
func TestRequestThatHasNotRunIsUnansweredAtEndOfGracePeriod(t *testing.T) {
	cases := map[string]struct {
		starting bool
		bodySize int // of which one half arrives; 0 for a complete body
		late     bool
	}{
		"waits for the start":                       {starting: true},
		"its body has not arrived":                  {bodySize: 10},
		"its long body has not arrived":             {bodySize: 1 << 20},
		"its body has not arrived before the start": {starting: true, bodySize: 10},
		"arrives later":                             {late: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r := newTestGateway(t, routes.Route{Kind: routes.KindIdempotent, MaxAttempts: 3, Timeout: time.Minute}, serveDone)
			if tc.starting {
				r.started = make(chan struct{})
				r.startServer()
			}
			drain := r.router()
			if tc.late {
				drain(300 * time.Millisecond)
				await(r.server.endsUnanswered.Load)
			}
			var answered <-chan result
			if tc.bodySize > 0 {
				answered = r.sendHalfBody(tc.bodySize)
			} else {
				answered = r.sendLater()
			}
			if !tc.late {
				await(func() bool { return r.server.Running() == 1 })
				drain(300 * time.Millisecond)
			}
			got := <-answered
			is.NoErr(got.err)
			is.Equal(got.resp.StatusCode, http.StatusServiceUnavailable)
			is.Equal(got.body, errPlannedStop.Message()+"\n")
			is.True(got.resp.Header.Get("Retry-After") != "")
			is.Equal(len(r.arrivals()), 0)
		})
	}
}

// sendHalfBody sends a request with only half of its body, of the given length.
func (r *testGateway) sendHalfBody(length int) <-chan result {
	c := r.dialHalfBody(length)
	results := make(chan result, 1)
	go func() {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			results <- result{err: err}
			return
		}
		body, err := io.ReadAll(resp.Body)
		results <- result{resp, string(body), err}
	}()
	return results
}

// dialHalfBody returns the connection of a request with half of its body.
func (r *testGateway) dialHalfBody(length int) net.Conn {
	c, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { _ = c.Close() })
	if _, err := fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: %s\r\nId: a\r\nContent-Length: %d\r\n\r\n%s", testHost, length, strings.Repeat("o", length/2)); err != nil {
		r.t.Fatal(err)
	}
	return c
}

// The connection was reset under a caller that was still sending its body as the planned stop ended its request.
func TestPlannedStopResetsCallerThatIsSending(t *testing.T) {
	is := is.New(t)
	r := newTestGateway(t, routes.Route{Kind: routes.KindIdempotent, MaxAttempts: 3, Timeout: time.Minute}, serveDone)
	r.server.drainTime = 20 * time.Minute
	drain := r.router()
	const length = 200_000
	c := r.dialHalfBody(length)
	await(func() bool { return r.server.Running() == 1 })
	drain(300 * time.Millisecond)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	for range 10 {
		_, err := io.WriteString(c, strings.Repeat("o", length/20))
		is.NoErr(err)
		time.Sleep(time.Millisecond)
	}
	await(func() bool { return r.server.Running() == 0 })
}

// A stream that has begun goes on until the end of the grace period.
func TestPlannedStopEndsBegunStreamEarly(t *testing.T) {
	is := is.New(t)
	var r *testGateway
	r = newTestGateway(t, routes.Route{Kind: routes.KindStream, MaxAttempts: 1, Timeout: time.Minute}, func(c *conn) {
		c.beginStream()
		c.writeEvents(1, 1)
		await(r.server.endsUnanswered.Load)
		c.writeEvents(2, 3)
		c.endStream()
	})
	drain := r.router()
	answered := r.sendLater()
	await(func() bool { return r.inFlightBegun() == 1 })
	drain(300 * time.Millisecond)
	got := <-answered
	is.NoErr(got.err)
	is.Equal(got.body, encodeEvents(1, 3))
}

// inFlightBegun returns the number of running requests whose answers have begun.
func (r *testGateway) inFlightBegun() (n int) {
	r.server.inFlight.Range(func(_, value any) bool {
		if value.(*answerWriter).begun.Load() {
			n++
		}
		return true
	})
	return n
}

// A stream whose first event arrived as the planned stop ended its request began and was cut.
func TestStreamThatBeginsAsPlannedStopEndsItIsCut(t *testing.T) {
	is := is.New(t)
	const count = 100
	begin := make(chan struct{})
	r := newTestGateway(t, routes.Route{Kind: routes.KindStream, MaxAttempts: 1, Timeout: time.Minute}, func(c *conn) {
		c.beginStream()
		<-begin
		time.Sleep(time.Duration(rand.IntN(10_000)) * time.Microsecond)
		c.writeEvents(1, 3)
		time.Sleep(20 * time.Millisecond)
		c.writeEvents(4, 6)
		c.endStream()
	})
	var pending []<-chan result
	for i := range count {
		pending = append(pending, r.sendLater("Id", fmt.Sprint("r", i)))
	}
	r.awaitArrivals(count)
	close(begin)
	time.Sleep(5 * time.Millisecond)
	r.server.endUnanswered()
	served := 0
	for _, answered := range pending {
		got := <-answered
		is.NoErr(got.err)
		if got.resp.StatusCode == http.StatusOK {
			is.Equal(got.body, encodeEvents(1, 6))
			served++
			continue
		}
		is.Equal(got.resp.StatusCode, http.StatusGatewayTimeout)
	}
	t.Logf("%d of %d served", served, count)
}

// As above, in the order that cut it.
func TestStreamBeginsAfterPlannedStopHasEndedIt(t *testing.T) {
	is := is.New(t)
	ended := false
	caller := httptest.NewRecorder()
	w := &answerWriter{ResponseWriter: caller, stopping: func() bool { return true }, cancel: func(error) { ended = true }}
	f := &forwarder{server: &Server{cfg: ServerConfig{Protocol: testProtocol{}}}, w: w}
	f.openStream(&exchange.Response{Status: http.StatusOK})
	w.end()
	is.True(ended)
	is.True(errors.Is(f.stream.write([]byte(encodeEvent(1))), errPlannedStop))
	is.Equal(caller.Body.String(), "")
	is.True(!f.streamBegun())
}

// A request that waited for the start was answered after the end of the grace period.
func TestRequestThatWaitsForStartOutlastsPlannedStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const untilCap = 50 * time.Millisecond
		began := time.Now()
		clock := func() time.Duration { return time.Since(began) } // the bubble's
		s := NewServer(ServerConfig{Clock: clock, Metrics: metrics.NewRegistry(), Started: make(chan struct{})})
		ctx, cancel := context.WithCancelCause(t.Context())
		w := &answerWriter{ResponseWriter: httptest.NewRecorder(), cancel: cancel}
		time.AfterFunc(untilCap, w.end)
		f := &forwarder{server: s, w: w, r: httptest.NewRequestWithContext(t.Context(), "GET", "/", nil), ctx: ctx}
		is.Equal(f.awaitStartup(), errPlannedStop)
		is.Equal(f.held, untilCap)
	})
}
