package exchange

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/socket"
)

const (
	// dialTimeout bounds connecting: an upstream is a few milliseconds away, and TCP
	// resends a lost opening packet only after a second.
	dialTimeout = 400 * time.Millisecond
	// defaultIdleTimeout is the idle timeout of a connection whose peer announces none.
	defaultIdleTimeout = 4 * time.Second
	// maxIdleTimeout bounds the idle timeout that a peer may announce.
	maxIdleTimeout = 10 * time.Minute
	// idleMargin is subtracted from the peer's idle timeout, so that no request is sent
	// while the peer closes the connection.
	idleMargin = 500 * time.Millisecond
)

// limits are the limits after which a connection to an upstream counts as lost.
// Keep-alive probes detect the loss while an answer is pending, and missing
// acknowledgements while bytes are being sent.
var limits = socket.Limits{
	Dial: dialTimeout, Unacked: 2 * time.Second,
	Idle: 2 * time.Second, Interval: time.Second, Probes: 2,
}

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	// Guard confines panics of what runs beside an exchange's own goroutine to that exchange; nil
	// lets them end the process. It must not change once the pool is used.
	Guard *fleet.Guard

	dialer net.Dialer

	mu     sync.Mutex
	idle   map[string][]*conn // most recently used last
	closed bool
	dials  uint64
}

// NewPool returns a pool without connections.
func NewPool() *Pool {
	return &Pool{idle: make(map[string][]*conn), dialer: limits.Dialer()}
}

// get returns an idle connection that the peer has not closed and that may carry the request,
// or a new one.
func (p *Pool) get(ctx context.Context, addr string, req *Request) (*conn, error) {
	for {
		c, err := p.idleConn(addr, req)
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.dial(ctx, addr)
		}
		if time.Now().Before(c.idleUntil) && c.isIdle() {
			return c, nil
		}
		c.close()
	}
}

// idleConn removes and returns the most recently used idle connection to an address that may
// carry the request, nil if there is none.
func (p *Pool) idleConn(addr string, req *Request) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed.New("the connection pool is closed")
	}
	list := p.idle[addr]
	for i := len(list) - 1; i >= 0; i-- {
		if c := list[i]; req.mayReuse(c) {
			p.idle[addr] = slices.Delete(list, i, i+1)
			return c, nil
		}
	}
	return nil, nil
}

func (p *Pool) dial(ctx context.Context, addr string) (*conn, error) {
	p.mu.Lock()
	p.dials++
	p.mu.Unlock()
	raw, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return newConn(raw, addr), nil
}

// put adds a connection whose exchange ended cleanly, for reuse within the idle time.
func (p *Pool) put(c *conn, idle time.Duration) {
	if idle <= 0 {
		c.close()
		return
	}
	c.idleUntil = time.Now().Add(idle)
	c.reused = true
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.close()
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// Trim closes connections whose idle timeout has passed.
func (p *Pool) Trim() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.idleUntil) {
				kept = append(kept, c)
			} else {
				c.close()
			}
		}
		clear(list[len(kept):])
		if p.idle[addr] = kept; len(kept) == 0 {
			delete(p.idle, addr)
		}
	}
}

// CloseIdle closes the idle connections to an address. Call it if the address now
// belongs to another upstream.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range list {
		c.close()
	}
}

// Dials returns the number of attempts to open a connection.
func (p *Pool) Dials() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// Close closes all idle connections. Connections in use are closed at the end of their
// exchange.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, list := range idle {
		for _, c := range list {
			c.close()
		}
	}
}
