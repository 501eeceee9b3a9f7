package agent

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/socket"
)

const (
	// drainPoll is the interval at which a draining server looks for idle connections.
	drainPoll = 25 * time.Millisecond
	// firstRequestWait is how long a draining server waits for the first request of a
	// connection that it accepted before. Callers send it as soon as they are connected.
	firstRequestWait = 500 * time.Millisecond
)

// errDrained is the type of errors of a drain whose context ended first.
var errDrained = fleet.Errors.NewType("agent_drain")

// callerServer is an HTTP server that answers every request that it reads, also while it
// shuts down: http.Server.Shutdown drops the requests that are read after its call, and
// closes a connection as idle while its next request is being read. HTTP/2 connections are
// left to http.Server, which announces their end. It is safe for concurrent use.
type callerServer struct {
	*http.Server

	mu       sync.Mutex
	listener net.Listener
	draining bool
	conns    map[net.Conn]http.ConnState // HTTP/1 connections
}

// newCallerServer returns a server with the settings of s, which it takes over.
func newCallerServer(s *http.Server) *callerServer {
	c := &callerServer{Server: s, conns: make(map[net.Conn]http.ConnState)}
	s.ConnState = c.trackState
	return c
}

// Serve serves the connections that l accepts. It returns http.ErrServerClosed once the
// server is drained or shut down.
func (s *callerServer) Serve(l net.Listener) error {
	return s.serveUntilDrained(l, s.Server.Serve)
}

// ServeTLS is like Serve, over HTTPS.
func (s *callerServer) ServeTLS(l net.Listener, certificateFile, keyFile string) error {
	return s.serveUntilDrained(l, func(l net.Listener) error { return s.Server.ServeTLS(l, certificateFile, keyFile) })
}

func (s *callerServer) serveUntilDrained(l net.Listener, serve func(net.Listener) error) error {
	l = newOnceListener(l)
	s.mu.Lock()
	s.listener = l
	if s.draining {
		_ = l.Close() // drained before it served
	}
	s.mu.Unlock()
	err := serve(l)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining && errors.Is(err, net.ErrClosed) {
		return http.ErrServerClosed
	}
	return err
}

// acceptPause is the time between two attempts to accept a connection after an error.
const acceptPause = 100 * time.Millisecond

// onceListener is a listener that is closed once: each call of Close returns the result of the
// first. Errors of single connections, or of a process that lacks what a connection needs, don't end
// it. It is safe for concurrent use.
type onceListener struct {
	net.Listener
	close func() error
}

// Accept returns the next connection, or an error once the listener is closed.
func (l onceListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return c, err
		}
		time.Sleep(acceptPause)
	}
}

func newOnceListener(l net.Listener) onceListener { return onceListener{l, sync.OnceValue(l.Close)} }

// Close closes the listener unless it is closed.
func (l onceListener) Close() error { return l.close() }

// trackState implements http.Server.ConnState.
func (s *callerServer) trackState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case state == http.StateClosed, state == http.StateHijacked, state != http.StateNew && isHTTP2(c):
		delete(s.conns, c)
		return
	case state == http.StateActive && s.draining:
		// The next request was read while its connection was being closed as idle.
		_ = c.SetReadDeadline(time.Time{})
	}
	s.conns[c] = state
}

// isHTTP2 reports whether a connection has negotiated HTTP/2. Its handshake is over.
func isHTTP2(c net.Conn) bool {
	secure, ok := c.(*tls.Conn)
	return ok && secure.ConnectionState().NegotiatedProtocol == "h2"
}

// drain closes the listener and waits until each request that was read has been answered
// and each connection is closed. It returns an error if ctx ends first.
func (s *callerServer) drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	listener := s.listener
	s.mu.Unlock()
	if listener != nil {
		_ = listener.Close() // Shutdown returns its error
	}
	began := time.Now()
	if !fleet.Await(ctx, drainPoll, func() bool { return s.expireIdle(time.Since(began) >= firstRequestWait) == 0 }) {
		s.mu.Lock()
		defer s.mu.Unlock()
		return errDrained.New("the grace period ended with %d callers' connections in use", len(s.conns))
	}
	return nil
}

// expireIdle makes the reads of idle connections time out, which ends the connections that
// have received nothing. With unused set, those that wait for their first request count as
// idle. One that holds bytes which nobody has read yet is left alone. It returns the number of
// connections that are left.
func (s *callerServer) expireIdle(unused bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, state := range s.conns {
		if (state == http.StateIdle || state == http.StateNew && unused) && !socket.Unread(c) {
			_ = c.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
		}
	}
	return len(s.conns)
}
