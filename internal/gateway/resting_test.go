package gateway

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/balance"
	"github.com/wigeonflow/wigeonflow/internal/routes"
)

// turnAway returns a script that turns requests away for a time.
func turnAway(rest time.Duration) func(*conn) {
	return func(c *conn) {
		c.writeAnswer(http.StatusServiceUnavailable, "full", "Not-Run: 1", "Rest: "+rest.String())
	}
}

// Requests, retries and resumed streams of all routes spare an upstream that turned one away.
func TestRestingUpstreamGetsNoRequest(t *testing.T) {
	cutOnce := func(c *conn) {
		c.beginStream()
		if c.request.Header.Get("After") == "" {
			c.writeEvents(1, 2)
			return
		}
		c.writeEvents(3, 5)
		c.endStream()
	}
	for name, route := range map[string]routes.Route{
		"once": {Kind: routes.KindOnce}, "idempotent": {Kind: routes.KindIdempotent, MaxAttempts: 2},
		"stream": {Kind: routes.KindStream, Resumable: true, MaxAttempts: 3},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			scripts := []func(*conn){turnAway(time.Minute), serveDone, answerError}
			if route.Kind == routes.KindStream {
				scripts = []func(*conn){turnAway(time.Minute), cutOnce, cutOnce}
			}
			r := newTestGateway(t, route, scripts...)
			for id := range 20 {
				_, _, _ = r.send("Id", fmt.Sprint(id)) // some break off
			}
			turnedAway := 0
			for _, arrival := range r.arrivals() {
				if strings.HasPrefix(arrival, "u0 ") {
					turnedAway++
				}
			}
			is.Equal(turnedAway, 1)
			is.True(len(r.arrivals()) > 20)
		})
	}
}

// Callers that come back in one wave are turned away again in one wave.
func TestCallersReturnAfterTheRest(t *testing.T) {
	is := is.New(t)
	const rest = time.Minute
	r := newTestGateway(t, routes.Route{Kind: routes.KindOnce, Timeout: time.Minute}, turnAway(rest))
	began := time.Now()
	var tenths [10]int
	for id := range 300 {
		resp, _, err := r.send("Id", fmt.Sprint(id))
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		wait, err := time.ParseDuration(resp.Header.Get("Retry-After"))
		is.NoErr(err)
		left := rest - time.Since(began)
		is.True(wait >= left)
		is.True(wait < rest+maxRestSpread)
		tenths[min(int((wait-left)*10/maxRestSpread), 9)]++
	}
	is.Equal(len(r.arrivals()), 1)
	for _, n := range tenths {
		is.True(n >= 10 && n <= 60) // of 300, 30 in each tenth on average
	}
}

func TestSpreadOfReturningCallersIsBounded(t *testing.T) {
	is := is.New(t)
	for rest, most := range map[time.Duration]time.Duration{10 * time.Millisecond: retrySpread, time.Hour: maxRestSpread} {
		r := newTestGateway(t, routes.Route{Kind: routes.KindOnce, Timeout: time.Minute}, turnAway(rest))
		for id := range 20 {
			resp, _, err := r.send("Id", fmt.Sprint(id))
			is.NoErr(err)
			wait, err := time.ParseDuration(resp.Header.Get("Retry-After"))
			is.NoErr(err)
			is.True(wait > 0 && wait <= rest+max(most, retryBase+retrySpread))
		}
	}
}

// An upstream that leaves has no time to come back at.
func TestCallersRetrySoonIfAllUpstreamsLeave(t *testing.T) {
	is := is.New(t)
	r := newTestGateway(t, routes.Route{Kind: routes.KindOnce}, func(c *conn) {
		c.writeAnswer(http.StatusServiceUnavailable, "leaving", "Not-Run: 1", "Leaving: 1")
	})
	for range 3 {
		resp, _, err := r.send()
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		wait, err := time.ParseDuration(resp.Header.Get("Retry-After"))
		is.NoErr(err)
		is.True(wait >= retryBase && wait <= retryBase+retrySpread)
	}
	is.Equal(len(r.arrivals()), 1)
}

func TestConditionsAreLogged(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	r := &Router{log: hclog.New(&hclog.LoggerOptions{Output: &out})}
	u := testUpstream("a")
	u.Boot = "7"
	for _, t := range []balance.Transition{
		{Upstream: u, By: "router-3"}, {Upstream: u, By: balance.ByList, Ended: true, For: 5 * time.Second},
		{Upstream: u, Condition: balance.Resting, By: balance.ByAnswer, For: 1500 * time.Millisecond},
		{Upstream: u, Condition: balance.Resting, By: balance.ByAnswer, Ended: true, For: 2 * time.Second},
	} {
		r.logTransition(t)
	}
	r.logMalformed(u, "Retry-After: soon")
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 5)
	for i, want := range []string{
		"upstream leaves: no new work until it is gone: upstream=a boot=7 pool=pool by=router-3",
		"upstream no longer leaves: it is gone, restarted or listed as ready: upstream=a boot=7 pool=pool by=list lasted=5s",
		"upstream rests: it has turned this router away: upstream=a boot=7 pool=pool by=answer for=1.5s",
		"upstream no longer rests: upstream=a boot=7 pool=pool by=answer lasted=2s",
		"malformed header fields of an upstream: upstream=a boot=7 fields=\"Retry-After: soon\"",
	} {
		is.True(strings.HasSuffix(lines[i], want))
	}
}
