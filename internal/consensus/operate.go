package consensus

import (
	"context"
	"errors"
	"time"
)

// AddLearner adds a member that receives the log and doesn't count in quorums yet.
// It replaces a member with the same ID and another store. If store is 0 or addr is
// empty, the values from the hello of the waiting member are used.
func (g *Group) AddLearner(ctx context.Context, id MemberID, addr string, store StoreID) error {
	return g.proposeChange(ctx, Change{Kind: ChangeAddLearner, ID: id, Addr: addr, Store: store})
}

// Promote makes a learner a voter. It waits until the learner has every committed
// entry, and returns a *NotCaughtUpError if ctx is done first.
func (g *Group) Promote(ctx context.Context, id MemberID) error {
	for {
		err := g.proposeChange(ctx, Change{Kind: ChangePromote, ID: id})
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
	return g.proposeChange(ctx, Change{Kind: ChangeRemove, ID: id})
}

// proposeChange proposes a membership change and waits until it is committed.
func (g *Group) proposeChange(ctx context.Context, ch Change) error {
	_, err := g.submit(ctx, func(now time.Duration, done func([]byte, error)) {
		g.replica.proposeChange(now, ch, done)
	})
	return err
}

// TransferLeadership transfers the leadership to a voter, or to the one with the
// longest log if id is empty, and returns once this member isn't the leader. It
// rejects proposals in the meantime. It returns ErrRejected if the target isn't
// elected within an election timeout.
func (g *Group) TransferLeadership(ctx context.Context, id MemberID) error {
	_, err := g.submit(ctx, func(now time.Duration, done func([]byte, error)) {
		if id == "" {
			id = g.replica.core.transferTarget()
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
			return ErrRejected.New("%s wasn't elected within the election timeout; this member remains the leader", id)
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

// transferTarget returns the other voter with the longest log, or "" if there is
// none.
func (c *Core) transferTarget() MemberID {
	var best MemberID
	var match uint64
	for _, m := range c.membership().Members {
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
