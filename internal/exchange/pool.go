package exchange

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

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
	// minSettleTime and maxSettleTime bound the time for which a new connection is watched before it
	// carries a request that may run at most once. An upstream resets a connection over its limit
	// as soon as it accepts it, which takes a busy one some milliseconds.
	minSettleTime = 5 * time.Millisecond
	maxSettleTime = 20 * time.Millisecond
	// minBackoff and maxBackoff bound the time for which no connection is opened to an address that has
	// reset one. A full upstream ends a request each few milliseconds.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
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
	peers  map[string]*peerState
	closed bool
	dials  uint64
	resets uint64 // of new connections
}

// peerState is what the pool knows of one address.
type peerState struct {
	open atomic.Int64 // connections, those being opened included
	// backoff is the latest time for which no connection was opened after a reset; 0 for none.
	// closedUntil is its end. Pool.mu guards both.
	backoff     time.Duration
	closedUntil time.Time
}

// NewPool returns a pool without connections.
func NewPool() *Pool {
	return &Pool{idle: make(map[string][]*conn), peers: make(map[string]*peerState), dialer: limits.Dialer()}
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
			return p.dial(ctx, addr, req)
		}
		if time.Now().Before(c.idleUntil) && c.isIdle() {
			c.limit = req.Limit
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

// dial opens a connection if the address may get one. Its error is an ErrReset if the peer has ended
// the connection again.
func (p *Pool) dial(ctx context.Context, addr string, req *Request) (*conn, error) {
	peer, err := p.reserve(addr, req.Limit)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	raw, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		peer.open.Add(-1)
		if errors.Is(err, unix.ECONNRESET) {
			p.recordReset(peer)
			err = resetError(err)
		}
		return nil, err
	}
	c := newConn(raw, addr)
	c.peer, c.limit = peer, req.Limit
	wait := time.Duration(0)
	if req.Once { // a reset arrives a round trip after the connection
		wait = min(max(2*time.Since(start), minSettleTime), maxSettleTime)
	}
	if err := c.checkOpen(wait); err != nil {
		c.close()
		p.recordReset(peer)
		return nil, resetError(err)
	}
	return c, nil
}

// reserve counts a connection that is about to be opened. At the limit it closes an idle one, which
// can't carry the request, in its favor.
func (p *Pool) reserve(addr string, limit ConnLimit) (*peerState, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer := p.peers[addr]
	if peer == nil {
		peer = new(peerState)
		p.peers[addr] = peer
	}
	if left := time.Until(peer.closedUntil); left > 0 {
		return nil, ErrBackoff.New("no new connection for %v: the upstream has reset one", left.Round(time.Millisecond))
	}
	if limit.Open > 0 && peer.open.Load() >= int64(limit.Open) && !p.closeOldest(addr) {
		return nil, ErrConnLimit.New("%d connections are open, at most %d", peer.open.Load(), limit.Open)
	}
	if limit.Kept > 0 && peer.open.Load() >= int64(limit.Kept) {
		p.closeOther(addr, limit.Group)
	}
	p.dials++
	peer.open.Add(1)
	return peer, nil
}

// closeOldest closes the idle connection to an address that was used least recently, and reports
// whether there was one. p.mu must be held.
func (p *Pool) closeOldest(addr string) bool {
	list := p.idle[addr]
	if len(list) == 0 {
		return false
	}
	list[0].close()
	p.idle[addr] = slices.Delete(list, 0, 1)
	return true
}

// closeOther closes an idle connection to another address of the group: a router that has more than
// its part at one upstream has less at another. p.mu must be held.
func (p *Pool) closeOther(addr, group string) {
	for other, list := range p.idle {
		if other != addr && len(list) > 0 && list[0].limit.Group == group {
			p.closeOldest(other)
			return
		}
	}
}

// recordReset makes the pool open no connection to the address of peer, which may be nil, for a time, which doubles with
// each reset: in a burst, all requests would otherwise try a full upstream.
func (p *Pool) recordReset(peer *peerState) {
	if peer == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resets++
	now := time.Now()
	if now.Before(peer.closedUntil) {
		return // opened at the same time as the one before
	}
	peer.backoff = min(max(2*peer.backoff, minBackoff), maxBackoff)
	// The random part keeps routers from coming back together.
	peer.closedUntil = now.Add(peer.backoff/2 + rand.N(peer.backoff))
}

// resetError returns the error of a new connection that the peer has ended before the write.
func resetError(cause error) error {
	return ErrReset.Wrap(cause, "the new connection was reset before the request was written")
}

// recordAnswer ends the back-off of a peer that has answered on a new connection.
func (p *Pool) recordAnswer(c *conn) {
	if c.reused || c.peer == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c.peer.backoff = 0
}

// Open returns the number of open connections to an address, idle ones and those being opened
// included.
func (p *Pool) Open(addr string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if peer := p.peers[addr]; peer != nil {
		return int(peer.open.Load())
	}
	return 0
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
	if p.closed || c.limit.Kept > 0 && c.peer != nil && c.peer.open.Load() > int64(c.limit.Kept) {
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
	for addr, peer := range p.peers {
		if peer.open.Load() == 0 && now.Sub(peer.closedUntil) > maxBackoff {
			delete(p.peers, addr)
		}
	}
}

// CloseIdle closes the idle connections to an address and ends its back-off. Call it if the
// address now belongs to another upstream.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	if peer := p.peers[addr]; peer != nil {
		peer.backoff, peer.closedUntil = 0, time.Time{}
	}
	p.mu.Unlock()
	for _, c := range list {
		c.close()
	}
}

// Counts returns how many connections are open to all addresses, idle ones included, and how many new
// ones were reset so far.
func (p *Pool) Counts() (open int, resets uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, peer := range p.peers {
		open += int(peer.open.Load())
	}
	return open, p.resets
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
