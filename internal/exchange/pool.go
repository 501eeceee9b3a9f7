package exchange

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/socket"
)

const (
	// dialTimeout bounds connecting: an upstream is a few milliseconds away,
	// and a dropped opening packet is sent again only after a second.
	dialTimeout = 400 * time.Millisecond
	// defaultIdle is how long a connection is kept whose peer names no timeout.
	defaultIdle = 4 * time.Second
	// idleMargin is how much sooner than the peer's idle timeout a connection is
	// given up: a request must not cross the close.
	idleMargin = 500 * time.Millisecond
)

// limits tell when a connection to an upstream counts as lost. A silent connection
// that owes an answer is found by probes, one that takes no bytes by their
// acknowledgement.
var limits = socket.Limits{
	Dial: dialTimeout, Unacked: 2 * time.Second,
	Idle: 2 * time.Second, Interval: time.Second, Probes: 2,
}

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer

	mu     sync.Mutex
	idle   map[string][]*conn // the most recently used one last
	closed bool
	dials  uint64
}

// NewPool returns a pool without connections.
func NewPool() *Pool {
	return &Pool{idle: make(map[string][]*conn), dialer: limits.Dialer()}
}

// take returns an idle connection that the peer has not closed, or a new one.
func (p *Pool) take(ctx context.Context, addr string) (*conn, error) {
	for {
		c, err := p.idleConn(addr)
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.dial(ctx, addr)
		}
		if time.Now().Before(c.idleUntil) && c.quiet() {
			return c, nil
		}
		c.close()
	}
}

func (p *Pool) idleConn(addr string) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed.New("the pool is closed")
	}
	list := p.idle[addr]
	if len(list) == 0 {
		return nil, nil
	}
	c := list[len(list)-1]
	p.idle[addr] = list[:len(list)-1]
	return c, nil
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

// put takes back a connection whose exchange ended cleanly.
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

// Trim closes connections that have been idle for too long.
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

// Forget closes the idle connections to an address, whose peer has changed.
func (p *Pool) Forget(addr string) {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range list {
		c.close()
	}
}

// Dials returns how many connections were opened or tried.
func (p *Pool) Dials() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// Close closes every idle connection; those in use close at their end.
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
