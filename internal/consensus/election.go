package consensus

import "time"

// resetElection sets the election deadline to between 1 and 1.5 election timeouts
// from now (thesis §3.4).
func (c *Core) resetElection(now time.Duration) {
	e := c.opts.ElectionTimeout
	c.electionDeadline = now + e + c.randomDuration(e/2)
}

// retryElection sets the deadline of the next campaign. It is earlier than after
// resetElection: a pre-vote doesn't disrupt a leader, and the random part of the
// delay resolves split votes.
func (c *Core) retryElection(now time.Duration) {
	e := c.opts.ElectionTimeout
	if now < c.returningUntil {
		c.electionDeadline = now + e/16
		return
	}
	c.electionDeadline = now + e/8 + c.randomDuration(e/4)
}

// resumeLeadership makes a member that led when its process ended campaign at once, and
// repeatedly for an election timeout, within which other members may start. Its lease ended with
// its process, so voters needn't wait for it (see withinLease).
func (c *Core) resumeLeadership(now time.Duration) {
	if c.hard.Leader != c.opts.Store || !c.membership().Voter(c.opts.ID, c.opts.Store) {
		return
	}
	c.returningUntil = now + c.opts.ElectionTimeout
	c.electionDeadline = now
}

func (c *Core) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(c.opts.Rand.Int64N(int64(limit) + 1))
}

// setTerm enters another term, in which this member hasn't voted yet.
func (c *Core) setTerm(term uint64) {
	if term == c.hard.Term {
		return
	}
	c.hard.Term, c.hard.Vote, c.hard.VoteStore = term, "", 0
	c.hardChanged = true
}

func (c *Core) becomeFollower(now time.Duration, term uint64, leader MemberID) {
	c.setTerm(term)
	c.returningUntil = 0
	c.role, c.leader = RoleFollower, leader
	c.leadership = leadership{}
	c.votes = nil
	c.resetElection(now)
}

// campaign starts a pre-vote (thesis §9.6). In a leadership transfer (forced) it
// starts the election directly, and voters ignore the former leader's lease.
func (c *Core) campaign(now time.Duration, forced bool) {
	c.retryElection(now)
	if !c.membership().Voter(c.opts.ID, c.opts.Store) {
		return
	}
	c.leader = ""
	if forced {
		c.startElection(now, true)
		return
	}
	c.role = RolePreCandidate
	c.votes = map[MemberID]bool{c.opts.ID: true}
	c.requestVotes(Message{Type: MessagePreVote, Term: c.hard.Term + 1, Addr: c.opts.Addr})
	c.countVotes(now)
}

// startElection enters the next term, votes for this member and requests votes.
func (c *Core) startElection(now time.Duration, forced bool) {
	c.retryElection(now)
	c.setTerm(c.hard.Term + 1)
	c.hard.Vote, c.hard.VoteStore = c.opts.ID, c.opts.Store
	c.role = RoleCandidate
	c.votes = map[MemberID]bool{c.opts.ID: true}
	c.requestVotes(Message{Type: MessageVote, Term: c.hard.Term, Forced: forced})
	c.countVotes(now)
}

func (c *Core) requestVotes(m Message) {
	m.Index, m.LogTerm = c.log.last(), c.log.lastTerm()
	for _, member := range c.membership().Members {
		if member.ID == c.opts.ID || member.Learner {
			continue
		}
		m.To, m.ToStore = member.ID, member.Store
		c.messages = append(c.messages, c.withSender(m))
	}
}

// withinLease reports whether a vote must be rejected because a leader may still
// hold a lease that this member acknowledged (thesis §6.4.1). A leader's own
// heartbeats count as contact with a leader.
//
// The lease that this member's responses support is that of the leader which it last
// followed. A candidate is no leader, and never leads its former term again: a request of that
// very data directory shows that its lease has ended.
func (c *Core) withinLease(now time.Duration, m Message) bool {
	if m.Forced || !c.leaderContacted || c.opts.faults.grantWithinLease || c.isFormerLeader(m.FromStore) {
		return false
	}
	return now-c.lastLeaderContact < c.opts.ElectionTimeout
}

// isFormerLeader reports whether the data directory is that of the leader that this member
// last followed, or led as itself.
func (c *Core) isFormerLeader(store StoreID) bool {
	return store == c.hard.Leader || c.opts.faults.forgetLeader
}

func (c *Core) handlePreVote(now time.Duration, m Message) {
	grant := m.Term > c.hard.Term && !c.withinLease(now, m) && c.log.upToDate(m.Index, m.LogTerm)
	r := Message{Type: MessagePreVoteResponse, Reject: !grant}
	if grant {
		r.Term = m.Term
	}
	c.reply(m, r)
}

func (c *Core) handleVote(now time.Duration, m Message) {
	canVote := c.hard.Vote == "" || (c.hard.Vote == m.From && c.hard.VoteStore == m.FromStore)
	grant := canVote && !c.withinLease(now, m) && c.log.upToDate(m.Index, m.LogTerm)
	if grant && c.hard.Vote == "" {
		c.hard.Vote, c.hard.VoteStore = m.From, m.FromStore
		c.hardChanged = true
		c.resetElection(now)
	}
	c.reply(m, Message{Type: MessageVoteResponse, Reject: !grant})
}

// handleVoteResponse counts a granted vote or pre-vote of the current election.
// Responses of an earlier election carry another term and are ignored.
func (c *Core) handleVoteResponse(now time.Duration, m Message) {
	preVote := c.role == RolePreCandidate && m.Type == MessagePreVoteResponse && m.Term == c.hard.Term+1
	vote := c.role == RoleCandidate && m.Type == MessageVoteResponse && m.Term == c.hard.Term
	if m.Reject || !(preVote || vote) {
		return
	}
	c.votes[m.From] = true
	c.countVotes(now)
}

// countVotes starts the election, or the leadership, once a majority has granted the
// pre-vote or the vote.
func (c *Core) countVotes(now time.Duration) {
	set := c.membership()
	granted := 0
	for _, member := range set.Members {
		if !member.Learner && c.votes[member.ID] {
			granted++
		}
	}
	switch {
	case granted < set.Quorum():
	case c.role == RolePreCandidate:
		c.startElection(now, false)
	case c.role == RoleCandidate:
		c.becomeLeader(now)
	}
}

// handleTimeoutNow starts the election of a leadership transfer. The former leader
// released its lease for the rest of the term before it sent the message.
func (c *Core) handleTimeoutNow(now time.Duration) {
	if c.role != RoleLeader {
		c.campaign(now, true)
	}
}

// followLeader records contact with the leader of the current term.
func (c *Core) followLeader(now time.Duration, m Message) {
	if c.role == RoleLeader {
		c.fail(ErrInvariant.New("%s and %s are both leader of term %d", c.opts.ID, m.From, m.Term))
		return
	}
	c.becomeFollower(now, m.Term, m.From)
	c.leaderContacted, c.lastLeaderContact = true, now
	c.recordLeader(m.FromStore)
}

// recordLeader records the store of the leader that this member follows from now on. It is synced
// before the first response to that leader is sent.
func (c *Core) recordLeader(store StoreID) {
	if c.hard.Leader != store {
		c.hard.Leader, c.hardChanged = store, true
	}
}
