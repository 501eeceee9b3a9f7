package consensus

import "time"

// ProposeChange appends a membership change and returns its index and term. It
// returns an error and appends nothing if an earlier change or the first entry of
// the term isn't committed yet (thesis §4.1 and the erratum on single-server
// changes, raft-dev 2015), if the change would leave no live majority, or if a
// learner to be promoted hasn't caught up.
func (c *Core) ProposeChange(now time.Duration, ch Change) (index, term uint64, err error) {
	if err := c.checkCanPropose(); err != nil {
		return 0, 0, err
	}
	if c.log.commit < c.lastChangeIndex() || c.log.commit < c.leadership.termStart {
		return 0, 0, ErrRejected.New("a membership change needs entries %d (the previous change) and %d (the first of the term) to be committed; the commit index is %d; retry later", c.lastChangeIndex(), c.leadership.termStart, c.log.commit)
	}
	if ch.Kind == ChangeAddLearner && ch.ID == c.opts.ID {
		return 0, 0, ErrRejected.New("%s is the leader; transfer the leadership before replacing it", ch.ID)
	}
	next, err := c.membership().apply(c.fillFromWaiting(now, ch))
	if err != nil {
		return 0, 0, err
	}
	if ch.Kind == ChangePromote {
		if err := c.checkCaughtUp(now, ch.ID); err != nil {
			return 0, 0, err
		}
	}
	if err := c.checkLiveQuorum(now, next); err != nil {
		return 0, 0, err
	}
	data, err := next.MarshalMsg(nil)
	if err != nil {
		return 0, 0, ErrRejected.Wrap(err, "encode the membership")
	}
	index = c.appendOwn(Entry{Kind: EntryMembers, Data: data})
	delete(c.waiting, ch.ID)
	c.leadership.removed = next.Find(c.opts.ID) == nil
	c.syncProgress(now)
	return index, c.hard.Term, nil
}

// fillFromWaiting completes a change that adds a learner with what the hello of the
// waiting member says.
func (c *Core) fillFromWaiting(now time.Duration, ch Change) Change {
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
	ch.Initial = w.Initial
	return ch
}

// checkCaughtUp returns a *NotCaughtUpError for a learner that lacks a committed
// entry or hasn't responded within an election timeout (thesis §4.2.1): as a voter
// it would delay commits.
func (c *Core) checkCaughtUp(now time.Duration, id MemberID) error {
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

// checkLiveQuorum returns an error for a membership whose live voters aren't a
// majority.
func (c *Core) checkLiveQuorum(now time.Duration, next MemberSet) error {
	live := c.liveVoters(now, next)
	if live < next.Quorum() {
		return ErrRejected.New("the change would leave %d of %d voters live; a majority is %d", live, next.Voters(), next.Quorum())
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
