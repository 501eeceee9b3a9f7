package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/balance"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/routes"
)

// pauseLength is longer than the time without bytes after which an upstream counts as stalled.
const pauseLength = 1700 * time.Millisecond

// awaitClose reads until the router closes the connection.
func awaitClose(c *conn) { _, _ = c.Read(make([]byte, 1)) }

// pause sends two events of a stream, and the others once the other upstream was asked and had
// some time to answer, or after pauseLength if it won't be asked.
func pause(c *conn, r *testGateway, otherAsked bool) {
	c.beginStream()
	c.writeEvents(1, 2)
	if otherAsked {
		r.awaitArrivals(2)
		time.Sleep(100 * time.Millisecond)
	} else {
		time.Sleep(pauseLength)
	}
	c.writeEvents(3, 5)
	c.endStream()
}

// A stream isn't cut because its upstream sends nothing for a while.
func TestStalledUpstreamKeepsItsStream(t *testing.T) {
	outOfService := func(r *testGateway) { r.session.Out = func(u fleet.Upstream) bool { return u.ID == "u1" } }
	cases := []struct {
		name   string
		second func(*conn)
		asked  bool // the second upstream sees a request
		modify func(*testGateway)
	}{
		{"no other upstream", nil, false, func(r *testGateway) { r.listUpstreams(r.upstreams[:1]) }},
		{"the other upstream refuses connections", nil, false, nil},
		{"the other upstream is full", reportNotRun, true, nil},
		{"the other upstream breaks off", closeConn, true, nil},
		{"the other upstream answers with an error", answerError, true, nil},
		{"the other upstream breaks off its stream", func(c *conn) { c.beginStream() }, true, nil},
		{"the other upstream sends nothing either", awaitClose, true, nil},
		{"the other upstream sends no event", func(c *conn) { c.beginStream(); awaitClose(c) }, true, nil},
		{"the other upstream sends part of an event", func(c *conn) { c.beginStream(); c.writeChunk("id: 3\nda") }, true, nil},
		{"the other upstream sends a comment", func(c *conn) { c.beginStream(); c.writeChunk(": ping\n\n") }, true, nil},
		{"the other upstream leaves a gap", func(c *conn) { c.beginStream(); c.writeEvents(7, 9); c.endStream() }, true, nil},
		{"the other upstream repeats events", func(c *conn) { c.beginStream(); c.writeEvents(1, 2) }, true, nil},
		{"the other upstream sends a head as an event", func(c *conn) { c.beginStream(); c.writeChunk("HTTP/1.1 500 X\r\n\r\n") }, true, nil},
		{"the retry budget is spent", serveDone, false, func(r *testGateway) { r.setRetries(balance.RetryLimits{}) }},
		{"the zone of the other upstream is out of service", serveDone, false, outOfService},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var r *testGateway
			r = newTestGateway(t, routes.Route{Kind: routes.KindStream, MaxAttempts: 2, Resumable: true},
				func(c *conn) { pause(c, r, tc.asked) }, tc.second)
			if tc.modify != nil {
				tc.modify(r)
				r.startServer()
			}
			resp, body, err := r.send()
			is.True(resp != nil) // an answer was begun
			is.NoErr(err)
			is.Equal(body, encodeEvents(1, 5))
			is.Equal(len(r.arrivals()) > 1, tc.asked)
			r.awaitIdle()
		})
	}
}

// A slow answer reaches its caller if no other upstream can serve the request.
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
		{"the other upstream sends nothing", func(c *conn) { _, _ = c.Read(make([]byte, 1)) }, nil},
		{"the retry budget is spent", serveDone, func(r *testGateway) { r.setRetries(balance.RetryLimits{}) }},
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

func TestReplacementContinuesStreamOfStalledUpstream(t *testing.T) {
	is := is.New(t)
	left := make(chan struct{})
	r := newTestGateway(t, routes.Route{Kind: routes.KindStream, MaxAttempts: 2, Resumable: true},
		func(c *conn) {
			c.beginStream()
			c.writeEvents(1, 2)
			awaitClose(c)
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

func TestReplacementEndsWhenStalledUpstreamGoesOn(t *testing.T) {
	is := is.New(t)
	left := make(chan struct{})
	var r *testGateway
	r = newTestGateway(t, routes.Route{Kind: routes.KindStream, MaxAttempts: 2, Resumable: true},
		func(c *conn) {
			c.beginStream()
			c.writeEvents(1, 2)
			r.awaitArrivals(2)
			c.writeEvents(3, 4)
			<-left
			c.writeEvents(5, 5)
			c.endStream()
		},
		func(c *conn) {
			awaitClose(c)
			close(left)
		})
	_, body, err := r.send()
	is.NoErr(err)
	is.Equal(body, encodeEvents(1, 5))
	is.Equal(r.arrivals(), []string{"u0 a", "u1 a"})
	r.awaitIdle()
}

// The first upstream was only silent for a while.
func TestStreamEndsWhenReplacementBreaksOff(t *testing.T) {
	for _, sent := range []int{1, 3} {
		t.Run(fmt.Sprintf("after %d events", sent), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var r *testGateway
			r = newTestGateway(t, routes.Route{Kind: routes.KindStream, MaxAttempts: 2, Resumable: true, Timeout: 8 * time.Second},
				func(c *conn) {
					c.beginStream()
					if len(r.arrivals()) == 1 {
						c.writeEvents(1, 2)
						awaitClose(c)
						return
					}
					c.writeEvents(3+sent, 6)
					c.endStream()
				},
				func(c *conn) {
					c.beginStream()
					c.writeEvents(3, 2+sent)
					time.Sleep(100 * time.Millisecond)
				})
			_, body, err := r.send()
			is.NoErr(err)
			is.Equal(body, encodeEvents(1, 6))
			is.Equal(r.arrivals(), []string{"u0 a", "u1 a", "u0 a"})
			r.awaitIdle()
		})
	}
}

// Both attempts end if their caller leaves.
func TestCallerLeavesDuringReplacement(t *testing.T) {
	is := is.New(t)
	left := make(chan struct{}, 2)
	neverAnswer := func(c *conn) {
		awaitClose(c)
		left <- struct{}{}
	}
	r := newTestGateway(t, routes.Route{Kind: routes.KindIdempotent, MaxAttempts: 2}, neverAnswer, neverAnswer)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		r.awaitArrivals(2)
		cancel()
	}()
	_, _, err := r.sendWith(ctx, "POST", "/x", "order")
	is.True(err != nil)
	<-left
	<-left
	r.awaitIdle()
}

func TestStalledReplacementIsReplaced(t *testing.T) {
	serveStream := func(c *conn) { c.beginStream(); c.writeEvents(1, 5); c.endStream() }
	cases := []struct {
		name  string
		route routes.Route
		third func(*conn)
		body  string
	}{
		{"stream", routes.Route{Kind: routes.KindStream, MaxAttempts: 3, Resumable: true, Timeout: 8 * time.Second}, serveStream, encodeEvents(1, 5)},
		{"idempotent", routes.Route{Kind: routes.KindIdempotent, MaxAttempts: 3, Target: 100 * time.Millisecond, Timeout: 8 * time.Second}, serveDone, "done"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			// Which of u1 and u2 is chosen first is random, so the first of them to be asked sends nothing.
			var r *testGateway
			later := func(c *conn) {
				if len(r.arrivals()) == 2 {
					awaitClose(c)
					return
				}
				tc.third(c)
			}
			r = newTestGateway(t, tc.route, awaitClose, later, later)
			resp, body, err := r.send()
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusOK)
			is.Equal(body, tc.body)
			is.Equal(len(r.arrivals()), 3)
		})
	}
}

// Replacements that the retry budget forbids use up none of what a cold upstream may get.
func TestForbiddenReplacementsLeaveColdUpstreamItsRate(t *testing.T) {
	is := is.New(t)
	r := newTestGateway(t, routes.Route{Kind: routes.KindStream, MaxAttempts: 2, Resumable: true, Timeout: 10 * time.Second}, awaitClose,
		func(c *conn) { c.beginStream(); c.writeEvents(1, 5); c.endStream() })
	r.balancer = balance.New(balance.Config{Zone: routerZone})
	r.table.Pools[0].ColdRate = 1
	r.balancer.SetUpstreams(0, []balance.ListedUpstream{
		{Upstream: r.upstreams[0]}, {Upstream: r.upstreams[1], ColdFor: time.Hour},
	})
	r.startServer()
	go func() { _, _, _ = r.send() }()
	time.Sleep(2500 * time.Millisecond) // the first upstream counts as stalled from 1.2 s on
	is.Equal(r.arrivals(), []string{"u0 a"})
	resp, body, err := r.send("Id", "b")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK) // the cold upstream has had no request yet
	is.Equal(body, encodeEvents(1, 5))
}

// The caller has all events, and the first upstream only lacks the end.
func TestEmptyReplacementCompletesStream(t *testing.T) {
	for _, name := range []string{"blame", "completion"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r := newTestGateway(t, routes.Route{Kind: routes.KindStream, MaxAttempts: 2, Resumable: true}, func(c *conn) {
				c.beginStream()
				c.writeEvents(1, 2)
				awaitClose(c)
			}, func(c *conn) { c.beginStream(); c.endStream() })
			r.table.Pools[0].Engine = &routes.Engine{}
			r.startServer()
			_, body, err := r.send("Parts", "a,b")
			is.Equal(body, encodeEvents(1, 2))
			if name == "blame" {
				suspicions, _ := r.balancer.Suspicions(r.server.cfg.Clock(), 0)
				is.Equal(len(suspicions), 0)
				return
			}
			is.NoErr(err)
		})
	}
}

// Events whose IDs are no numbers reach the caller once, also if two upstreams send them.
func TestReplacementRepeatsNoNamedEvent(t *testing.T) {
	is := is.New(t)
	event := func(id string) string { return "id: " + id + "\ndata: " + id + "\n\n" }
	var r *testGateway
	r = newTestGateway(t, routes.Route{Kind: routes.KindStream, MaxAttempts: 2, Resumable: true}, func(c *conn) {
		c.beginStream()
		c.writeChunk(event("a") + event("b"))
		r.awaitArrivals(2)
		c.writeChunk(event("c"))
		awaitClose(c)
	}, func(c *conn) {
		time.Sleep(20 * time.Millisecond) // the first upstream goes on meanwhile
		c.beginStream()
		if c.request.Header.Get("After") == "b" {
			c.writeChunk(event("c"))
		}
		c.writeChunk(event("d"))
		c.endStream()
	})
	_, body, err := r.send()
	is.NoErr(err)
	is.Equal(body, event("a")+event("b")+event("c")+event("d"))
}

func TestCanceledReplacementLeavesAttempt(t *testing.T) {
	is := is.New(t)
	left := make(chan struct{})
	var r *testGateway
	r = newTestGateway(t, routes.Route{Kind: routes.KindStream, MaxAttempts: 2, Resumable: true}, func(c *conn) {
		c.beginStream()
		c.writeEvents(1, 2)
		r.awaitArrivals(2)
		c.writeEvents(3, 3)
		<-left // and breaks off
	}, func(c *conn) {
		if len(r.arrivals()) == 2 {
			awaitClose(c)
			close(left)
			return
		}
		is.Equal(c.request.Header.Get("After"), "3")
		c.beginStream()
		c.writeEvents(4, 5)
		c.endStream()
	})
	_, body, err := r.send()
	is.NoErr(err)
	is.Equal(body, encodeEvents(1, 5))
	is.Equal(r.arrivals(), []string{"u0 a", "u1 a", "u1 a"})
	r.awaitIdle()
}

func TestUpstreamIsNotBlamedForCallerThatReadsSlowly(t *testing.T) {
	is := is.New(t)
	const events = 600 // together more than the socket buffers on the way hold
	data := strings.Repeat("x", 64<<10)
	script := func(c *conn) {
		after, _ := strconv.Atoi(c.request.Header.Get("After"))
		c.beginStream()
		for id := after + 1; id <= events; id++ {
			c.writeChunk(fmt.Sprintf("id: %d\ndata: %s\n\n", id, data))
		}
		c.endStream()
	}
	r := newTestGateway(t, routes.Route{Kind: routes.KindStream, MaxAttempts: 2, Resumable: true, Timeout: time.Minute}, script, script)
	req, err := http.NewRequest(http.MethodPost, r.url+"/x", http.NoBody)
	is.NoErr(err)
	req.Host = testHost
	req.Header.Set("Id", "a")
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	is.NoErr(err)
	defer resp.Body.Close()
	time.Sleep(2 * time.Second)
	_, err = io.Copy(io.Discard, resp.Body)
	is.NoErr(err)
	is.Equal(r.arrivals(), []string{"u0 a"})
}

func TestFailureOfLastReplacementReachesCaller(t *testing.T) {
	is := is.New(t)
	var r *testGateway
	r = newTestGateway(t, routes.Route{Kind: routes.KindIdempotent, MaxAttempts: 2, Target: 100 * time.Millisecond},
		func(*conn) { r.awaitArrivals(2) }, // and breaks off
		func(c *conn) { time.Sleep(100 * time.Millisecond); answerError(c) })
	resp, body, err := r.send()
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusInternalServerError)
	is.Equal(body, "failed")
}

func TestReplacementIsNoProbe(t *testing.T) {
	is := is.New(t)
	r := newTestGateway(t, routes.Route{Kind: routes.KindStream, MaxAttempts: 2, Resumable: true}, func(c *conn) {
		c.beginStream()
		c.writeEvents(1, 2)
		time.Sleep(pauseLength)
		c.writeEvents(3, 5)
		c.endStream()
	}, closeConn)
	r.listUpstreams(r.upstreams[1:])
	for _, id := range []string{"b", "c"} {
		resp, _, err := r.send("Id", id) // two breaks eject the upstream for 0.5 s
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusBadGateway)
	}
	r.listUpstreams(r.upstreams)
	_, body, err := r.send()
	is.NoErr(err)
	is.Equal(body, encodeEvents(1, 5))
	is.Equal(r.arrivals(), []string{"u1 b", "u1 c", "u0 a"})
}

func TestReplacementOfBrokenUpstreamMayPause(t *testing.T) {
	is := is.New(t)
	begun := make(chan struct{})
	r := newTestGateway(t, routes.Route{Kind: routes.KindStream, MaxAttempts: 2, Resumable: true},
		func(c *conn) {
			c.beginStream()
			c.writeEvents(1, 2)
			<-begun
			time.Sleep(50 * time.Millisecond)
		},
		func(c *conn) {
			c.beginStream()
			close(begun)
			time.Sleep(600 * time.Millisecond)
			c.writeEvents(3, 5)
			c.endStream()
		})
	_, body, err := r.send()
	is.NoErr(err)
	is.Equal(body, encodeEvents(1, 5))
	is.Equal(r.arrivals(), []string{"u0 a", "u1 a"})
}

func TestReplacementWithoutEventMayBeAskedAgain(t *testing.T) {
	is := is.New(t)
	canceled := make(chan struct{})
	var asked atomic.Int32
	r := newTestGateway(t, routes.Route{Kind: routes.KindStream, MaxAttempts: 2, Resumable: true},
		func(c *conn) {
			c.beginStream()
			c.writeEvents(1, 2)
			<-canceled
			time.Sleep(50 * time.Millisecond)
		},
		func(c *conn) {
			c.beginStream()
			if asked.Add(1) == 1 {
				awaitClose(c)
				close(canceled)
				return
			}
			c.writeEvents(3, 5)
			c.endStream()
		})
	_, body, err := r.send()
	is.NoErr(err)
	is.Equal(body, encodeEvents(1, 5))
	is.Equal(r.arrivals(), []string{"u0 a", "u1 a", "u1 a"})
}

// syncBuffer is a buffer that is safe for concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

func TestSlowerReplacementIsNotChargedWithAFailure(t *testing.T) {
	is := is.New(t)
	var r *testGateway
	log := new(syncBuffer)
	end := make(chan struct{})
	var others atomic.Int32
	other := func(c *conn) {
		if others.Add(1) == 1 {
			<-end
		} else {
			time.Sleep(150 * time.Millisecond)
		}
		serveDone(c)
	}
	r = newTestGateway(t, routes.Route{Kind: routes.KindIdempotent, MaxAttempts: 3, Target: 100 * time.Millisecond, Timeout: 4 * time.Second},
		func(c *conn) { // slow, then broken off
			r.awaitArrivals(3)
			time.Sleep(30 * time.Millisecond)
		}, other, other)
	r.log = slog.New(slog.NewTextHandler(log, nil))
	r.startServer()
	resp, body, err := r.send()
	close(end)
	is.NoErr(err)
	is.Equal(resp.StatusCode, 200)
	is.Equal(body, "done")
	for line := range strings.SplitSeq(log.String(), "\n") {
		if strings.Contains(line, "cause=<nil>") || strings.Contains(line, "attempt failed") && strings.Contains(line, "context canceled") {
			t.Error(line)
		}
	}
}

func TestSlowCallerOfCompleteAnswerIsNoReasonToAskAnother(t *testing.T) {
	is := is.New(t)
	const size = 12 << 20
	large := func(c *conn) { c.writeAnswer(http.StatusOK, strings.Repeat("x", size)) }
	r := newTestGateway(t, routes.Route{Kind: routes.KindIdempotent, MaxAttempts: 2, Target: 500 * time.Millisecond}, large, large)
	req, err := http.NewRequest("POST", r.url+"/x", strings.NewReader("order"))
	is.NoErr(err)
	req.Host = testHost
	req.Header.Set("Id", "a")
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	is.NoErr(err)
	defer resp.Body.Close()
	time.Sleep(2 * time.Second)
	n, err := io.Copy(io.Discard, resp.Body)
	is.NoErr(err)
	is.Equal(n, int64(size))
	is.Equal(r.arrivals(), []string{"u0 a"})
}
