package mesh

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// Handler serves one stream that a peer opened with message. The returned error ends
// the stream. ctx is canceled when the opener cancels the stream or its connection is
// lost.
type Handler func(ctx context.Context, s *Stream, message []byte) error

// Server accepts connections and serves the streams that peers open on them.
type Server struct {
	cfg      *Config
	handlers map[string]Handler
	// background holds the methods whose streams a shutdown cancels at once.
	background map[string]bool
	// unconfined holds the methods whose handlers' panics end the process.
	unconfined map[string]bool
	ctx        context.Context
	cancel     context.CancelFunc

	mu            sync.Mutex
	conns         map[*connection]struct{}
	listener      net.Listener
	closed        bool
	activeStreams int        // streams that a shutdown waits for
	idle          *sync.Cond // on mu: activeStreams has become 0
}

// NewServer returns a server without handlers.
func NewServer(cfg Config) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		cfg: cfg.withDefaults(), handlers: make(map[string]Handler), background: make(map[string]bool), unconfined: make(map[string]bool),
		conns: make(map[*connection]struct{}), ctx: ctx, cancel: cancel,
	}
	s.idle = sync.NewCond(&s.mu)
	return s
}

// Handle registers the handler of a method. It must not be called after Serve.
func (s *Server) Handle(method string, h Handler) { s.handlers[method] = h }

// HandleBackground registers the handler of a method whose streams last as long
// as their peers run. A shutdown cancels these streams at once and does not wait for
// them. It must not be called after Serve.
func (s *Server) HandleBackground(method string, h Handler) {
	s.handlers[method] = h
	s.background[method] = true
}

// Unconfined lets panics of the handlers of the given methods end the process in spite of
// Config.Guard, because they may leave state half-changed that must not be used any longer. It
// must not be called after Serve.
func (s *Server) Unconfined(methods ...string) {
	for _, method := range methods {
		s.unconfined[method] = true
	}
}

// acceptPause is the time between two attempts to accept a connection while the process lacks
// descriptors or memory for it.
const acceptPause = 100 * time.Millisecond

// Serve accepts connections until the server is closed, and then returns nil. It returns
// ErrClosed if the server was closed before. It closes the listener. Errors of single
// connections, also for lack of descriptors, don't end it.
func (s *Server) Serve(l net.Listener) error {
	l = s.cfg.limits().Listener(l)
	if s.cfg.TLS != nil {
		l = tls.NewListener(l, s.cfg.TLS.serverConfig())
	}
	if !s.setListener(l) {
		return errors.Join(ErrClosed, l.Close())
	}
	go watchIdle(s.ctx, s.cfg, s.liveConnections)
	for {
		conn, err := l.Accept()
		if err != nil {
			if s.isClosed() {
				return nil
			}
			if errors.Is(err, net.ErrClosed) {
				return fleet.At(err, "mesh.accept", l.Addr().String())
			}
			s.cfg.Logger.Warn("cannot accept a mesh connection; trying again", "address", l.Addr().String(), "error", err, "wait", acceptPause.String())
			fleet.Pause(s.ctx, acceptPause)
			continue
		}
		go s.serveConn(conn)
	}
}

// setListener sets the listener that Shutdown closes. It reports false if the server is closed.
func (s *Server) setListener(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.listener = l
	return true
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// serveConn authenticates the peer of an accepted connection and serves its streams until
// the connection is lost.
func (s *Server) serveConn(conn net.Conn) {
	r := bufio.NewReaderSize(conn, readBufferBytes)
	_ = conn.SetDeadline(time.Now().Add(s.cfg.DialTimeout))
	var peer string
	err := s.cfg.Guard.Confine("mesh handshake", func() (err error) {
		peer, err = acceptHandshake(conn, r, s.cfg)
		return err
	})
	if err != nil {
		s.cfg.Logger.Warn("mesh handshake rejected", "peer", conn.RemoteAddr().String(), "error", err)
		_ = conn.Close()
		return
	}
	_ = conn.SetDeadline(time.Time{})
	c := newConnection(s.cfg, conn, r, peer)
	c.onOpen = func(st *Stream, body openBody) { s.startStream(st, body) }
	if !s.addConnection(c) {
		_ = conn.Close()
		return
	}
	defer s.removeConnection(c)
	c.run()
}

// addConnection adds a connection. It returns false if the server is closed or has
// Config.MaxConnections already.
func (s *Server) addConnection(c *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= s.cfg.MaxConnections {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) removeConnection(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// startStream runs the handler of a stream in its own goroutine.
func (s *Server) startStream(st *Stream, body openBody) {
	h := s.handlers[body.Method]
	if h == nil {
		st.end(endBody{Code: CodeUnknownMethod, Step: "mesh.open", Message: body.Method})
		return
	}
	background := s.background[body.Method]
	parent := context.Background()
	if background {
		parent = s.ctx
	} else {
		s.addStreams(1)
	}
	ctx, cancel := context.WithCancel(parent)
	st.setCancel(cancel)
	go func() {
		if !background {
			defer s.addStreams(-1)
		}
		defer cancel()
		s.runHandler(ctx, h, st, body)
	}()
}

// runHandler runs the handler of a stream and ends the stream with its error. The opener of a
// stream whose handler panics sees it cut, as it would see the end of the process.
func (s *Server) runHandler(ctx context.Context, h Handler, st *Stream, body openBody) {
	guard := s.cfg.Guard
	if s.unconfined[body.Method] {
		guard = nil
	}
	err := guard.Confine("mesh stream "+body.Method, func() error { return h(ctx, st, body.Message) })
	if errorx.IsOfType(err, fleet.ErrPanic) {
		st.abort()
		return
	}
	st.end(endBodyFor(err))
}

// addStreams adds n to the number of streams that a shutdown waits for. A
// sync.WaitGroup does not fit, because streams may be opened while the shutdown waits.
func (s *Server) addStreams(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.activeStreams += n; s.activeStreams == 0 {
		s.idle.Broadcast()
	}
}

// awaitStreams waits until no stream other than background streams is open.
func (s *Server) awaitStreams() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.activeStreams > 0 {
		s.idle.Wait()
	}
}

// endBodyFor returns the end frame's body for the error of a handler.
func endBodyFor(err error) endBody {
	if err == nil {
		return endBody{}
	}
	var remote *RemoteError
	if errors.As(err, &remote) {
		return endBody{Code: remote.Code, Step: remote.Step, Peer: remote.Peer, Message: remote.Message}
	}
	step, peer := fleet.Located(err)
	return endBody{Code: CodeFailed, Step: step, Peer: peer, Message: err.Error()}
}

// Shutdown stops accepting connections, waits until every stream except background
// streams has ended or ctx ends, and closes the remaining connections. It returns
// ctx.Err() if streams were cut.
func (s *Server) Shutdown(ctx context.Context) error {
	listener := s.markClosed()
	s.cancel()
	if listener != nil {
		_ = listener.Close()
	}
	idle := make(chan struct{})
	go func() {
		s.awaitStreams()
		close(idle)
	}()
	var err error
	select {
	case <-idle:
		// The last end frames may still be queued for writing.
		time.Sleep(flushDelay)
	case <-ctx.Done():
		err = ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		go c.terminate()
	}
	return err
}

// markClosed marks the server as closed and returns its listener, nil before Serve.
func (s *Server) markClosed() net.Listener {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	return s.listener
}

// flushDelay is the time that a shutdown leaves for writing the last frames.
const flushDelay = 50 * time.Millisecond
