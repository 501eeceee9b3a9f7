package agent

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/routes"
	"github.com/wigeonflow/wigeonflow/internal/socket"
)

const (
	// drainPoll is the interval at which a draining server looks for idle connections.
	drainPoll = 25 * time.Millisecond
	// firstRequestWait is how long a draining server waits for the first request of a
	// connection that it accepted before. Callers send it as soon as they are connected.
	firstRequestWait = 500 * time.Millisecond
	// lateAccept is how long a draining server goes on accepting although its queue is empty,
	// while connections keep coming.
	lateAccept = 4 * drainPoll
	// expiryInterval is the time between two searches for connections that have exceeded a limit.
	expiryInterval = time.Second
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
	served   chan struct{} // closed once no more connections are accepted from listener
	draining bool
	// stopping reports whether connections are closed behind the answer that is being sent on them.
	stopping bool
	// drainStart is when the drain began.
	drainStart time.Time
	conns      map[net.Conn]*callerState // HTTP/1 connections
	// limits returns the limits in force. Of its times, 0 means no limit.
	limits func() routes.CallerLimits
	// bound is the number of connections at which no more are accepted; 0 means no bound.
	bound int
	open  int // accepted connections that are not closed
	// full reports whether a connection awaits its acceptance and none is idle.
	full bool
	// room receives a value when a connection is closed.
	room chan struct{}
	// closedIdle counts the connections that were closed because they were idle.
	closedIdle metrics.Counter
	// dropped counts the connections that were closed before a request on them had been read, by cause.
	dropped map[dropCause]metrics.Counter
	// stop is what happened to connections since the drain began.
	stop stopCounts
}

// callerState is what a callerServer knows of a connection.
type callerState struct {
	http.ConnState
	since time.Time // of ConnState
	// expired reports whether the reads of the connection were made to time out.
	expired bool
	// ended reports whether the connection became idle after a stop had begun.
	ended bool
}

// newCallerServer returns a server with the settings of s, which it takes over.
func newCallerServer(s *http.Server) *callerServer {
	c := &callerServer{
		Server: s, conns: make(map[net.Conn]*callerState), limits: func() routes.CallerLimits { return routes.CallerLimits{} },
		room: make(chan struct{}, 1), closedIdle: metrics.NewCounter(), dropped: newDropCounters(metrics.NewRegistry()),
	}
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
	once := newOnceListener(l)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go fleet.Every(ctx, expiryInterval, func(context.Context) { s.closeExpired(time.Now()) })
	served := make(chan struct{})
	s.mu.Lock()
	s.listener, s.served = once, served
	if s.draining {
		_ = once.Close() // drained before it served
	}
	s.mu.Unlock()
	err := serve(callerListener{once, s})
	close(served)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining && errors.Is(err, net.ErrClosed) {
		return http.ErrServerClosed
	}
	return err
}

// onceListener is a listener that is closed once: each call of Close returns the result of the
// first. It is safe for concurrent use.
type onceListener struct {
	net.Listener
	close  func() error
	closed chan struct{} // closed by Close
}

func newOnceListener(l net.Listener) onceListener {
	closed := make(chan struct{})
	return onceListener{Listener: l, closed: closed, close: sync.OnceValue(func() error {
		close(closed)
		return l.Close()
	})}
}

// Close closes the listener unless it is closed.
func (l onceListener) Close() error { return l.close() }

// SyscallConn implements syscall.Conn.
func (l onceListener) SyscallConn() (syscall.RawConn, error) { return rawConn(l.Listener) }

// trackState implements http.Server.ConnState.
func (s *callerServer) trackState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.conns[c]
	if state == http.StateClosed && last != nil && last.expired && last.isIdle(c) && !s.stopping {
		s.closedIdle.Inc(1)
	}
	if state == http.StateClosed && last != nil {
		s.countClosed(c, last)
	}
	if state == http.StateClosed || state == http.StateHijacked || state != http.StateNew && isHTTP2(c) {
		delete(s.conns, c)
		return
	}
	if state == http.StateActive && last != nil && last.expired {
		// The next request was read while its connection was being closed as idle.
		if conn := callerConnOf(c); conn != nil {
			conn.expired.Store(false)
		}
		_ = c.SetReadDeadline(time.Time{})
	}
	next := &callerState{ConnState: state, since: time.Now()}
	if conn := callerConnOf(c); conn != nil {
		if state == http.StateIdle {
			conn.readAt.Store(nil)
			next.ended = s.stopping && conn.hasDescriptor()
		}
		next.expired = next.ended
		conn.endsIdle.Store(next.ended)
	}
	s.conns[c] = next
}

// isHTTP2 reports whether a connection has negotiated HTTP/2. Its handshake is over.
func isHTTP2(c net.Conn) bool {
	secure, ok := c.(*tls.Conn)
	return ok && secure.ConnectionState().NegotiatedProtocol == "h2"
}

// beginStop closes each connection from now on right behind the answer that is sent on it, unless
// its next request has arrived. An answer that began before can't tell the caller to close the
// connection, and a request that is sent later may cross the close.
func (s *callerServer) beginStop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
}

// drain accepts the connections that wait at the listener, closes it, and waits until each request
// that was read has been answered and each connection is closed. It returns an error if ctx ends
// first. The listener stays open until none has come from one look at it to the next, so that
// handshakes under way can end; one that ends between the last look and the close is reset.
func (s *callerServer) drain(ctx context.Context) error {
	s.beginStop()
	s.mu.Lock()
	if !s.draining {
		s.draining, s.drainStart = true, time.Now()
	}
	listener, served := s.listener, s.served
	s.mu.Unlock()
	if listener != nil {
		accepted := -1
		fleet.Await(ctx, drainPoll, func() bool {
			s.expireIdle(time.Now()) // frees descriptors that the next connections need
			before := accepted
			accepted = s.acceptedInStop()
			return !socket.Waiting(listener) && (accepted == before || time.Since(s.drainStart) >= lateAccept)
		})
		_ = listener.Close() // Shutdown returns its error
		select {
		case <-served: // each accepted connection is among s.conns
		case <-ctx.Done():
		}
	}
	if !fleet.Await(ctx, drainPoll, func() bool { return s.expireIdle(time.Now()) == 0 }) {
		s.mu.Lock()
		defer s.mu.Unlock()
		return errDrained.New("the grace period ended with %d callers' connections in use", len(s.conns))
	}
	return nil
}

// expireIdle makes the reads of idle connections time out, which ends the connections that
// have received nothing. Those that have waited long enough for their first request at now count
// as idle. One that holds bytes which nobody has read yet is left alone, and one that is sending
// a request's head has the header timeout for it. It returns the number of connections that are
// left.
func (s *callerServer) expireIdle(now time.Time) int {
	limit := s.limits().HeaderTimeout
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, state := range s.conns {
		if state.ConnState != http.StateActive && s.isDrained(c, state, now, limit) && !unread(c) {
			state.expire(c)
		}
	}
	return len(s.conns)
}

// isDrained reports whether at now a draining server awaits no more of a connection that has no
// request. s.mu must be held.
func (s *callerServer) isDrained(c net.Conn, state *callerState, now time.Time, headerTimeout time.Duration) bool {
	if state.hasPartOfHead(c) {
		begun, _ := state.headSince(c)
		return headerTimeout > 0 && now.Sub(begun) > headerTimeout
	}
	if state.ConnState == http.StateIdle {
		return true
	}
	since := state.since
	if since.Before(s.drainStart) {
		since = s.drainStart
	}
	return now.Sub(since) >= firstRequestWait
}

// pastDeadline is a deadline that has passed.
var pastDeadline = time.Unix(1, 0)

// expire makes the reads of c time out. A callerConn still reads what has arrived before.
func (s *callerState) expire(c net.Conn) {
	s.expired = true
	if conn := callerConnOf(c); conn != nil {
		conn.expire()
		return
	}
	_ = c.SetReadDeadline(pastDeadline) // fails only on a closed connection
}

// closeExpired closes the connections that at now have been idle between two requests for longer
// than the idle timeout, or have been sending a request's head for longer than the header timeout.
// The timeouts of http.Server can't change while it runs.
func (s *callerServer) closeExpired(now time.Time) {
	limits := s.limits()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, state := range s.conns {
		since, waiting := state.headSince(c)
		limit := limits.HeaderTimeout
		if !waiting {
			since, limit = state.since, limits.IdleTimeout
		}
		if state.ConnState != http.StateActive && limit > 0 && now.Sub(since) > limit && !unread(c) {
			state.expire(c)
		}
	}
}

// headSince returns since when the head of a request is awaited. It reports false while a
// connection is idle between two requests. net/http counts it as idle until it has read the head.
func (s *callerState) headSince(c net.Conn) (time.Time, bool) {
	if s.ConnState == http.StateNew {
		return s.since, true
	}
	if conn := callerConnOf(c); conn != nil {
		if at := conn.readAt.Load(); at != nil {
			return *at, true
		}
	}
	return time.Time{}, false
}
