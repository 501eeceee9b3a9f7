package agent

import (
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/socket"
	"github.com/wigeonflow/wigeonflow/internal/telemetry"
)

// roomPoll is the interval at which a server at its bound looks for idle connections.
const roomPoll = 25 * time.Millisecond

// errFull is the type of errors of a server whose connections are all in use.
var errFull = fleet.Errors.NewType("agent_full")

// callerListener accepts the callerConns of a server up to its bound.
type callerListener struct {
	onceListener
	server *callerServer
}

// Accept implements net.Listener. At the bound it closes the connection that has been idle for
// longest, and waits for one to be closed before it accepts the next. While the server drains it
// accepts beyond the bound, as those that it leaves in the queue are reset.
func (l callerListener) Accept() (net.Conn, error) {
	for !l.server.makeRoom() {
		select {
		case <-l.server.room:
		case <-time.After(roomPoll):
		case <-l.closed:
			return nil, net.ErrClosed
		}
	}
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.server.addAccepted()
	return &callerConn{Conn: c, onClose: sync.OnceFunc(l.server.removeOpen)}, nil
}

// addAccepted counts an accepted connection.
func (s *callerServer) addAccepted() {
	s.mu.Lock()
	s.open++
	if s.draining {
		s.stop.accepted++
	}
	s.mu.Unlock()
}

// acceptedInStop returns the number of connections that were accepted since the drain began.
func (s *callerServer) acceptedInStop() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stop.accepted
}

// removeOpen counts an accepted connection that was closed.
func (s *callerServer) removeOpen() {
	s.mu.Lock()
	s.open--
	s.mu.Unlock()
	select {
	case s.room <- struct{}{}:
	default:
	}
}

// makeRoom reports whether one more connection is accepted. If not, it begins to close the
// one that has been idle for longest.
func (s *callerServer) makeRoom() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.full = false
	if s.bound <= 0 || s.open < s.bound || s.draining {
		return true
	}
	c, state := s.longestIdle()
	if s.full = c == nil; !s.full {
		state.expire(c)
	}
	return false
}

// longestIdle returns the connection that has been idle between two requests for longest, or nil
// if there is none. s.mu must be held.
func (s *callerServer) longestIdle() (longest net.Conn, since *callerState) {
	for c, state := range s.conns {
		if (since == nil || state.since.Before(since.since)) && state.isIdle(c) {
			longest, since = c, state
		}
	}
	return longest, since
}

// isIdle reports whether a connection is between two requests and has received nothing of the next.
func (s *callerState) isIdle(c net.Conn) bool {
	if s.ConnState != http.StateIdle {
		return false
	}
	_, begun := s.headSince(c)
	return !begun && !unread(c)
}

// checkRoom returns an error while the bound is reached and no connection is idle.
func (s *callerServer) checkRoom() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.full {
		return nil
	}
	return errFull.New("all callers' connections are in use: %d of %d", s.open, s.bound)
}

// register adds the gauges of the connections to a registry.
func (s *callerServer) register(registry metrics.Registry) {
	for name, value := range map[string]func() int{
		"callers_connections":       func() int { return s.open },
		"callers_connections_idle":  s.countIdle,
		"callers_connections_bound": func() int { return s.bound },
	} {
		metrics.NewRegisteredFunctionalGauge(telemetry.MetricName(name), registry, func() int64 {
			s.mu.Lock()
			defer s.mu.Unlock()
			return int64(value())
		})
	}
	s.closedIdle = metrics.GetOrRegisterCounter(telemetry.MetricName("callers_connections_closed_idle"), registry)
	s.dropped = newDropCounters(registry)
}

// countIdle returns the number of HTTP/1 connections between two requests. s.mu must be held.
func (s *callerServer) countIdle() (n int) {
	for _, state := range s.conns {
		if state.ConnState == http.StateIdle {
			n++
		}
	}
	return n
}

// callerConn is a connection that records when bytes of a next request were first read.
type callerConn struct {
	net.Conn
	readAt  atomic.Pointer[time.Time]
	onClose func()
	// expired reports whether reads time out.
	expired atomic.Bool
	// endsIdle makes the next read deadline one that has passed. It is set between an answer and
	// the deadline that net/http then sets for the next request.
	endsIdle atomic.Bool
	// unreadAtClose reports whether bytes that nobody had read were dropped by Close.
	unreadAtClose atomic.Bool
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	if socket.Unread(c.Conn) {
		c.unreadAtClose.Store(true)
	}
	err := c.Conn.Close()
	c.onClose()
	return err
}

// CloseWrite sends the end of what is written. net/http calls it before it closes a connection with
// unread bytes, so that the caller gets its answer before the reset.
func (c *callerConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// hasDescriptor reports whether bytes that have arrived can be told before they are read.
func (c *callerConn) hasDescriptor() bool {
	_, ok := c.Conn.(syscall.Conn)
	return ok
}

// expire makes reads time out once there is nothing left to read.
func (c *callerConn) expire() {
	c.expired.Store(true)
	_ = c.Conn.SetReadDeadline(pastDeadline) // fails only on a closed connection
}

// SetReadDeadline implements net.Conn.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	if c.endsIdle.CompareAndSwap(true, false) {
		c.expire()
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Read implements net.Conn. What has arrived is read also after reads were made to time out, since
// the last look for it was taken before.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.expired.Load() && socket.Unread(c.Conn) {
		c.expired.Store(false)
		_ = c.Conn.SetReadDeadline(time.Time{}) // fails only on a closed connection
		n, err = c.Conn.Read(b)
	}
	if n > 0 && c.readAt.Load() == nil {
		now := time.Now()
		c.readAt.Store(&now)
	}
	return n, err
}

// callerConnOf returns the callerConn under a connection, or nil if there is none.
func callerConnOf(c net.Conn) *callerConn {
	if secure, ok := c.(*tls.Conn); ok {
		c = secure.NetConn()
	}
	conn, _ := c.(*callerConn)
	return conn
}

// unread reports whether a connection has received bytes that nobody has read.
func unread(c net.Conn) bool {
	if conn := callerConnOf(c); conn != nil {
		c = conn.Conn
	}
	return socket.Unread(c)
}

// hasPartOfHead reports whether bytes of a request's head, but not all of it, have been read.
func (s *callerState) hasPartOfHead(c net.Conn) bool {
	if s.ConnState == http.StateActive {
		return false
	}
	if _, secure := c.(*tls.Conn); secure && s.ConnState == http.StateNew {
		return false // what was read may be the handshake
	}
	conn := callerConnOf(c)
	return conn != nil && conn.readAt.Load() != nil
}
