package gateway

import (
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
	for _, s := range r.balancer.Suspicions(time.Second) {
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
		r.MergeSuspicions(time.Second, []balance.Suspicion{{Part: deadly, Breaks: []balance.Break{{Upstream: uint64(i), Next: uint64(i)}}}})
	}
	for _, r := range routers {
		await(func() bool {
			part, _, ok := r.Quarantined(time.Second, []balance.PromptPart{{ID: deadly}, {ID: 7}})
			return ok && part == deadly
		})
	}
	routers[5].MergeSuspicions(time.Second, []balance.Suspicion{{Part: deadly, Served: true, SinceServed: -time.Second}})
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
		{Part: 1<<64 - 1, Breaks: []balance.Break{{Upstream: 1 << 63, Next: 2, Age: 1500 * time.Millisecond}, {Upstream: 3, Next: 4}}},
		{Part: 5, Served: true, SinceServed: 40 * time.Second},
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
	suspicion := balance.Suspicion{Part: 0xdd}
	for i := range uint64(3) {
		suspicion.Breaks = append(suspicion.Breaks, balance.Break{Upstream: i, Next: i, Age: time.Minute})
	}
	before.balancer.MergeSuspicions(time.Hour, []balance.Suspicion{suspicion, {Part: 0xee, Breaks: suspicion.Breaks[:1]}})
	_, end, ok := before.balancer.Quarantined(time.Hour, []balance.PromptPart{{ID: 0xdd}})
	is.True(ok)

	restarted := newRouter()
	restarted.applyNote(before.quarantineNote(), 4*time.Second)
	_, restored, ok := restarted.balancer.Quarantined(time.Hour, []balance.PromptPart{{ID: 0xdd}})
	is.True(ok)
	is.Equal(restored, end-4*time.Second) // the note doesn't prolong it
	is.Equal(len(restarted.balancer.Suspicions(time.Hour)), 1)

	restarted.applyNote([]byte("not a note"), 0)
	is.True(len(restarted.quarantineNote()) > 0)
}
