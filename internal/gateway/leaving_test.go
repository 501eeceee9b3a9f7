package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/balance"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/routes"
)

// Every kind of answer tells that its upstream leaves, and none after it may reach it.
func TestAnyAnswerTellsThatTheUpstreamLeaves(t *testing.T) {
	answer := func(status int, fields ...string) func(*conn) {
		return func(c *conn) { c.writeAnswer(status, "text", append(fields, "Leaving: 1")...) }
	}
	cases := []struct {
		name  string
		first func(*conn)
	}{
		{"a success", answer(http.StatusOK)},
		{"an answer without a body to read", answer(http.StatusNotFound)},
		{"a failure", answer(http.StatusInternalServerError)},
		{"a request that was not run", answer(http.StatusServiceUnavailable, "Not-Run: 1")},
		{"an unavailable upstream", answer(http.StatusServiceUnavailable)},
		{"a truncated answer", func(c *conn) {
			c.write("HTTP/1.1 200 OK\r\nId: ", c.id, "\r\nLeaving: 1\r\nContent-Length: 9\r\n\r\nhalf")
		}},
		{"a stream's head", func(c *conn) {
			c.write("HTTP/1.1 200 OK\r\nId: ", c.id, "\r\nLeaving: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			r := newTestGateway(t, routes.Route{Kind: routes.KindIdempotent, MaxAttempts: 2}, tc.first, serveDone)
			for id := range 5 {
				_, _, _ = r.send("Id", fmt.Sprint(id)) // the first may break off
			}
			reached := 0
			for _, arrival := range r.arrivals() {
				if arrival[:2] == "u0" {
					reached++
				}
			}
			is.Equal(reached, 1)
			leaving, _ := r.balancer.CountConditions(0)
			is.Equal(leaving, 1)
		})
	}
}

// Without this, the drain or full queue of an upstream raises its failure rate at all routers.
func TestTurningAwayIsNoFailure(t *testing.T) {
	for _, field := range []string{"Leaving: 1", "Rest: 1m"} {
		is := is.New(t)
		r := newTestGateway(t, routes.Route{Kind: routes.KindIdempotent, MaxAttempts: 2}, func(c *conn) {
			c.writeAnswer(http.StatusServiceUnavailable, "text", field)
		}, serveDone)
		_, _, err := r.send()
		is.NoErr(err)
		is.Equal(r.arrivals(), []string{"u0 a", "u1 a"})
		is.Equal(r.balancer.Activities(r.server.cfg.Clock())["u0"], balance.Activity{})
	}
}

// What one router is told reaches all others before the platform lists it, and the stream of
// a source carries it to followers of followers.
func TestRoutersShareLeavingUpstreams(t *testing.T) {
	is := is.New(t)
	routers, _ := startRouters(t, 6)
	a, b := testUpstream("a"), testUpstream("b")
	a.Boot, b.Boot = "7", "7"
	for _, r := range routers {
		r.lister.setList(nil, a, b)
	}
	for _, r := range routers {
		await(func() bool { return r.listsUpstream("a") })
		r.SetUpstreams(0, r.latest.upstreams())
	}
	routers[4].MergeLeavers(time.Second, []balance.Leaver{{Incarnation: balance.Incarnation{ID: "a", Boot: "7"}}})
	for _, r := range routers {
		await(func() bool { leaving, _ := r.CountConditions(0); return leaving == 1 })
	}
	for i, r := range routers {
		leavers := r.Leavers(2 * time.Second)
		is.Equal(len(leavers), 1)
		is.Equal(leavers[0].ID, a.ID)
		is.Equal(leavers[0].By == "router-4", i != 4)
	}
}

func TestLeavingUpstreamsSurviveEncoding(t *testing.T) {
	is := is.New(t)
	want := []balance.Leaver{
		{Incarnation: balance.Incarnation{ID: "a", Boot: "7"}, By: "router-2", Age: 1500 * time.Millisecond},
		{Incarnation: balance.Incarnation{ID: "b"}, By: "self"},
	}
	known := append([]balance.Leaver(nil), want...)
	known[1].By = "" // told to this router
	encoded, err := (&LoadReport{Leaving: (&upstreamList{upstreamListConfig: upstreamListConfig{self: fleet.Member{ID: "self"}}}).encodeLeaving(known)}).MarshalMsg(nil)
	is.NoErr(err)
	var r LoadReport
	_, err = r.UnmarshalMsg(encoded)
	is.NoErr(err)
	is.Equal(decodeLeaving(r.Leaving), want)

	for age, decoded := range map[int64]time.Duration{-5: 0, 1<<63 - 1: fleet.MaxDuration} {
		is.Equal(decodeLeaving([]LeavingUpstream{{Age: age}})[0].Age, decoded)
	}
}

// Routers of the release before send reports without leaving upstreams.
func TestReportOfAnEarlierRelease(t *testing.T) {
	is := is.New(t)
	encoded := []byte("\x85\xa1n\x03\xa1p\x91\x00\xa1c\x91\x02\xa1e\x91\x03\xa1f\x91\x01") // n: 3, p: [0], c: [2], e: [3], f: [1]
	var r LoadReport
	_, err := r.UnmarshalMsg(encoded)
	is.NoErr(err)
	is.Equal(r, LoadReport{Number: 3, Places: []uint16{0}, Running: []uint16{2}, Ended: []uint16{3}, Failed: []uint16{1}})
	encoded, err = r.MarshalMsg(nil)
	is.NoErr(err)
	var again LoadReport
	_, err = again.UnmarshalMsg(encoded)
	is.NoErr(err)
	is.Equal(again, r)
}
