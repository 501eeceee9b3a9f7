package agent

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"github.com/wigeonflow/wigeonflow/internal/settings"
	"github.com/wigeonflow/wigeonflow/internal/socket"
)

// plainRouter passes each request to its handler and stops at once.
type plainRouter struct{ handler http.Handler }

func (r plainRouter) Handler() http.Handler    { return r.handler }
func (plainRouter) Ready() error               { return nil }
func (plainRouter) Start()                     {}
func (plainRouter) Drain(context.Context)      {}
func (plainRouter) Stop(context.Context) error { return nil }

var serveAll = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "served") })

// freeAddrs returns n different loopback addresses that no process listens on.
func freeAddrs(t *testing.T, n int) (addrs []string) {
	t.Helper()
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close() // after all were chosen
		addrs = append(addrs, l.Addr().String())
	}
	return addrs
}

// startRouter starts a process with the router role and returns it with its callers' address.
func startRouter(t *testing.T, handler http.Handler) (*Agent, string) {
	t.Helper()
	s := settings.Settings{Instance: "i", Roles: []settings.Role{settings.RoleRouter}}
	addrs := freeAddrs(t, 2)
	s.Listen.Mesh, s.Listen.Callers = addrs[0], addrs[1]
	s = s.WithDefaults()
	a, err := StartWith(t.Context(), s, io.Discard, Extension{
		Router: func(Parts, settings.Settings) Router { return plainRouter{handler} },
	})
	if err != nil {
		t.Fatal(err)
	}
	return a, s.Listen.Callers
}

func send(t *testing.T, c net.Conn) {
	t.Helper()
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
}

// readAnswer returns the status of the next answer on a connection.
func readAnswer(c net.Conn) (int, error) {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	return resp.StatusCode, err
}

// The first request of an accepted connection arrives after the router has stopped listening.
func TestStopDropsRequestOfAcceptedConnection(t *testing.T) {
	a, addr := startRouter(t, serveAll)
	checkStopAnswersAcceptedConnection(t, a, a.callers, addr)
}

// checkStopAnswersAcceptedConnection checks that an agent that stops answers a request on a connection
// that its server has accepted before. The request is sent once the listener is closed.
func checkStopAnswersAcceptedConnection(t *testing.T, a *Agent, server *callerServer, addr string) {
	t.Helper()
	is := is.New(t)
	c, err := net.Dial("tcp", addr)
	is.NoErr(err)
	defer c.Close()
	later, err := net.Dial("tcp", addr)
	is.NoErr(err)
	send(t, later)
	_, err = readAnswer(later) // c was accepted before
	is.NoErr(err)
	is.NoErr(later.Close())
	stopped := make(chan error, 1)
	go func() { stopped <- a.Stop(t.Context()) }()
	server.mu.Lock()
	listener := server.listener.(onceListener)
	server.mu.Unlock()
	<-listener.closed // dials before that would keep it open
	for {             // until it refuses
		extra, err := net.Dial("tcp", addr)
		if err != nil {
			break
		}
		_ = extra.Close()
	}
	send(t, c)
	status, err := readAnswer(c)
	is.NoErr(err) // no answer to a request that was read
	is.Equal(status, http.StatusOK)
	is.NoErr(<-stopped)
}

// slowListener returns from Accept a while after it was closed, as on a machine that is short
// of processor time.
type slowListener struct{ net.Listener }

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		time.Sleep(200 * time.Millisecond)
	}
	return c, err
}

// http.Server closes the listener again while it has not returned from Accept.
func TestStopFailsOnListenerClosedByDrain(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := newCallerServer(&http.Server{Handler: serveAll, ReadHeaderTimeout: headerTimeout})
	served := make(chan error, 1)
	go func() { served <- server.Serve(slowListener{l}) }()
	c, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	send(t, c)
	_, err = readAnswer(c)
	is.NoErr(err)
	is.NoErr(c.Close())
	is.NoErr(server.drain(t.Context()))
	is.NoErr(server.Shutdown(t.Context()))
	is.Equal(<-served, http.ErrServerClosed)
}

// pausedListener accepts connections whose reads pause between the arrival of bytes and
// their return, as on a machine that is short of processor time.
type pausedListener struct {
	net.Listener
	paused  *atomic.Bool
	arrived chan struct{} // receives a value when a read pauses
	resume  chan struct{} // a paused read returns once it is closed
}

func (l *pausedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &pausedConn{c, l}, err
}

type pausedConn struct {
	net.Conn
	listener *pausedListener
}

func (c *pausedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.listener.paused.Load() {
		c.listener.arrived <- struct{}{}
		<-c.listener.resume
	}
	return n, err
}

// net/http counts a kept connection as idle until it has parsed the next request's head.
func TestDrainDropsRequestBeingRead(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	paused := &pausedListener{Listener: l, paused: new(atomic.Bool), arrived: make(chan struct{}, 1), resume: make(chan struct{})}
	server := newCallerServer(&http.Server{Handler: serveAll, ReadHeaderTimeout: headerTimeout})
	served := make(chan error, 1)
	go func() { served <- server.Serve(paused) }()
	c, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer c.Close()
	send(t, c)
	_, err = readAnswer(c)
	is.NoErr(err)

	paused.paused.Store(true)
	send(t, c)
	<-paused.arrived
	drained := make(chan error, 1)
	go func() { drained <- server.drain(t.Context()) }()
	is.Equal(<-served, http.ErrServerClosed)
	is.Equal(server.expireIdle(time.Now()), 1)
	paused.paused.Store(false)
	close(paused.resume)
	status, err := readAnswer(c)
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.NoErr(<-drained)
}

// A request lies in the kernel's receive buffer of an idle connection, as on a machine that is
// short of processor time. Once the connection's read deadline has passed, the request is lost.
func TestDrainDropsRequestThatWasNotRead(t *testing.T) {
	for _, state := range []http.ConnState{http.StateIdle, http.StateNew} {
		t.Run(state.String(), func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			caller, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			defer caller.Close()
			c, err := l.Accept()
			is.NoErr(err)
			defer c.Close()
			server := newCallerServer(&http.Server{})
			server.trackState(c, state)
			send(t, caller)
			arrived, err := c.(*net.TCPConn).SyscallConn()
			is.NoErr(err)
			is.NoErr(arrived.Read(func(uintptr) bool { return socket.Unread(c) }))
			is.Equal(server.expireIdle(time.Now().Add(firstRequestWait)), 1)
			_, err = http.ReadRequest(bufio.NewReader(c))
			is.NoErr(err) // the request was dropped

			is.Equal(server.expireIdle(time.Now().Add(firstRequestWait)), 1) // nothing is left to read
			_, err = c.Read(make([]byte, 1))
			is.True(errors.Is(err, os.ErrDeadlineExceeded))
		})
	}
}

// A connection whose caller has closed it has nothing to read, and the drain must not wait for it.
func TestDrainExpiresClosedConnection(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	caller, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	c, err := l.Accept()
	is.NoErr(err)
	defer c.Close()
	is.True(!socket.Unread(c))
	is.NoErr(caller.Close())
	raw, err := c.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	is.NoErr(raw.Read(func(fd uintptr) bool { // until the end has arrived
		_, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return !errors.Is(err, unix.EAGAIN)
	}))
	is.True(!socket.Unread(c))
	server := newCallerServer(&http.Server{})
	server.trackState(c, http.StateIdle)
	is.Equal(server.expireIdle(time.Now()), 1)
	_, err = c.Read(make([]byte, 1))
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
}

// The grace period ends while a caller's request runs.
func TestDrainEndsWithGracePeriod(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	started, end := make(chan struct{}), make(chan struct{})
	server := newCallerServer(&http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(started)
		<-end
	})})
	go func() { _ = server.Serve(l) }()
	c, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer c.Close()
	send(t, c)
	<-started
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.True(errorx.IsOfType(server.drain(ctx), errDrained))
	close(end)
	is.NoErr(server.drain(t.Context()))
}

// A failure of a listener ended the process at once, and all requests with it.
func TestFailureCutsRunningRequests(t *testing.T) {
	is := is.New(t)
	started, end := make(chan struct{}), make(chan struct{})
	a, addr := startRouter(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(started)
		<-end
		serveAll(w, r)
	}))
	c, err := net.Dial("tcp", addr)
	is.NoErr(err)
	defer c.Close()
	send(t, c)
	<-started
	a.reportFailure(errors.New("accept: no buffer space available"))
	stopped := make(chan struct{})
	go func() {
		a.StopAfterFailure(t.Context(), <-a.Failed())
		close(stopped)
	}()
	select {
	case <-stopped:
		t.Error("the process ended while a request ran")
	case <-time.After(4 * drainPoll):
	}
	close(end)
	status, err := readAnswer(c)
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	<-stopped
}
