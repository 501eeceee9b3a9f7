package agent

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/routes"
	"github.com/wigeonflow/wigeonflow/internal/settings"
	"github.com/wigeonflow/wigeonflow/internal/socket"
)

// limitedRouter is a plainRouter whose limits are those of a configuration.
type limitedRouter struct {
	plainRouter
	limits func() routes.CallerLimits
}

func (r limitedRouter) CallerLimits() routes.CallerLimits { return r.limits() }

// startLimitedRouter starts a process with a router whose configuration has limits.
func startLimitedRouter(t *testing.T, limits func() routes.CallerLimits, change func(*settings.Settings)) (*Agent, string) {
	t.Helper()
	s := settings.Settings{Instance: "i", Roles: []settings.Role{settings.RoleRouter}}
	addrs := freeAddrs(t, 2)
	s.Listen.Mesh, s.Listen.Callers = addrs[0], addrs[1]
	s = s.WithDefaults()
	change(&s)
	a, err := StartWith(t.Context(), s, io.Discard, Extension{
		Router: func(Parts, settings.Settings) Router { return limitedRouter{plainRouter{serveAll}, limits} },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = a.callers.Close() })
	return a, s.Listen.Callers
}

func unchanged(*settings.Settings) {}

// dialServed returns a connection on which one request was answered.
func dialServed(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	send(t, c)
	if _, err := readAnswer(c); err != nil {
		t.Fatal(err)
	}
	return c
}

// awaitStates waits until the server's HTTP/1 connections are n in the state.
func awaitStates(t *testing.T, s *callerServer, state http.ConnState, n int) {
	t.Helper()
	for count := -1; count != n; time.Sleep(time.Millisecond) {
		count = 0
		s.mu.Lock()
		for _, c := range s.conns {
			if c.ConnState == state {
				count++
			}
		}
		s.mu.Unlock()
	}
}

// The limit of the configuration was decoded and used nowhere: callers' idle connections took
// all descriptors of a router.
func TestIdleConnectionStaysOpen(t *testing.T) {
	is := is.New(t)
	a, addr := startLimitedRouter(t, func() routes.CallerLimits { return routes.CallerLimits{IdleTimeout: time.Millisecond} }, unchanged)
	c := dialServed(t, addr)
	is.NoErr(c.SetReadDeadline(time.Now().Add(time.Minute)))
	_, err := c.Read(make([]byte, 1))
	is.Equal(err, io.EOF) // the connection stays open
	awaitStates(t, a.callers, http.StateIdle, 0)
}

// A router without a configuration of its own has the limit of its settings.
func TestIdleConnectionOfOwnRouterStaysOpen(t *testing.T) {
	is := is.New(t)
	s := settings.Settings{Instance: "i", Roles: []settings.Role{settings.RoleRouter}}
	addrs := freeAddrs(t, 2)
	s.Listen.Mesh, s.Listen.Callers = addrs[0], addrs[1]
	s.Limits.IdleTimeout = time.Millisecond
	a, err := StartWith(t.Context(), s.WithDefaults(), io.Discard, Extension{
		Router: func(Parts, settings.Settings) Router { return plainRouter{serveAll} },
	})
	is.NoErr(err)
	defer func() { _ = a.callers.Close() }()
	c := dialServed(t, addrs[1])
	is.NoErr(c.SetReadDeadline(time.Now().Add(time.Minute)))
	_, err = c.Read(make([]byte, 1))
	is.Equal(err, io.EOF) // the connection stays open
}

// A connection is closed only once the limit in force has passed; 0 is no limit.
func TestIdleConnectionClosedBeforeLimitInForce(t *testing.T) {
	is := is.New(t)
	s := newCallerServer(&http.Server{Handler: serveAll})
	limit := time.Duration(0)
	s.limits = func() routes.CallerLimits { return routes.CallerLimits{IdleTimeout: limit} }
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = s.Server.Serve(callerListener{newOnceListener(l), s}) }()
	defer s.Close()
	c := dialServed(t, l.Addr().String())
	awaitStates(t, s, http.StateIdle, 1)
	began := time.Now()
	s.closeExpired(began.Add(24 * time.Hour)) // no limit
	send(t, c)
	_, err = readAnswer(c)
	is.NoErr(err)
	awaitStates(t, s, http.StateIdle, 1)
	limit = time.Hour
	s.closeExpired(began.Add(time.Hour)) // idle since a moment after began
	send(t, c)
	_, err = readAnswer(c)
	is.NoErr(err)
	awaitStates(t, s, http.StateIdle, 1)
	limit = time.Minute
	for err == nil { // net/http may set its own deadline after it has counted the connection as idle
		s.closeExpired(time.Now().Add(2 * time.Minute))
		is.NoErr(c.SetReadDeadline(time.Now().Add(10 * time.Millisecond)))
		if _, err = c.Read(make([]byte, 1)); os.IsTimeout(err) {
			err = nil
		}
	}
	is.Equal(err, io.EOF)
	awaitStates(t, s, http.StateIdle, 0)
	is.Equal(s.closedIdle.Count(), int64(1))
}

// A part of the next request's head lies in the receive buffer, or net/http has read it, while
// its connection still counts as idle.
func TestIdleTimeoutDropsRequestThatHasBegun(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	caller, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer caller.Close()
	s := newCallerServer(&http.Server{})
	c, err := callerListener{newOnceListener(l), s}.Accept()
	is.NoErr(err)
	defer c.Close()
	s.limits = func() routes.CallerLimits { return routes.CallerLimits{IdleTimeout: time.Second} }
	s.trackState(c, http.StateIdle)
	_, err = io.WriteString(caller, "GET")
	is.NoErr(err)
	arrived, err := c.(*callerConn).Conn.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	is.NoErr(arrived.Read(func(uintptr) bool { return socket.Unread(c.(*callerConn).Conn) }))
	s.closeExpired(time.Now().Add(time.Hour)) // not read
	_, err = io.ReadFull(c, make([]byte, 3))
	is.NoErr(err)
	s.closeExpired(time.Now().Add(time.Hour)) // read
	_, err = io.WriteString(caller, " / HTTP/1.1")
	is.NoErr(err)
	_, err = c.Read(make([]byte, 1))
	is.NoErr(err) // the rest of the request was dropped
}

// A connection that never sends a first request ends after the header timeout.
func TestUnusedConnectionStaysOpen(t *testing.T) {
	is := is.New(t)
	_, addr := startLimitedRouter(t, func() routes.CallerLimits { return routes.CallerLimits{HeaderTimeout: time.Millisecond} }, unchanged)
	c, err := net.Dial("tcp", addr)
	is.NoErr(err)
	defer c.Close()
	is.NoErr(c.SetReadDeadline(time.Now().Add(time.Minute)))
	_, err = c.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
}

// The header timeout of the configuration was decoded and used nowhere.
func TestHeadIsAwaitedForLongerThanConfigured(t *testing.T) {
	for _, served := range []bool{false, true} {
		t.Run(map[bool]string{false: "first", true: "next"}[served], func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			s := newCallerServer(&http.Server{Handler: serveAll})
			s.limits = func() routes.CallerLimits { return routes.CallerLimits{HeaderTimeout: time.Millisecond} }
			go func() { _ = s.Serve(l) }()
			defer s.Close()
			c, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			defer c.Close()
			if served {
				c = dialServed(t, l.Addr().String())
			}
			_, err = io.WriteString(c, "GET / HTTP/1.1\r\n")
			is.NoErr(err)
			is.NoErr(c.SetReadDeadline(time.Now().Add(time.Minute)))
			_, err = c.Read(make([]byte, 1))
			is.Equal(err, io.EOF) // the head is awaited
		})
	}
}

// Near the bound the connection that has been idle for longest is closed, and no other.
func TestIdleConnectionsKeepNewCallersOut(t *testing.T) {
	is := is.New(t)
	a, addr := startLimitedRouter(t, func() routes.CallerLimits { return routes.CallerLimits{} }, func(s *settings.Settings) { s.Limits.MaxConnections = 3 })
	longest := dialServed(t, addr)
	awaitStates(t, a.callers, http.StateIdle, 1)
	second := dialServed(t, addr)
	awaitStates(t, a.callers, http.StateIdle, 2)
	dialServed(t, addr)
	is.NoErr(longest.SetReadDeadline(time.Now().Add(time.Minute)))
	_, err := longest.Read(make([]byte, 1))
	is.Equal(err, io.EOF) // the connections in use exceed the bound
	send(t, second)
	_, err = readAnswer(second)
	is.NoErr(err)
	awaitStates(t, a.callers, http.StateIdle, 2)
	is.NoErr(a.callers.checkRoom())
	is.Equal(a.callers.closedIdle.Count(), int64(1))
}

// The balancer sends no new connections to a router that can't accept them.
func TestFullRouterIsReady(t *testing.T) {
	is := is.New(t)
	a, _ := startLimitedRouter(t, func() routes.CallerLimits { return routes.CallerLimits{} }, unchanged)
	ready := func() int {
		w := httptest.NewRecorder()
		a.serveReady(w, nil)
		return w.Code
	}
	is.Equal(ready(), http.StatusOK)
	a.callers.mu.Lock()
	a.callers.full = true
	a.callers.mu.Unlock()
	is.Equal(ready(), http.StatusServiceUnavailable)
}

// All callers' connections are in use: the next one waits, the router isn't ready, and a stop
// accepts it without waiting for room.
func TestFullRouterAcceptsOrSaysReady(t *testing.T) {
	for _, stopped := range []bool{false, true} {
		t.Run(map[bool]string{false: "room", true: "stop"}[stopped], func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			started, end := make(chan struct{}, 3), make(chan struct{})
			s := newCallerServer(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				started <- struct{}{}
				<-end
				serveAll(w, r)
			})})
			s.bound = 2
			served := make(chan error, 1)
			go func() { served <- s.Serve(l) }()
			defer s.Close()
			var conns []net.Conn
			for range 3 {
				c, err := net.Dial("tcp", l.Addr().String())
				is.NoErr(err)
				defer c.Close()
				send(t, c)
				conns = append(conns, c)
			}
			<-started
			<-started
			for s.checkRoom() == nil {
				time.Sleep(time.Millisecond)
			}
			is.Equal(len(started), 0) // the third was accepted
			if stopped {
				drained := make(chan error, 1)
				go func() { drained <- s.drain(t.Context()) }()
				is.Equal(<-served, http.ErrServerClosed)
				close(end)
				defer func() { is.NoErr(<-drained) }()
			} else {
				close(end)
			}
			for _, c := range conns {
				status, err := readAnswer(c)
				is.NoErr(err)
				is.Equal(status, http.StatusOK)
			}
		})
	}
}

// The header limit of the configuration was decoded and used nowhere.
func TestHeadLongerThanConfiguredIsServed(t *testing.T) {
	is := is.New(t)
	var limits atomic.Pointer[routes.CallerLimits]
	limits.Store(&routes.CallerLimits{MaxHeaderBytes: 100})
	_, addr := startLimitedRouter(t, func() routes.CallerLimits { return *limits.Load() }, unchanged)
	ask := func(length int) int {
		c, err := net.Dial("tcp", addr)
		is.NoErr(err)
		defer c.Close()
		head := "GET / HTTP/1.1\r\nHost: h\r\nX-Long: "
		_, err = io.WriteString(c, head+strings.Repeat("x", length-len(head)-len("\r\n"))+"\r\n\r\n")
		is.NoErr(err)
		status, err := readAnswer(c)
		is.NoErr(err)
		return status
	}
	is.Equal(ask(100), http.StatusOK)
	is.Equal(ask(101), http.StatusRequestHeaderFieldsTooLarge)
	limits.Store(&routes.CallerLimits{})
	is.Equal(ask(101), http.StatusOK) // no limit
}

// A caller whose body isn't read to its end must get the end of its answer before the reset that
// follows, and not only with it.
func TestAnswerEndsWithReset(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	caller, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer caller.Close()
	c, err := callerListener{newOnceListener(l), newCallerServer(&http.Server{})}.Accept()
	is.NoErr(err)
	defer c.Close()
	half, ok := c.(interface{ CloseWrite() error }) // as net/http asks
	is.True(ok)
	is.NoErr(half.CloseWrite())
	_, err = caller.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
}

// Without a usable header timeout of the configuration the router's own one is in force.
func TestHeadIsAwaitedForever(t *testing.T) {
	for _, timeout := range []time.Duration{0, -time.Second} {
		is := is.New(t)
		a, _ := startLimitedRouter(t, func() routes.CallerLimits { return routes.CallerLimits{HeaderTimeout: timeout} }, unchanged)
		is.Equal(a.callerLimits().HeaderTimeout, headerTimeout)
	}
}
