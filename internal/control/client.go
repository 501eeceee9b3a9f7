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

// CodeNotLeader ends a call at a member that does not lead. Peer holds the
// leader's mesh address, empty where the member knows none.
const CodeNotLeader = "not-leader"

const (
	// callTimeout bounds one call at one member, so that a frozen member costs
	// a router no more than a fifth of its lease.
	callTimeout = 600 * time.Millisecond
	// largeCallTimeout bounds a call whose reply may be large: its turn on the link,
	// and some hundred kilobytes.
	largeCallTimeout = 900 * time.Millisecond
	// retryPause spaces calls while the group has no leader.
	retryPause = 50 * time.Millisecond
)

// Client calls the leader of the control group and follows it as it changes.
// Every method that it calls is idempotent, so that a call whose reply was lost
// is simply made again.
type Client struct {
	pool  *mesh.Pool
	addrs []string

	mu     sync.Mutex
	leader string
	next   int
	mute   map[string]time.Time // when a member last failed to answer
}

// NewClient returns a client of the group whose members listen at addrs.
func NewClient(pool *mesh.Pool, addrs []string) *Client {
	return &Client{pool: pool, addrs: addrs, mute: make(map[string]time.Time)}
}

// Learn replaces the addresses of the group by those that it has now.
func (c *Client) Learn(addrs []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(addrs) > 0 && !slices.Equal(c.addrs, addrs) {
		c.addrs = addrs
	}
}

// Call makes one call at the leader. It tries members until one answers as
// leader or ctx ends; the error is then that of the last try.
func (c *Client) Call(ctx context.Context, method string, request msgp.Marshaler, reply msgp.Unmarshaler) error {
	var last error
	for {
		addr := c.target()
		err := c.callOne(ctx, addr, method, request, reply)
		if err == nil {
			return nil
		}
		if ctx.Err() == nil || last == nil {
			last = err
		}
		if !c.follow(addr, err) {
			return last
		}
		select {
		case <-ctx.Done():
			return last
		case <-time.After(retryPause):
		}
	}
}

// CallAny makes one call at some member of the group. Its reply may be large and
// wait for its turn on the member's link.
func (c *Client) CallAny(ctx context.Context, method string, request msgp.Marshaler, reply msgp.Unmarshaler) error {
	addr := c.any()
	ctx, cancel := context.WithTimeout(ctx, largeCallTimeout)
	defer cancel()
	err := c.pool.Call(ctx, addr, method, request, reply)
	c.noteMute(addr, err)
	return err
}

// muteTime is how long a member that did not answer is passed over.
const muteTime = 3 * time.Second

// any returns some member, rather one that has not failed to answer lately: a member
// that is frozen costs each call to it a time-out.
func (c *Client) any() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	start := rand.IntN(len(c.addrs))
	for i := range c.addrs {
		addr := c.addrs[(start+i)%len(c.addrs)]
		if at, mute := c.mute[addr]; !mute || time.Since(at) > muteTime {
			return addr
		}
	}
	return c.addrs[start]
}

// noteMute notes whether a member answers, with an error or without.
func (c *Client) noteMute(addr string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var remote *mesh.RemoteError
	if err == nil || errors.As(err, &remote) {
		delete(c.mute, addr)
	} else {
		c.mute[addr] = time.Now()
	}
}

func (c *Client) callOne(ctx context.Context, addr, method string, request msgp.Marshaler, reply msgp.Unmarshaler) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := c.pool.Call(ctx, addr, method, request, reply)
	c.noteMute(addr, err)
	return err
}

// target returns the member to call: the leader as last heard of, else the
// members in turn.
func (c *Client) target() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" {
		return c.leader
	}
	return c.addrs[c.next%len(c.addrs)]
}

// follow takes the error of a call at addr and reports whether another try can
// help. An error that the leader itself returned is final.
func (c *Client) follow(addr string, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	var remote *mesh.RemoteError
	if !errors.As(err, &remote) {
		c.leave(addr) // unreachable, frozen or lost
		return true
	}
	if remote.Code != CodeNotLeader {
		return false
	}
	c.leave(addr)
	if remote.Peer != addr {
		c.leader = remote.Peer
	}
	return true
}

func (c *Client) leave(addr string) {
	if c.leader == addr || c.leader == "" {
		c.leader = ""
		c.next++
	}
}

// notLeader is the error of a member that does not lead.
func notLeader(step, leader string) error {
	return &mesh.RemoteError{Code: CodeNotLeader, Step: step, Peer: leader, Message: "this member does not lead"}
}
