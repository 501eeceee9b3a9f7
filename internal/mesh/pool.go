package mesh

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/tinylib/msgp/msgp"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// Pool dials peers and keeps one connection to each. It is safe for concurrent use.
type Pool struct {
	cfg *Config

	mu     sync.Mutex
	conns  map[string]*poolEntry
	closed bool
	watch  sync.Once // starts watchIdle on the first dial
	ctx    context.Context
	cancel context.CancelFunc // called when the pool is closed
}

// poolEntry is the connection to one address or a pending dial.
type poolEntry struct {
	ready chan struct{} // closed once conn or err is set
	conn  *connection
	err   error
}

// NewPool returns a pool without connections.
func NewPool(cfg Config) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{cfg: cfg.withDefaults(), conns: make(map[string]*poolEntry), ctx: ctx, cancel: cancel}
}

// Open opens a stream for a method at a peer and sends its first message. A *DialError
// means that nothing was sent.
func (p *Pool) Open(ctx context.Context, addr, method string, message []byte) (*Stream, error) {
	conn, err := p.connect(ctx, addr)
	if err != nil {
		return nil, fleet.At(&DialError{Addr: addr, Err: err}, "mesh.dial", addr)
	}
	s, err := conn.openStream(method, message)
	if errors.Is(err, ErrConnectionLost) {
		return nil, fleet.At(&DialError{Addr: addr, Err: err}, "mesh.open", addr)
	}
	return s, fleet.At(err, "mesh.open", addr)
}

// Call sends one request and waits for its reply.
func (p *Pool) Call(ctx context.Context, addr, method string, request msgp.Marshaler, reply msgp.Unmarshaler) error {
	message, err := request.MarshalMsg(nil)
	if err != nil {
		return fleet.At(err, "mesh.encode", addr)
	}
	s, err := p.Open(ctx, addr, method, message)
	if err != nil {
		return err
	}
	defer s.Close()
	answer, err := s.Recv(ctx)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return fleet.At(err, method, addr)
	}
	err = Decode(answer, reply)
	return fleet.At(err, "mesh.decode", addr)
}

// connect returns the open connection to addr and dials if there is none. Concurrent
// callers share the result of one dial.
func (p *Pool) connect(ctx context.Context, addr string) (*connection, error) {
	entry, err := p.entry(addr)
	if err != nil {
		return nil, err
	}
	select {
	case <-entry.ready:
		return entry.conn, entry.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// entry returns the open connection to addr or the pending dial, which it starts if there is
// neither.
func (p *Pool) entry(addr string) (*poolEntry, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	entry := p.conns[addr]
	if entry == nil || entry.finished() && !entry.alive() {
		entry = &poolEntry{ready: make(chan struct{})}
		p.conns[addr] = entry
		p.watch.Do(func() { go watchIdle(p.ctx, p.cfg, p.liveConnections) })
		go p.dial(addr, entry)
	}
	return entry, nil
}

// finished reports whether the dial has ended.
func (e *poolEntry) finished() bool {
	select {
	case <-e.ready:
		return true
	default:
		return false
	}
}

// alive reports whether a finished dial led to a connection that is not lost.
func (e *poolEntry) alive() bool { return e.err == nil && !e.conn.isLost() }

// dial connects to addr, authenticates the peer and sets the result in entry.
func (p *Pool) dial(addr string, entry *poolEntry) {
	defer close(entry.ready)
	dialer := p.cfg.limits().Dialer()
	conn, err := dialer.Dial("tcp", addr)
	if err != nil {
		entry.err = err
		return
	}
	entry.err = p.cfg.Guard.Confine("mesh dial", func() (err error) {
		entry.conn, err = p.authenticate(conn, addr)
		return err
	})
	if entry.err != nil {
		_ = conn.Close()
		return
	}
	go entry.conn.run()
}

// authenticate returns the connection to the peer at addr once both sides have authenticated.
func (p *Pool) authenticate(conn net.Conn, addr string) (*connection, error) {
	if p.cfg.TLS != nil {
		conn = tls.Client(conn, p.cfg.TLS.clientConfig(addr))
	}
	_ = conn.SetDeadline(time.Now().Add(p.cfg.DialTimeout))
	r := bufio.NewReaderSize(conn, readBufferBytes)
	peer, err := dialHandshake(conn, r, p.cfg)
	if err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	return newConnection(p.cfg, conn, r, peer), nil
}

// Close waits for pending dials and ends every connection and its streams.
func (p *Pool) Close() {
	p.cancel()
	for _, entry := range p.markClosed() {
		<-entry.ready
		if entry.conn != nil {
			entry.conn.terminate()
		}
	}
}

// markClosed marks the pool as closed and removes its connections.
func (p *Pool) markClosed() map[string]*poolEntry {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.conns
	p.closed, p.conns = true, nil
	return conns
}

// Unary adapts a function that takes one request and returns one reply to a Handler.
func Unary[Q any, QP interface {
	*Q
	msgp.Unmarshaler
}, R msgp.Marshaler](f func(ctx context.Context, peer string, request QP) (R, error)) Handler {
	return func(ctx context.Context, s *Stream, message []byte) error {
		request := QP(new(Q))
		if err := Decode(message, request); err != nil {
			return fleet.At(err, "mesh.decode", s.Peer())
		}
		reply, err := f(ctx, s.Peer(), request)
		if err != nil {
			return err
		}
		answer, err := reply.MarshalMsg(nil)
		if err != nil {
			return fleet.At(err, "mesh.encode", s.Peer())
		}
		return s.Send(ctx, answer)
	}
}
