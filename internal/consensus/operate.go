package consensus

import (
	"context"
	"errors"
	"time"
)

// AddLearner adds a member that receives the log and doesn't count in quorums
// yet. It takes the place of a member with the same ID and another store. Store
// 0 and an empty addr mean those that the waiting member has told.
func (g *Group) AddLearner(ctx context.Context, id MemberID, addr string, store StoreID) error {
	return g.change(ctx, Change{Kind: ChangeAddLearner, ID: id, Addr: addr, Store: store})
}

// Promote makes a learner a voter. It waits until the learner has every committed
// entry, and returns a *NotCaughtUpError when ctx ends first.
func (g *Group) Promote(ctx context.Context, id MemberID) error {
	for {
		err := g.change(ctx, Change{Kind: ChangePromote, ID: id})
		var behind *NotCaughtUpError
		if !errors.As(err, &behind) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-g.cfg.Clock.After(DefaultHeartbeat):
		}
	}
}

// Remove removes a member.
func (g *Group) Remove(ctx context.Context, id MemberID) error {
	return g.change(ctx, Change{Kind: ChangeRemove, ID: id})
}

func (g *Group) change(ctx context.Context, ch Change) error {
	_, err := g.submit(ctx, func(now time.Duration, done func([]byte, error)) {
		g.replica.change(now, ch, done)
	})
	return err
}

// TransferLeadership hands the leadership to a voter, or to the one with the
// longest log when id is empty, and returns once this member doesn't lead any
// more. Proposals are refused meanwhile. It returns ErrRefused when the target
// didn't take over within an election timeout.
func (g *Group) TransferLeadership(ctx context.Context, id MemberID) error {
	_, err := g.submit(ctx, func(now time.Duration, done func([]byte, error)) {
		if id == "" {
			id = g.replica.core.successor()
		}
		done(nil, g.replica.core.TransferLeadership(now, id))
	})
	for err == nil {
		s, statusErr := g.Status(ctx)
		switch {
		case statusErr != nil:
			return statusErr
		case s.Role != RoleLeader.String():
			return nil
		case !s.Transferring:
			return ErrRefused.New("%s didn't take the leadership over", id)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-g.cfg.Clock.After(transferPoll):
		}
	}
	return err
}

const transferPoll = 5 * time.Millisecond

// successor returns the live voter with the longest log, or nothing.
func (c *Core) successor() MemberID {
	var best MemberID
	var match uint64
	for _, m := range c.current().Members {
		p := c.leadership.progress[m.ID]
		if p == nil || m.Learner || m.ID == c.opts.ID {
			continue
		}
		if best == "" || p.match > match {
			best, match = m.ID, p.match
		}
	}
	return best
}
