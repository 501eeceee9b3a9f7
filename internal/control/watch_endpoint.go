package control

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/mesh"
	"github.com/wigeonflow/wigeonflow/internal/session"
)

// MethodWatch opens a stream on which the leader sends a session.Notice, now
// and whenever it changes. It ends with CodeNotLeader once another member leads.
const MethodWatch = "session.watch"

// board shows the newest notice to any number of watchers.
type board struct {
	mu      sync.Mutex
	notice  session.Notice
	leading bool
	changed chan struct{} // closed at the next change
}

func newBoard() *board { return &board{changed: make(chan struct{})} }

// show replaces the notice and wakes the watchers. While another member leads
// there is none to show.
func (b *board) show(n session.Notice, leading bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.notice, b.leading = n, leading
	close(b.changed)
	b.changed = make(chan struct{})
}

// read returns what is shown, and a channel that is closed when that changes.
func (b *board) read() (n session.Notice, leading bool, changed <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.notice, b.leading, b.changed
}

// watch serves one router's stream of notices.
func (s *Server) watch(ctx context.Context, stream *mesh.Stream, _ []byte) error {
	for {
		notice, leading, changed := s.leader.board.read()
		if !leading {
			return s.notLeader(ctx, MethodWatch)
		}
		message, err := notice.MarshalMsg(nil)
		if err != nil {
			return err
		}
		if err := stream.Send(ctx, message); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// watchCheck spaces looks at whether the watched member is still the one that
// calls go to: a frozen leader ends no stream.
const watchCheck = time.Second

// Watch hands every notice of the leader to take until ctx ends. A notice is a
// hint: whoever misses one renews at its own time.
func (c *Client) Watch(ctx context.Context, take func(session.Notice)) {
	for ctx.Err() == nil {
		addr := c.target()
		pause := retryPause
		if !c.follow(addr, c.watchOne(ctx, addr, take)) {
			pause = watchCheck
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// errLeaderChanged ends the watch of a member that calls no longer go to.
var errLeaderChanged = fleet.Errors.NewType("control_leader_changed")

func (c *Client) watchOne(ctx context.Context, addr string, take func(session.Notice)) error {
	stream, err := c.pool.Open(ctx, addr, MethodWatch, nil)
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		message, err := nextMessage(ctx, stream)
		switch {
		case errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil:
			if c.target() != addr {
				return errLeaderChanged.New("%s is no longer the leader", addr)
			}
			continue
		case err != nil:
			return err
		}
		var notice session.Notice
		if _, err := notice.UnmarshalMsg(message); err != nil {
			return fleet.At(err, "control.watch", addr)
		}
		take(notice)
	}
}

// nextMessage waits for one message, at most for watchCheck.
func nextMessage(ctx context.Context, stream *mesh.Stream) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, watchCheck)
	defer cancel()
	return stream.Recv(ctx)
}
