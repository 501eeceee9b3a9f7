package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/balance"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/routes"
)

// A request whose first upstream fails is retried on a second one, which serves it,
// only if it has not run or the route allows a retry.
func TestFirstUpstreamFails(t *testing.T) {
	once := routes.Route{Kind: routes.KindOnce, MaxAttempts: 1}
	idempotent := routes.Route{Kind: routes.KindIdempotent, MaxAttempts: 2, Target: 100 * time.Millisecond}
	cases := []struct {
		name     string
		route    routes.Route
		first    func(*conn)
		status   int
		body     string
		arrivals []string
	}{
		{"once, connection refused", once, nil, 200, "done", []string{"u1 a"}},
		{"once, not run", once, reportNotRun, 200, "done", []string{"u0 a", "u1 a"}},
		{"once, no answer", once, closeConn, 502, "", []string{"u0 a"}},
		{"once, a truncated answer", once, truncateAnswer, 502, "", []string{"u0 a"}},
		{"once, another request's answer", once, misdeliver, 502, "", []string{"u0 a"}},
		{"once, a server error", once, answerError, 500, "failed", []string{"u0 a"}},
		{"idempotent, connection refused", idempotent, nil, 200, "done", []string{"u1 a"}},
		{"idempotent, no answer", idempotent, closeConn, 200, "done", []string{"u0 a", "u1 a"}},
		{"idempotent, a truncated answer", idempotent, truncateAnswer, 200, "done", []string{"u0 a", "u1 a"}},
		{"idempotent, another request's answer", idempotent, misdeliver, 200, "done", []string{"u0 a", "u1 a"}},
		{"idempotent, a server error", idempotent, answerError, 200, "done", []string{"u0 a", "u1 a"}},
		{"idempotent, no bytes sent", idempotent, func(c *conn) { _, _ = c.Read(make([]byte, 1)) }, 200, "done", []string{"u0 a", "u1 a"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			r := newTestGateway(t, tc.route, tc.first, serveDone)
			resp, body, err := r.send()
			is.NoErr(err)
			is.Equal(resp.StatusCode, tc.status)
			if tc.body != "" {
				is.Equal(body, tc.body)
				is.Equal(resp.Header.Get("Signature"), "s")
			}
			is.Equal(r.arrivals(), tc.arrivals)
		})
	}
}

// An address that now belongs to another upstream costs only one attempt, because it
// is not used again until the upstream list changes. After a zone has lost power there
// are many such addresses.
func TestReassignedAddresses(t *testing.T) {
	is := is.New(t)
	r := newTestGateway(t, routes.Route{Kind: routes.KindOnce, MaxAttempts: 1}, misdirect, misdirect, misdirect, misdirect, serveDone)
	resp, _, err := r.send()
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	for range 3 {
		_, _, err = r.send("Id", "b")
		is.NoErr(err)
	}
	counts := map[string]int{}
	for _, arrival := range r.arrivals() {
		counts[arrival[:2]]++
	}
	is.Equal(counts, map[string]int{"u0": 1, "u1": 1, "u2": 1, "u3": 1, "u4": 4})
}

// If every upstream fails, the caller gets an upstream's own failure unchanged. If the
// request ran nowhere, the answer has a Retry-After field.
func TestAllUpstreamsFail(t *testing.T) {
	route := routes.Route{Kind: routes.KindIdempotent, MaxAttempts: 2}
	cases := []struct {
		name          string
		first, second func(*conn)
		status        int
		retry         bool
	}{
		{"both failed", answerError, answerError, 500, false},
		{"one failed, one closed the connection", answerError, closeConn, 500, false},
		{"both closed the connection", closeConn, closeConn, 502, false},
		{"neither ran it", reportNotRun, reportNotRun, 503, true},
		{"connections refused", nil, nil, 503, true},
		{"connection refused, not run", nil, reportNotRun, 503, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			r := newTestGateway(t, route, tc.first, tc.second)
			resp, _, err := r.send()
			is.NoErr(err)
			is.Equal(resp.StatusCode, tc.status)
			is.Equal(resp.Header.Get("Retry-After") != "", tc.retry)
		})
	}
}

func TestRejections(t *testing.T) {
	keyed := func(r *testGateway) {
		r.table.Workspaces = []routes.Workspace{{ID: "choir", Keys: []string{"good"}}}
	}
	cases := []struct {
		name   string
		modify func(*testGateway)
		path   string
		fields []string
		status int
		retry  bool
	}{
		{"no id", nil, "/x", []string{"Id", ""}, 400, false},
		{"no route", func(r *testGateway) { r.table.Routes[0].Prefix = "/other/" }, "/x", nil, 404, false},
		{"an unknown key", keyed, "/x", []string{"Key", "bad"}, 401, false},
		{"no key", keyed, "/x", nil, 401, false},
		{"a key, and no workspaces", func(r *testGateway) { r.table.Workspaces = []routes.Workspace{} }, "/x", []string{"Key", "good"}, 401, false},
		{"no key, and no workspaces", func(r *testGateway) { r.table.Workspaces = []routes.Workspace{} }, "/x", nil, 401, false},
		{"no key, and a workspace with an empty key", func(r *testGateway) { r.table.Workspaces = []routes.Workspace{{ID: "choir", Keys: []string{""}}} }, "/x", nil, 401, false},
		{"unconfirmed keys of no workspaces", func(r *testGateway) { r.table.Workspaces, r.keys = []routes.Workspace{}, -time.Second }, "/x", nil, 503, true},
		{"a public route, and no workspaces", func(r *testGateway) { r.table.Workspaces, r.table.Routes[0].Public = []routes.Workspace{}, true }, "/x", nil, 200, false},
		{"no key where none are asked for", nil, "/x", nil, 200, false},
		{"a known key", keyed, "/x", []string{"Key", "good"}, 200, false},
		{"unconfirmed keys", func(r *testGateway) { keyed(r); r.keys = -time.Second }, "/x", []string{"Key", "good"}, 503, true},
		{"no key on a public route", func(r *testGateway) { keyed(r); r.table.Routes[0].Public = true }, "/x", nil, 200, false},
		{"a body over the limit", func(r *testGateway) { r.table.Limits.MaxBodyBytes = 3 }, "/x", nil, 413, false},
		{"all upstreams out of service", func(r *testGateway) { r.session.Out = func(fleet.Upstream) bool { return true } }, "/x", nil, 503, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			r := newTestGateway(t, routes.Route{Kind: routes.KindOnce}, serveDone)
			if tc.modify != nil {
				tc.modify(r)
				r.startServer()
			}
			resp, _, err := r.sendWith(context.Background(), "POST", tc.path, "order", tc.fields...)
			is.NoErr(err)
			is.Equal(resp.StatusCode, tc.status)
			is.Equal(resp.Header.Get("Retry-After") != "", tc.retry)
			is.Equal(len(r.arrivals()) > 0, tc.status == 200) // a rejected request has not run
		})
	}
}

func TestDeadlines(t *testing.T) {
	neverAnswer := func(c *conn) { _, _ = c.Read(make([]byte, 1)) }
	t.Run("the route's timeout", func(t *testing.T) {
		is := is.New(t)
		r := newTestGateway(t, routes.Route{Kind: routes.KindOnce, Timeout: 150 * time.Millisecond}, neverAnswer)
		began := time.Now()
		resp, _, err := r.send("Patience", "5000")
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusGatewayTimeout) // it may have run
		is.True(time.Since(began) >= 150*time.Millisecond)
	})
	t.Run("upstreams receive the remaining time", func(t *testing.T) {
		is := is.New(t)
		var remaining string
		r := newTestGateway(t, routes.Route{Kind: routes.KindOnce, Timeout: time.Minute}, func(c *conn) {
			remaining = c.request.Header.Get("Left")
			serveDone(c)
		})
		_, _, err := r.send("Patience", "700")
		is.NoErr(err)
		ms, err := strconv.Atoi(remaining)
		is.NoErr(err)
		is.True(ms > 0 && ms <= 700)
	})
	t.Run("a caller that disconnects", func(t *testing.T) {
		is := is.New(t)
		closed := make(chan struct{})
		r := newTestGateway(t, routes.Route{Kind: routes.KindOnce, Timeout: time.Minute}, func(c *conn) {
			_, _ = c.Read(make([]byte, 1))
			close(closed)
		})
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			for len(r.arrivals()) == 0 {
				time.Sleep(time.Millisecond)
			}
			cancel()
		}()
		_, _, err := r.sendWith(ctx, "POST", "/x", "order")
		is.True(err != nil)
		<-closed // the upstream's connection is closed
	})
}

// A broken stream resumes on another upstream, without missing or duplicated events,
// if the route allows it. If it can't resume, it never looks complete.
func TestStreams(t *testing.T) {
	resumable := routes.Route{Kind: routes.KindStream, MaxAttempts: 2, Resumable: true}
	single := routes.Route{Kind: routes.KindStream, MaxAttempts: 1}
	complete := func(c *conn) { c.beginStream(); c.writeEvents(1, 5); c.endStream() }
	cutAfter := func(id int, rest string) func(*conn) {
		return func(c *conn) {
			c.beginStream()
			c.writeEvents(1, id)
			if rest != "" {
				c.writeChunk(rest)
			}
		}
	}
	resume := func(c *conn) {
		after, err := strconv.Atoi(c.request.Header.Get("After"))
		if err != nil {
			after = 0
		}
		c.beginStream()
		c.writeEvents(after+1, 5)
		c.endStream()
	}
	cases := []struct {
		name          string
		route         routes.Route
		first, second func(*conn)
		body          string
		complete      bool
		arrivals      int
	}{
		{"complete", single, complete, nil, encodeEvents(1, 5), true, 1},
		{"cut, not resumable", single, cutAfter(3, ""), resume, encodeEvents(1, 3), false, 1},
		{"cut between events", resumable, cutAfter(3, ""), resume, encodeEvents(1, 5), true, 2},
		{"cut inside an event", resumable, cutAfter(3, "id: 4\ndata: pie"), resume, encodeEvents(1, 5), true, 2},
		{"cut before the first event", resumable, cutAfter(0, ""), resume, encodeEvents(1, 5), true, 2},
		{"no answer at all", resumable, closeConn, resume, encodeEvents(1, 5), true, 2},
		{"no answer, not resumable", single, closeConn, resume, "", false, 1},
		{"the second starts over", resumable, cutAfter(3, ""), complete, encodeEvents(1, 5), true, 2},
		{"the second omits an event", resumable, cutAfter(2, ""), func(c *conn) { c.beginStream(); c.writeEvents(4, 5); c.endStream() }, encodeEvents(1, 2), false, 2},
		{"the second breaks as well", resumable, cutAfter(2, ""), func(c *conn) { c.beginStream(); c.writeEvents(3, 3) }, encodeEvents(1, 3), false, 2},
		{"end inside an event", resumable, func(c *conn) { c.beginStream(); c.writeEvents(1, 2); c.writeChunk("id: 3\nda"); c.endStream() }, resume, encodeEvents(1, 5), true, 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			scripts := []func(*conn){tc.first}
			if tc.second != nil {
				scripts = append(scripts, tc.second)
			}
			r := newTestGateway(t, tc.route, scripts...)
			resp, body, err := r.send()
			is.Equal(len(r.arrivals()), tc.arrivals)
			if resp == nil || resp.StatusCode != http.StatusOK {
				is.True(!tc.complete && tc.body == "") // no stream was begun
				return
			}
			is.Equal(body, tc.body)
			is.Equal(err == nil, tc.complete)
		})
	}
}

// A caller that resumes a stream with the ID of its last event gets the events that
// follow.
func TestCallerResumes(t *testing.T) {
	is := is.New(t)
	r := newTestGateway(t, routes.Route{Kind: routes.KindStream, MaxAttempts: 2, Resumable: true}, func(c *conn) {
		is.Equal(c.request.Header.Get("After"), "3")
		c.beginStream()
		c.writeEvents(4, 5)
		c.endStream()
	})
	_, body, err := r.send("After", "3")
	is.NoErr(err)
	is.Equal(body, encodeEvents(4, 5))
}

// Retries stay within the operators' budget even if all requests fail.
func TestRetriesStayWithinBudget(t *testing.T) {
	is := is.New(t)
	r := newTestGateway(t, routes.Route{Kind: routes.KindIdempotent, MaxAttempts: 2}, answerError, answerError, answerError)
	r.balancer = balance.New(balance.Config{Retries: balance.RetryLimits{Ratio: 0.2, Window: time.Hour, Slack: 10}})
	var list []balance.ListedUpstream
	for i := range 3 {
		u := fleet.Upstream{ID: fleet.UpstreamID(fmt.Sprint("f", i)), Pool: poolName}
		u.Addr = r.startUpstream(string(u.ID), answerError)
		list = append(list, balance.ListedUpstream{Upstream: u})
	}
	r.balancer.SetUpstreams(0, list)
	r.startServer()
	const requests = 60
	for i := range requests {
		resp, _, err := r.send("Id", strconv.Itoa(i))
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusInternalServerError)
	}
	retries := len(r.arrivals()) - requests
	is.True(retries > 0)
	is.True(float64(retries) <= 0.2*requests+10)
}

// An answer that is no stream never reaches a caller whose stream has begun.
func TestErrorAnswerInsideAStream(t *testing.T) {
	cut := func(c *conn) { c.beginStream(); c.writeEvents(1, 2) }
	head := "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\nfailed"
	cases := []struct {
		name          string
		first, second func(*conn)
	}{
		{"a server error", cut, answerError},
		{"a client error", cut, func(c *conn) { c.writeAnswer(http.StatusBadRequest, "bad offset", "Signature: s") }},
		{"a success that is no stream", cut, serveDone},
		{"an empty success", cut, func(c *conn) { c.writeAnswer(http.StatusOK, "", "Signature: s") }},
		{"no content", cut, func(c *conn) { c.write("HTTP/1.1 204 X\r\nId: ", c.id, "\r\nConnection: close\r\n\r\n") }},
		{"a stream with an error status", cut, func(c *conn) {
			c.writeAnswer(http.StatusBadGateway, encodeEvent(3), "Content-Type: text/event-stream")
		}},
		{"an answer's head as a chunk", func(c *conn) { cut(c); c.writeChunk(head + "\n\n"); c.endStream() }, answerError},
		{"text as a chunk", func(c *conn) { cut(c); c.writeChunk("failed\n\n"); c.endStream() }, answerError},
		{"a field that no event has", func(c *conn) { cut(c); c.writeChunk("error: overloaded\n\n"); c.endStream() }, answerError},
		{"an answer's head inside an event", func(c *conn) { cut(c); c.writeChunk("id: 3\ndata: pi" + head + "\n\n"); c.endStream() }, answerError},
		{"an answer in place of a chunk", func(c *conn) { cut(c); c.write(head) }, answerError},
		{"an answer in a stream without a length", func(c *conn) {
			c.write("HTTP/1.1 200 OK\r\nId: ", c.id, "\r\nConnection: close\r\nContent-Type: text/event-stream\r\n\r\n", encodeEvents(1, 2), head)
		}, answerError},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			r := newTestGateway(t, routes.Route{Kind: routes.KindStream, MaxAttempts: 2, Resumable: true}, tc.first, tc.second)
			resp, body, err := r.send()
			is.True(resp != nil)
			is.True(err != nil) // the answer doesn't look complete
			is.Equal(body, encodeEvents(1, 2))
		})
	}
}

// A caller that has closed its sending side never gets an empty success for a request that was
// not served.
func TestHalfClosedCallerGetsNoImplicitAnswer(t *testing.T) {
	cases := []struct {
		name   string
		kind   routes.Kind
		script func(*conn)
	}{
		{"no answer", routes.KindOnce, func(c *conn) { _, _ = c.Read(make([]byte, 1)) }},
		{"a stream that has begun", routes.KindStream, func(c *conn) {
			c.beginStream()
			c.writeEvents(1, 2)
			_, _ = c.Read(make([]byte, 1))
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			r := newTestGateway(t, routes.Route{Kind: tc.kind}, tc.script)
			raw, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
			is.NoErr(err)
			defer raw.Close()
			_, err = io.WriteString(raw, "POST /x HTTP/1.1\r\nHost: "+testHost+"\r\nId: a\r\nContent-Length: 0\r\n\r\n")
			is.NoErr(err)
			r.awaitArrivals(1)
			is.NoErr(raw.(*net.TCPConn).CloseWrite())
			resp, err := http.ReadResponse(bufio.NewReader(raw), nil)
			if err == nil {
				_, err = io.ReadAll(resp.Body)
			}
			is.True(err != nil) // no complete answer
		})
	}
}

// Without a length, the end of the connection may be a crash.
func TestStreamWithoutLengthAndEventsCompletesNothing(t *testing.T) {
	is := is.New(t)
	r := newTestGateway(t, routes.Route{Kind: routes.KindStream, MaxAttempts: 2, Resumable: true}, func(c *conn) {
		c.beginStream()
		c.writeEvents(1, 2)
	}, func(c *conn) {
		c.write("HTTP/1.1 200 OK\r\nId: ", c.id, "\r\nConnection: close\r\nContent-Type: text/event-stream\r\n\r\n")
	})
	_, body, err := r.send()
	is.Equal(body, encodeEvents(1, 2))
	is.True(err != nil) // events 3 and later may be missing
}
