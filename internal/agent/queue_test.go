package agent

import (
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/socket"
)

// heldListener doesn't accept connections until hold is closed, as on a machine that is short of
// processor time.
type heldListener struct {
	*net.TCPListener
	hold chan struct{}
}

func (l heldListener) Accept() (net.Conn, error) {
	<-l.hold
	return l.TCPListener.Accept()
}

func TestStopResetsConnectionsInAcceptQueue(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	held := heldListener{l.(*net.TCPListener), make(chan struct{})}
	s := newCallerServer(&http.Server{Handler: serveAll})
	served := make(chan error, 1)
	go func() { served <- s.Serve(held) }()
	defer s.Close()
	var callers []net.Conn
	for range 3 {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		defer c.Close()
		send(t, c)
		callers = append(callers, c)
	}
	for !socket.Waiting(l) || !isServing(s) {
		time.Sleep(time.Millisecond)
	}
	drained := make(chan error, 1)
	go func() { drained <- s.drain(t.Context()) }()
	select {
	case <-s.listener.(onceListener).closed:
		t.Error("the listener was closed before its queue was empty")
	case <-time.After(4 * drainPoll):
	}
	close(held.hold)
	for _, c := range callers {
		status, err := readAnswer(c)
		is.NoErr(err) // the connection was reset
		is.Equal(status, http.StatusOK)
	}
	is.NoErr(<-drained)
	is.Equal(<-served, http.ErrServerClosed)
	is.Equal(stopLine(t, s)["accepted"], 3.0)
}

// lookedAtListener is a heldListener that calls after once, behind the first look at its queue.
type lookedAtListener struct {
	heldListener
	after func()
}

func (l lookedAtListener) SyscallConn() (syscall.RawConn, error) {
	raw, err := l.TCPListener.SyscallConn()
	return lookedAtConn{raw, l.after}, err
}

type lookedAtConn struct {
	syscall.RawConn
	after func()
}

func (c lookedAtConn) Control(f func(fd uintptr)) error {
	defer c.after()
	return c.RawConn.Control(f)
}

// A connection whose handshake was under way at the last look was reset by the close.
func TestStopResetsConnectionBehindLastLook(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	hold := make(chan struct{})
	callers := make(chan net.Conn, 1)
	listener := lookedAtListener{heldListener{l.(*net.TCPListener), hold}, sync.OnceFunc(func() {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		callers <- c
		time.AfterFunc(4*drainPoll, func() { close(hold) })
	})}
	s := newCallerServer(&http.Server{Handler: serveAll})
	served := make(chan error, 1)
	go func() { served <- s.Serve(listener) }()
	defer s.Close()
	for !isServing(s) {
		time.Sleep(time.Millisecond)
	}
	drained := make(chan error, 1)
	go func() { drained <- s.drain(t.Context()) }()
	c := <-callers
	defer c.Close()
	send(t, c)
	status, err := readAnswer(c)
	is.NoErr(err) // the connection was reset
	is.Equal(status, http.StatusOK)
	is.NoErr(<-drained)
	is.Equal(<-served, http.ErrServerClosed)
}

// isServing reports whether Serve has been called.
func isServing(s *callerServer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener != nil
}

// lateListener returns a connection a while after it was accepted.
type lateListener struct {
	*net.TCPListener
	accepted, resume chan struct{}
}

func (l lateListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err == nil {
		l.accepted <- struct{}{}
		<-l.resume
	}
	return c, err
}

// The queue is empty, and the server doesn't know yet of the connection that was taken from it.
func TestDrainEndsBeforeAcceptReturns(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	late := lateListener{l.(*net.TCPListener), make(chan struct{}), make(chan struct{})}
	s := newCallerServer(&http.Server{Handler: serveAll})
	go func() { _ = s.Serve(late) }()
	defer s.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer c.Close()
	send(t, c)
	<-late.accepted
	drained := make(chan error, 1)
	go func() { drained <- s.drain(t.Context()) }()
	select {
	case <-drained:
		t.Error("the drain ended while a connection was being accepted")
	case <-time.After(4 * drainPoll):
	}
	close(late.resume)
	status, err := readAnswer(c)
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
}
