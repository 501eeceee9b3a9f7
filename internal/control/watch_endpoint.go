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

// MethodWatch opens a stream on which the leader sends the current session.Notice
// and every change of it. The stream ends with CodeNotLeader once another member
// leads.
const MethodWatch = "session.watch"

// noticePublisher publishes the newest notice to any number of watchers.
type noticePublisher struct {
	mu      sync.Mutex
	notice  session.Notice
	leading bool
	changed chan struct{} // closed at the next change
}

func newNoticePublisher() *noticePublisher { return &noticePublisher{changed: make(chan struct{})} }

// publish replaces the notice and wakes the watchers. If leading is not set,
// another member leads and there is no notice.
func (p *noticePublisher) publish(n session.Notice, leading bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notice, p.leading = n, leading
	close(p.changed)
	p.changed = make(chan struct{})
}

// current returns the published notice, and a channel that is closed when it
// changes.
func (p *noticePublisher) current() (n session.Notice, leading bool, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.notice, p.leading, p.changed
}

// watch answers MethodWatch.
func (s *Server) watch(ctx context.Context, stream *mesh.Stream, _ []byte) error {
	err := s.callAsLeader(ctx, MethodWatch, func() bool {
		_, leading, _ := s.leader.notices.current()
		return leading
	})
	if err != nil {
		return err
	}
	for {
		notice, leading, changed := s.leader.notices.current()
		if !leading {
			return s.notLeader(MethodWatch)
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

// watchCheckInterval is the time between checks of whether the watched member is
// still the known leader. A frozen leader does not end the stream.
const watchCheckInterval = time.Second

// Watch calls handle with every notice of the leader until ctx ends. A notice is a
// hint: a router that misses one renews at its next regular renewal.
func (c *Client) Watch(ctx context.Context, handle func(session.Notice)) {
	for ctx.Err() == nil {
		addr := c.leaderAddr()
		pause := retryPause
		if !c.updateLeader(addr, c.watchOne(ctx, addr, handle)) {
			pause = watchCheckInterval
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// errLeaderChanged ends the watch of a member that is no longer the known leader.
var errLeaderChanged = fleet.Errors.NewType("control_leader_changed")

func (c *Client) watchOne(ctx context.Context, addr string, handle func(session.Notice)) error {
	stream, err := c.pool.Open(ctx, addr, MethodWatch, nil)
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		message, err := nextMessage(ctx, stream)
		switch {
		case errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil:
			if c.leaderAddr() != addr {
				return errLeaderChanged.New("control member %s is no longer the leader", addr)
			}
			continue
		case err != nil:
			return err
		}
		var notice session.Notice
		if err := mesh.Decode(message, &notice); err != nil {
			return fleet.At(err, "control.watch", addr)
		}
		handle(notice)
	}
}

// nextMessage waits for one message, for at most watchCheckInterval.
func nextMessage(ctx context.Context, stream *mesh.Stream) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, watchCheckInterval)
	defer cancel()
	return stream.Recv(ctx)
}
