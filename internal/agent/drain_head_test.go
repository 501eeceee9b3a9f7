package agent

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/routes"
)

// serveDraining serves one request on a connection, sends the first part of a head, and drains the
// server once that was read.
func serveDraining(t *testing.T, s *callerServer, part string) (c net.Conn, drained chan error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	c = dialServed(t, l.Addr().String())
	awaitStates(t, s, http.StateIdle, 1)
	if _, err := io.WriteString(c, part); err != nil {
		t.Fatal(err)
	}
	for begun := false; !begun; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		for conn, state := range s.conns {
			_, begun = state.headSince(conn)
		}
		s.mu.Unlock()
	}
	drained = make(chan error, 1)
	go func() { drained <- s.drain(t.Context()) }()
	<-served
	return c, drained
}

func TestDrainDropsRequestWhoseHeadHasBegun(t *testing.T) {
	is := is.New(t)
	s := newCallerServer(&http.Server{Handler: serveAll})
	c, drained := serveDraining(t, s, "GET / HTTP/1.1\r\n")
	time.Sleep(4 * drainPoll)
	_, err := io.WriteString(c, "Host: h\r\n\r\n")
	is.NoErr(err)
	status, err := readAnswer(c)
	is.NoErr(err) // the request was dropped
	is.Equal(status, http.StatusOK)
	is.NoErr(<-drained)
}

// A caller that never ends a head must not hold up a stop for longer than the header timeout.
func TestDrainAwaitsHeadForever(t *testing.T) {
	is := is.New(t)
	s := newCallerServer(&http.Server{Handler: serveAll})
	var limit atomic.Int64
	s.limits = func() routes.CallerLimits { return routes.CallerLimits{HeaderTimeout: time.Duration(limit.Load())} }
	_, drained := serveDraining(t, s, "GET / HTTP/1.1\r\n")
	select {
	case <-drained:
		t.Error("the head was given up without a limit")
	case <-time.After(4 * drainPoll):
	}
	limit.Store(int64(time.Millisecond))
	is.NoErr(<-drained)
	is.Equal(stopLine(t, s)["closed_in_head"], 1.0)
}
