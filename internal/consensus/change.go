package consensus

import "time"

// ProposeChange appends a change of membership and returns its index and term.
// It is refused, with nothing appended, while an earlier change or the start of
// the term isn't committed (thesis §4.1 and the erratum on single-server changes,
// raft-dev 2015), when it would leave no live majority, or when a learner to be
// promoted hasn't caught up.
func (c *Core) ProposeChange(now time.Duration, ch Change) (index, term uint64, err error) {
	if err := c.mayPropose(); err != nil {
		return 0, 0, err
	}
	if c.log.commit < c.lastChange() || c.log.commit < c.leadership.termStart {
		return 0, 0, ErrRefused.New("an earlier change isn't committed yet")
	}
	if ch.Kind == ChangeAddLearner && ch.ID == c.opts.ID {
		return 0, 0, ErrRefused.New("%s leads; transfer the leadership first", ch.ID)
	}
	next, err := c.current().apply(c.complete(now, ch))
	if err != nil {
		return 0, 0, err
	}
	if ch.Kind == ChangePromote {
		if err := c.caughtUp(now, ch.ID); err != nil {
			return 0, 0, err
		}
	}
	if err := c.keepsQuorum(now, next); err != nil {
		return 0, 0, err
	}
	data, err := next.MarshalMsg(nil)
	if err != nil {
		return 0, 0, ErrRefused.Wrap(err, "encode the membership")
	}
	index = c.appendOwn(Entry{Kind: EntryMembers, Data: data})
	delete(c.waiting, ch.ID)
	c.leadership.removed = next.Find(c.opts.ID) == nil
	c.syncProgress(now)
	return index, c.hard.Term, nil
}

// complete fills in the store and address that a waiting member has told.
func (c *Core) complete(now time.Duration, ch Change) Change {
	w, ok := c.waitingStore(now, ch.ID)
	if ch.Kind != ChangeAddLearner || !ok {
		return ch
	}
	if ch.Store == 0 {
		ch.Store = w.Store
	}
	if ch.Addr == "" {
		ch.Addr = w.Addr
	}
	return ch
}

// caughtUp refuses a learner that lacks a committed entry or is silent
// (thesis §4.2.1): as a voter it would stand in the way of commits.
func (c *Core) caughtUp(now time.Duration, id MemberID) error {
	p := c.leadership.progress[id]
	if p == nil || p.match < c.log.commit || !c.live(now, id) {
		behind := c.log.commit
		if p != nil {
			behind -= min(p.match, behind)
		}
		return &NotCaughtUpError{ID: id, Behind: behind}
	}
	return nil
}

// keepsQuorum refuses a membership in which the live voters are no majority.
func (c *Core) keepsQuorum(now time.Duration, next MemberSet) error {
	live := c.liveVoters(now, next)
	if live < next.Quorum() {
		return ErrRefused.New("only %d of %d voters would be live", live, next.Voters())
	}
	return nil
}

func (c *Core) liveVoters(now time.Duration, set MemberSet) int {
	live := 0
	for _, m := range set.Members {
		if !m.Learner && (m.ID == c.opts.ID || c.live(now, m.ID)) {
			live++
		}
	}
	return live
}
