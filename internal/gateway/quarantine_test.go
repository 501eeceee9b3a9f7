package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/tinylib/msgp/msgp"

	"github.com/wigeonflow/wigeonflow/internal/balance"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/routes"
)

// endOnDeadlyPart breaks off the answer to a prompt with the part dd before its first event.
func endOnDeadlyPart(c *conn) {
	c.beginStream()
	if strings.Contains(c.request.Header.Get("Parts"), "dd") {
		return
	}
	c.writeEvents(0, 3)
	c.endStream()
}

func TestDeadlyPromptPartStopsReachingUpstreams(t *testing.T) {
	is := is.New(t)
	scripts := make([]func(*conn), 8)
	for i := range scripts {
		scripts[i] = endOnDeadlyPart
	}
	r := newTestGateway(t, routes.Route{Kind: routes.KindStream, Resumable: true, MaxAttempts: 2}, scripts...)
	r.table.Pools[0].Engine = &routes.Engine{Slots: 8}
	r.startServer()
	send := func(id int, parts string) *http.Response {
		resp, _, err := r.send("Id", fmt.Sprint(id), "Parts", fmt.Sprintf("%s,f%02x", parts, id))
		if err != nil {
			return &http.Response{} // the answer broke off
		}
		return resp
	}
	is.Equal(send(0, "aa,bb").StatusCode, http.StatusOK)
	for id := range 4 {
		send(10+id, "aa,dd")
	}
	reached := len(r.arrivals())
	is.True(reached <= 1+2*3) // three requests, each at two upstreams
	for id := range 10 {
		resp := send(20+id, "aa,dd")
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		is.True(resp.Header.Get("Retry-After") != "")
	}
	is.Equal(len(r.arrivals()), reached)
	is.Equal(send(40, "aa,bb").StatusCode, http.StatusOK)
	is.Equal(send(41, "aa,cc").StatusCode, http.StatusOK)
}

// An upstream that closes a connection which was idle says nothing about the prompt.
func TestClosedIdleConnectionIsNoBreak(t *testing.T) {
	is := is.New(t)
	closeSecond := func(c *conn) {
		c.write(fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", c.id, len(encodeEvent(0)), encodeEvent(0)))
		_, _ = c.Read(make([]byte, 1)) // the next request
	}
	r := newTestGateway(t, routes.Route{Kind: routes.KindStream, Resumable: true, MaxAttempts: 1}, closeSecond)
	r.table.Pools[0].Engine = &routes.Engine{Slots: 8}
	r.startServer()
	failed := 0
	for id := range 6 {
		resp, _, err := r.send("Id", fmt.Sprint(id), "Parts", fmt.Sprintf("aa,%02x,f%02x", id, id))
		is.NoErr(err)
		if resp.StatusCode != http.StatusOK {
			failed++
		}
	}
	is.True(failed > 0)
	suspicions, _ := r.balancer.Suspicions(time.Second, 0)
	for _, s := range suspicions {
		is.Equal(len(s.Breaks), 0)
	}
}

func TestRoutersShareSuspicions(t *testing.T) {
	is := is.New(t)
	routers, _ := startRouters(t, 6)
	for _, r := range routers {
		r.lister.setList(nil, testUpstream("a"))
	}
	for _, r := range routers {
		await(func() bool { return r.listsUpstream("a") })
	}
	const deadly = 0xdd
	for i, r := range routers[:3] { // each router sees one upstream end
		r.MergeSuspicions(time.Second, []balance.Suspicion{{Key: balance.PartKey(deadly), Breaks: []balance.Break{{Upstream: uint64(i), Next: uint64(i)}}}})
	}
	for _, r := range routers {
		await(func() bool {
			part, _, ok := r.Quarantined(time.Second, []balance.PromptPart{{ID: deadly}, {ID: 7}})
			return ok && part == deadly
		})
	}
	routers[5].MergeSuspicions(time.Second, []balance.Suspicion{{Key: balance.PartKey(deadly), Served: true, SinceServed: -time.Second}})
	for _, r := range routers {
		await(func() bool {
			_, _, ok := r.Quarantined(time.Second, []balance.PromptPart{{ID: deadly}, {ID: 7}})
			return !ok
		})
	}
	is.Equal(len(routers), 6)
}

func TestSuspicionsSurviveEncoding(t *testing.T) {
	is := is.New(t)
	want := []balance.Suspicion{
		{Key: balance.PartKey(1<<64 - 1), Breaks: []balance.Break{{Upstream: 1 << 63, Next: 2, Age: 1500 * time.Millisecond}, {Upstream: 3, Next: 4}}},
		{Key: balance.PartKey(5), Served: true, SinceServed: 40 * time.Second},
	}
	encoded, err := (&LoadReport{Suspicions: encodeSuspicions(want)}).MarshalMsg(nil)
	is.NoErr(err)
	var r LoadReport
	_, err = r.UnmarshalMsg(encoded)
	is.NoErr(err)
	got := decodeSuspicions(r.Suspicions)
	got[1].Breaks = want[1].Breaks
	got[0].SinceServed = 0
	is.Equal(got, want)
}

// Without the note, routers that all restart send on what ended upstreams before.
func TestQuarantineNoteRestoresAQuarantine(t *testing.T) {
	is := is.New(t)
	newRouter := func() *Router {
		return &Router{cfg: Config{Clock: func() time.Duration { return time.Hour }}, log: hclog.NewNullLogger(), balancer: balance.New(balance.Config{})}
	}
	before := newRouter()
	is.Equal(len(before.quarantineNote()), 0)
	suspicion := balance.Suspicion{Key: balance.PartKey(0xdd)}
	for i := range uint64(3) {
		suspicion.Breaks = append(suspicion.Breaks, balance.Break{Upstream: i, Next: i, Age: time.Minute})
	}
	before.balancer.MergeSuspicions(time.Hour, []balance.Suspicion{suspicion, {Key: balance.PartKey(0xee), Breaks: suspicion.Breaks[:1]}})
	_, end, ok := before.balancer.Quarantined(time.Hour, []balance.PromptPart{{ID: 0xdd}})
	is.True(ok)

	restarted := newRouter()
	is.Equal(noteID(before.quarantineNote()), noteID(before.quarantineNote()))
	is.True(noteID(before.quarantineNote()) != noteID([]byte("not a note")))
	restarted.applyNote(before.quarantineNote(), 4*time.Second)
	_, restored, ok := restarted.balancer.Quarantined(time.Hour, []balance.PromptPart{{ID: 0xdd}})
	is.True(ok)
	is.Equal(restored, end-4*time.Second) // the note doesn't prolong it
	known, _ := restarted.balancer.Suspicions(time.Hour, 0)
	is.Equal(len(known), 1)

	restarted.applyNote([]byte("not a note"), 0)
	is.True(len(restarted.quarantineNote()) > 0)
}

// serveUnlessDeadly closes the connection of a request for /deadly without an answer, or after
// the events of a stream, and serves all others.
func serveUnlessDeadly(kind routes.Kind) func(*conn) {
	return func(c *conn) {
		deadly := c.request.URL.Path == "/deadly"
		switch {
		case kind == routes.KindStream:
			c.beginStream()
			c.writeEvents(0, 4)
			if !deadly {
				c.endStream()
			}
		case !deadly:
			serveDone(c)
		}
	}
}

// A request has a new ID each time it comes, and may come to any router.
func TestDeadlyRequestStopsReachingUpstreams(t *testing.T) {
	for _, route := range []routes.Route{
		{Kind: routes.KindStream, MaxAttempts: 1},
		{Kind: routes.KindStream, Resumable: true, MaxAttempts: 2},
		{Kind: routes.KindIdempotent, MaxAttempts: 2},
		{Kind: routes.KindOnce, MaxAttempts: 1},
	} {
		t.Run(fmt.Sprint(kindNames[route.Kind], " ", route.MaxAttempts), func(t *testing.T) {
			is := is.New(t)
			script := serveUnlessDeadly(route.Kind)
			r := newTestGateway(t, route, script, script, script, script, script, script)
			if route.Kind == routes.KindStream {
				r.table.Pools[0].Engine = &routes.Engine{Slots: 8}
				r.startServer()
			}
			send := func(id int, path, body string) *http.Response {
				resp, _, err := r.sendWith(context.Background(), "POST", path, body, "Id", fmt.Sprint(id))
				if err != nil {
					return &http.Response{} // the answer broke off
				}
				return resp
			}
			is.Equal(send(0, "/sound", "order").StatusCode, http.StatusOK)
			reached, rejected := make(map[string]bool), 0
			for id := range 30 {
				before := len(r.arrivals())
				resp := send(100+id, "/deadly", "order")
				for _, arrival := range r.arrivals()[before:] {
					is.Equal(rejected, 0) // once it is quarantined, it reaches no upstream
					reached[strings.Fields(arrival)[0]] = true
				}
				if resp.StatusCode == http.StatusServiceUnavailable && len(reached) == 3 {
					is.True(resp.Header.Get("Retry-After") != "")
					rejected++
				}
			}
			is.Equal(len(reached), 3)
			is.True(rejected > 0)
			is.Equal(send(200, "/sound", "order").StatusCode, http.StatusOK)
			is.Equal(send(201, "/sound", "another order").StatusCode, http.StatusOK)
		})
	}
}

// Each router sees one upstream end under the request.
func TestDeadlyRequestStopsAtAllRouters(t *testing.T) {
	is := is.New(t)
	script := serveUnlessDeadly(routes.KindOnce)
	r := newTestGateway(t, routes.Route{Kind: routes.KindOnce, MaxAttempts: 1}, script, script, script)
	var urls []string
	var balancers []*balance.Balancer
	for i := range r.upstreams {
		r.balancer = newTestBalancer()
		r.listUpstreams(r.upstreams[i : i+1])
		r.startServer()
		urls, balancers = append(urls, r.url), append(balancers, r.balancer)
	}
	send := func(router int, path, id string) int {
		r.url = urls[router]
		resp, _, err := r.sendWith(context.Background(), "POST", path, "order", "Id", id)
		is.NoErr(err)
		return resp.StatusCode
	}
	for router := range urls {
		is.Equal(send(router, "/deadly", fmt.Sprint("a", router)), http.StatusBadGateway)
	}
	now := fleet.MonotonicClock()()
	for _, from := range balancers {
		for _, to := range balancers {
			suspicions, _ := from.Suspicions(now, 0)
			to.MergeSuspicions(now, suspicions)
		}
	}
	reached := len(r.arrivals())
	for router := range urls {
		is.Equal(send(router, "/deadly", fmt.Sprint("b", router)), http.StatusServiceUnavailable)
		is.Equal(len(r.arrivals()), reached)
		is.Equal(send(router, "/sound", fmt.Sprint("c", router)), http.StatusOK)
		reached++
	}
}

// A service keeps its connections: most requests that end it come on one that was used before.
func TestBreakOnKeptConnectionCountsAgainstRequest(t *testing.T) {
	is := is.New(t)
	closeSecond := func(c *conn) {
		c.write("HTTP/1.1 200 OK\r\nId: ", c.id, "\r\nContent-Length: 4\r\n\r\ndone")
		_, _ = c.Read(make([]byte, 1)) // the next request
	}
	r := newTestGateway(t, routes.Route{Kind: routes.KindOnce, MaxAttempts: 1}, closeSecond)
	for i, want := range []int{http.StatusOK, http.StatusBadGateway} {
		resp, _, err := r.sendWith(context.Background(), "POST", "/x", fmt.Sprint("order ", i), "Id", fmt.Sprint(i))
		is.NoErr(err)
		is.Equal(resp.StatusCode, want)
	}
	suspicions, _ := r.balancer.Suspicions(time.Second, 0)
	is.Equal(len(suspicions), 1)
	is.Equal(suspicions[0].Key.Kind, balance.SuspectRequest)
	is.Equal(len(suspicions[0].Breaks), 1)
}

// An answer that the router itself doesn't accept says nothing about the upstream's end.
func TestAnswerOverTheLimitIsNoBreak(t *testing.T) {
	is := is.New(t)
	r := newTestGateway(t, routes.Route{Kind: routes.KindOnce, MaxAttempts: 1}, func(c *conn) {
		c.writeAnswer(http.StatusOK, strings.Repeat("x", maxAnswerBytes+1))
	})
	resp, _, err := r.send()
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusBadGateway)
	suspicions, _ := r.balancer.Suspicions(time.Second, 0)
	is.Equal(len(suspicions), 0)
}

func TestRoutersShareRequestQuarantine(t *testing.T) {
	routers, _ := startRouters(t, 6)
	for _, r := range routers {
		r.lister.setList(nil, testUpstream("a"))
	}
	for _, r := range routers {
		await(func() bool { return r.listsUpstream("a") })
	}
	const deadly = 0xdead
	for i, r := range routers[:3] {
		r.MergeSuspicions(time.Second, []balance.Suspicion{{Key: balance.RequestKey(deadly), Breaks: []balance.Break{{Upstream: uint64(i)}}}})
	}
	for _, r := range routers {
		await(func() bool {
			_, ok := r.RequestQuarantined(time.Second, deadly)
			return ok
		})
	}
}

func TestQuarantineNoteRestoresRequestQuarantine(t *testing.T) {
	is := is.New(t)
	newRouter := func() *Router {
		return &Router{cfg: Config{Clock: func() time.Duration { return time.Hour }}, log: hclog.NewNullLogger(), balancer: balance.New(balance.Config{})}
	}
	before, restarted := newRouter(), newRouter()
	suspicion := balance.Suspicion{Key: balance.RequestKey(0xdead)}
	for i := range uint64(3) {
		suspicion.Breaks = append(suspicion.Breaks, balance.Break{Upstream: i, Age: time.Minute})
	}
	before.balancer.MergeSuspicions(time.Hour, []balance.Suspicion{suspicion})
	end, ok := before.balancer.RequestQuarantined(time.Hour, 0xdead)
	is.True(ok)
	restarted.applyNote(before.quarantineNote(), 4*time.Second)
	restored, ok := restarted.balancer.RequestQuarantined(time.Hour, 0xdead)
	is.True(ok)
	is.Equal(restored, end-4*time.Second)
	_, _, ok = restarted.balancer.Quarantined(time.Hour, []balance.PromptPart{{ID: 0xdead}, {ID: 1}})
	is.True(!ok) // a part with the same number is another suspect
}

// Routers of the release before know of prompt parts alone.
func TestSuspicionsOfFormerReleaseDecode(t *testing.T) {
	is := is.New(t)
	b := msgp.AppendMapHeader(nil, 3)
	b = msgp.AppendUint64(msgp.AppendString(b, "p"), 0xdd)
	b = msgp.AppendInt64(msgp.AppendString(b, "s"), -1)
	b = msgp.AppendArrayHeader(msgp.AppendString(b, "b"), 1)
	b = msgp.AppendMapHeader(b, 3)
	b = msgp.AppendUint64(msgp.AppendString(b, "u"), 7)
	b = msgp.AppendUint64(msgp.AppendString(b, "n"), 8)
	b = msgp.AppendInt64(msgp.AppendString(b, "a"), 1500)
	var s Suspicion
	_, err := s.UnmarshalMsg(b)
	is.NoErr(err)
	is.Equal(decodeSuspicions([]Suspicion{s}), []balance.Suspicion{{
		Key: balance.PartKey(0xdd), Breaks: []balance.Break{{Upstream: 7, Next: 8, Age: 1500 * time.Millisecond}},
	}})
}

func TestFingerprintTellsRequestsApart(t *testing.T) {
	is := is.New(t)
	of := func(method, host, target, workspace, body string) uint64 {
		return fingerprint(&http.Request{Method: method, Host: host, RequestURI: target, Header: http.Header{"Id": {fmt.Sprint(time.Now())}}}, fleet.WorkspaceID(workspace), []byte(body))
	}
	seen := map[uint64]bool{of("POST", "press.example", "/a/b?c=1", "w", "order"): true}
	is.True(seen[of("POST", "press.example", "/a/b?c=1", "w", "order")])
	for _, other := range []uint64{
		of("PUT", "press.example", "/a/b?c=1", "w", "order"), of("POST", "wick.example", "/a/b?c=1", "w", "order"),
		of("POST", "press.example", "/a/b?c=2", "w", "order"), of("POST", "press.example", "/a/b?c=1", "v", "order"),
		of("POST", "press.example", "/a/b?c=1", "w", "Order"), of("POST", "press.example", "/a/b?c=1", "wo", "rder"),
		of("POST", "press.example", "/a/b?c=1", "", ""),
	} {
		is.True(!seen[other])
		seen[other] = true
	}
}

func TestRequestSuspicionsSurviveEncoding(t *testing.T) {
	is := is.New(t)
	want := []balance.Suspicion{{
		Key: balance.RequestKey(1<<64 - 1), Served: true, SinceServed: time.Second,
		Breaks: []balance.Break{{Upstream: 1 << 63, Late: true, Age: 1500 * time.Millisecond}, {Upstream: 3}},
	}}
	encoded, err := (&LoadReport{Suspicions: encodeSuspicions(want)}).MarshalMsg(nil)
	is.NoErr(err)
	var r LoadReport
	_, err = r.UnmarshalMsg(encoded)
	is.NoErr(err)
	is.Equal(decodeSuspicions(r.Suspicions), want)
}
