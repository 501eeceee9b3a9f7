package control

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/tinylib/msgp/msgp"
	"github.com/wigeonflow/wigeonflow/internal/mesh"
)

// CodeNotLeader is the error code of a call to a member that does not lead. The
// error's Peer is the leader's mesh address, or empty if the member knows none.
const CodeNotLeader = "not-leader"

const (
	// callTimeout bounds one call to one member, so that a frozen member costs
	// a router no more than a fifth of its lease.
	callTimeout = 600 * time.Millisecond
	// largeCallTimeout bounds a call whose reply may be large. It covers the wait in
	// the member's pacer and the transfer of a few hundred kilobytes.
	largeCallTimeout = 900 * time.Millisecond
	// retryPause is the time between attempts while the group has no leader.
	retryPause = 50 * time.Millisecond
)

// Client calls the leader of the control group and finds the new leader when it
// changes. It retries a call whose reply was lost, because every method that it
// calls is idempotent. It is safe for concurrent use.
type Client struct {
	pool  *mesh.Pool
	addrs []string

	mu        sync.Mutex
	leader    string               // empty if unknown
	next      int                  // index into addrs of the member to try while the leader is unknown
	preferred int                  // index into addrs of the member that CallAny calls
	silent    map[string]time.Time // when a member last failed to answer

	answeredAt time.Time // when a member last answered; zero if none has
}

// NewClient returns a client of the control group whose members listen at addrs.
func NewClient(pool *mesh.Pool, addrs []string) *Client {
	c := &Client{pool: pool, addrs: addrs, silent: make(map[string]time.Time)}
	if len(addrs) > 0 {
		c.preferred = rand.IntN(len(addrs)) // so that routers spread over the members
		c.next = c.preferred
	}
	return c
}

// SetAddrs sets the addresses of the group's current members. An empty list is
// ignored.
func (c *Client) SetAddrs(addrs []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(addrs) > 0 && !slices.Equal(c.addrs, addrs) {
		c.addrs = addrs
	}
}

// Call calls the leader. It tries members until one answers as the leader; an error that
// the leader returns is final. If ctx ends first, it returns the error of the last attempt
// that ctx did not cut short.
func (c *Client) Call(ctx context.Context, method string, request msgp.Marshaler, reply msgp.Unmarshaler) error {
	var last error
	for {
		addr := c.leaderAddr()
		err := c.callOne(ctx, addr, method, request, reply)
		if err == nil {
			return nil
		}
		if ctx.Err() == nil || last == nil {
			last = err
		}
		if !c.updateLeader(addr, err) {
			return last
		}
		select {
		case <-ctx.Done():
			return last
		case <-time.After(retryPause):
		}
	}
}

// CallAny makes one call to any member of the group, the same one as long as it answers: with
// hundreds of routers, connections to all members cost these more than the calls. The
// reply may be large, and may be delayed by the member's pacer.
func (c *Client) CallAny(ctx context.Context, method string, request msgp.Marshaler, reply msgp.Unmarshaler) error {
	addr := c.any()
	ctx, cancel := context.WithTimeout(ctx, largeCallTimeout)
	defer cancel()
	err := c.pool.Call(ctx, addr, method, request, reply)
	c.recordAnswer(addr, err)
	if err != nil {
		c.preferNext(addr)
	}
	return err
}

// preferNext makes CallAny prefer another member than the one at addr, which may be silent or
// behind the others.
func (c *Client) preferNext(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := slices.Index(c.addrs, addr); i >= 0 {
		c.preferred = i + 1
	}
}

// silentBackoff is how long CallAny skips a member that did not answer.
const silentBackoff = 3 * time.Second

// any returns the address of the preferred member. It skips members that failed to
// answer within the last silentBackoff, because each call to a frozen member lasts
// until its timeout. If all members failed, it returns one of them.
func (c *Client) any() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.addrs {
		addr := c.addrs[(c.preferred+i)%len(c.addrs)]
		if at, silent := c.silent[addr]; !silent || time.Since(at) > silentBackoff {
			return addr
		}
	}
	return c.addrs[c.preferred%len(c.addrs)]
}

// recordAnswer records whether a member answered. An error that the member
// returned is an answer.
func (c *Client) recordAnswer(addr string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var remote *mesh.RemoteError
	if err == nil || errors.As(err, &remote) {
		delete(c.silent, addr)
		c.answeredAt = time.Now()
	} else {
		c.silent[addr] = time.Now()
	}
}

// AnsweredWithin reports whether a member has answered a call within the last d, as the
// leader or not.
func (c *Client) AnsweredWithin(d time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.answeredAt.IsZero() && time.Since(c.answeredAt) < d
}

func (c *Client) callOne(ctx context.Context, addr, method string, request msgp.Marshaler, reply msgp.Unmarshaler) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := c.pool.Call(ctx, addr, method, request, reply)
	c.recordAnswer(addr, err)
	return err
}

// leaderAddr returns the address of the last known leader, or of the next member
// to try if none is known.
func (c *Client) leaderAddr() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" {
		return c.leader
	}
	return c.addrs[c.next%len(c.addrs)]
}

// updateLeader updates the known leader after a call to addr failed, and reports
// whether a retry can succeed. An error that the leader itself returned is final.
func (c *Client) updateLeader(addr string, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	var remote *mesh.RemoteError
	if !errors.As(err, &remote) {
		c.forgetLeader(addr) // unreachable or frozen, or the reply was lost
		return true
	}
	if remote.Code != CodeNotLeader {
		return false
	}
	c.forgetLeader(addr)
	if remote.Peer != addr {
		c.leader = remote.Peer
	}
	return true
}

// forgetLeader advances to the next member if addr was the known leader or none
// is known.
func (c *Client) forgetLeader(addr string) {
	if c.leader == addr || c.leader == "" {
		c.leader = ""
		c.next++
	}
}

// notLeader returns the error with which a member that does not lead rejects a
// call; leader is the leader's mesh address, or empty.
func notLeader(step, leader string) error {
	return &mesh.RemoteError{Code: CodeNotLeader, Step: step, Peer: leader, Message: "this member does not lead"}
}
