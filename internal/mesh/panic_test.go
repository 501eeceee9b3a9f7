package mesh

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// panicLog is what a guard has recorded.
type panicLog struct {
	mu    sync.Mutex
	works []string
}

// guard returns a guard that records to the log.
func (l *panicLog) guard() *fleet.Guard {
	return &fleet.Guard{Record: func(work string, _ any, _ []byte) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.works = append(l.works, work)
	}}
}

func (l *panicLog) recorded() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string{}, l.works...)
}

func TestPanickingHandlerEndsProcess(t *testing.T) {
	is := is.New(t)
	var log panicLog
	cfg := testConfig
	cfg.Guard = log.guard()
	release := make(chan struct{})
	addr := startServer(t, cfg, map[string]Handler{
		"panic": func(context.Context, *Stream, []byte) error { panic("test") },
		"wait": func(ctx context.Context, s *Stream, message []byte) error {
			<-release
			return s.Send(ctx, message)
		},
	})
	pool := testPool(t, testConfig)
	other, err := pool.Open(t.Context(), addr, "wait", []byte("x"))
	is.NoErr(err)
	s, err := pool.Open(t.Context(), addr, "panic", nil)
	is.NoErr(err)
	_, err = s.Recv(t.Context())
	is.True(errors.Is(err, ErrReset)) // cut, as by the end of the process: what was done is unknown
	is.Equal(log.recorded(), []string{"mesh stream panic"})
	close(release)
	got, err := other.Recv(t.Context())
	is.NoErr(err)
	is.Equal(string(got), "x")
}

// The server of startServer is shut down at the end, which waits for the streams that it counts.
func TestShutdownWaitsForPanickedHandler(t *testing.T) {
	is := is.New(t)
	cfg := testConfig
	cfg.Guard = new(panicLog).guard()
	server := NewServer(cfg)
	server.Handle("panic", func(context.Context, *Stream, []byte) error { panic("test") })
	s := newStream(newLostConnection(t, nil), 1, false)
	server.startStream(s, openBody{Method: "panic"})
	is.NoErr(server.Shutdown(t.Context()))
}

func TestPanicThatLeavesStateHalfChangedIsConfined(t *testing.T) {
	is := is.New(t)
	var log panicLog
	cfg := testConfig
	cfg.Guard = log.guard()
	server := NewServer(cfg)
	server.Unconfined("panic")
	defer func() {
		is.Equal(recover(), "test")
		is.Equal(len(log.recorded()), 0)
	}()
	handler := func(context.Context, *Stream, []byte) error { panic("test") }
	server.runHandler(t.Context(), handler, newStream(newLostConnection(t, nil), 1, false), openBody{Method: "panic"})
}

// The panic occurs while the stream's lock is held, which the end of the stream needs as well.
func TestPanicUnderLockBlocksStream(t *testing.T) {
	is := is.New(t)
	var log panicLog
	cfg := testConfig
	cfg.Guard = log.guard()
	addr := startServer(t, cfg, map[string]Handler{"panic": func(ctx context.Context, s *Stream, _ []byte) error {
		s.mu.Lock()
		s.head = -1
		s.mu.Unlock()
		_, err := s.Recv(ctx)
		return err
	}})
	s, err := testPool(t, testConfig).Open(t.Context(), addr, "panic", nil)
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	_, err = s.Recv(ctx)
	is.True(errors.Is(err, ErrReset))
	is.Equal(len(log.recorded()), 1)
}

// brokenConn is a connection whose reads, writes or both panic.
type brokenConn struct {
	net.Conn
	reads, writes bool
}

// Read implements net.Conn.
func (c brokenConn) Read(b []byte) (int, error) {
	if c.reads {
		panic("test")
	}
	return c.Conn.Read(b)
}

// Write implements net.Conn.
func (c brokenConn) Write(b []byte) (int, error) {
	if c.writes {
		panic("test")
	}
	return c.Conn.Write(b)
}

func TestPanicInConnectionEndsProcess(t *testing.T) {
	cases := map[string]struct {
		broken   brokenConn
		onOpen   func(*Stream, openBody)
		recorded string
	}{
		"read":   {broken: brokenConn{reads: true}, recorded: "mesh connection: read"},
		"write":  {broken: brokenConn{writes: true}, recorded: "mesh connection: write"},
		"handle": {onOpen: func(*Stream, openBody) { panic("test") }, recorded: "mesh connection: read"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var log panicLog
			cfg := testConfig
			cfg.Guard = log.guard()
			near, far := net.Pipe()
			defer func() { _ = far.Close() }()
			test.broken.Conn = near
			c := newConnection(cfg.withDefaults(), test.broken, bufio.NewReader(test.broken), "peer")
			c.onOpen = test.onOpen
			s, err := c.openStream("m", nil)
			is.NoErr(err)
			go func() { _, _ = io.Copy(io.Discard, far) }()
			if test.onOpen != nil {
				f := openFrame(t, "m")
				go func() { _, _ = far.Write(appendFrame(nil, f.kind, s.id+1, f.body)) }()
			}
			c.run()
			is.True(c.isLost())
			_, err = s.Recv(t.Context())
			is.True(errors.Is(err, ErrConnectionLost))
			is.Equal(log.recorded(), []string{test.recorded})
		})
	}
}

// brokenListener returns a broken connection first.
type brokenListener struct {
	net.Listener
	accepted atomic.Bool
}

// Accept implements net.Listener.
func (l *brokenListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil && !l.accepted.Swap(true) {
		return brokenConn{Conn: conn, reads: true}, nil
	}
	return conn, err
}

func TestPanicInHandshakeEndsProcess(t *testing.T) {
	is := is.New(t)
	var log panicLog
	cfg := testConfig
	cfg.Guard = log.guard()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := NewServer(cfg)
	server.Handle("count", countTo(1))
	go func() { _ = server.Serve(&brokenListener{Listener: inner}) }()
	defer func() { _ = server.Shutdown(t.Context()) }()
	pool := testPool(t, testConfig)
	_, err = pool.Open(t.Context(), inner.Addr().String(), "count", nil)
	var dial *DialError
	is.True(errors.As(err, &dial)) // the server has closed the connection
	is.Equal(log.recorded(), []string{"mesh handshake"})
	_, err = pool.Open(t.Context(), inner.Addr().String(), "count", nil)
	is.NoErr(err)
}

func TestPanickingIdleCheckEndsProcess(t *testing.T) {
	is := is.New(t)
	var log panicLog
	cfg := testConfig
	cfg.Guard, cfg.PingAfter = log.guard(), 2*time.Millisecond
	ctx, cancel := context.WithCancel(t.Context())
	checks := 0
	watchIdle(ctx, cfg.withDefaults(), func() []*connection {
		if checks++; checks == 1 {
			panic("test")
		}
		cancel()
		return nil
	})
	is.Equal(log.recorded(), []string{"mesh idle check"})
	is.True(checks >= 2)
}
