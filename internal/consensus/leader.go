package consensus

import (
	"slices"
	"time"
)

// leadership is the state of a leader in one term.
type leadership struct {
	progress  map[MemberID]*progress
	termStart uint64 // index of the entry that started the term
	// rounds are the newest heartbeats; older ones are too old to prove a lease.
	rounds        []round
	round         uint64 // number of the newest heartbeat
	nextHeartbeat time.Duration
	// commitUnsent is set while the members haven't been sent the newest commit index.
	commitUnsent  bool
	transfer      *transfer
	leaseReleased bool
	removed       bool // the membership in force lacks the leader
}

// round is one heartbeat to every member.
type round struct {
	number uint64
	sent   time.Duration
}

// progress is what a leader knows about one member's log.
type progress struct {
	store        StoreID
	match        uint64 // last acknowledged entry
	next         uint64
	probing      bool          // next is unconfirmed
	probe        uint64        // index before the entries of the last append message
	stalled      bool          // entries were unacknowledged at the last heartbeat response
	round        uint64        // newest heartbeat answered
	responded    bool          // in this term
	lastActive   time.Duration // last response, or when progress tracking began
	snapshotSent time.Duration // 0 if none is in flight
}

// transfer is a pending leadership transfer (thesis §3.10).
type transfer struct {
	target   MemberID
	deadline time.Duration
}

func (c *Core) becomeLeader(now time.Duration) {
	c.role, c.leader, c.votes = RoleLeader, c.opts.ID, nil
	c.recordLeader(c.opts.Store)
	c.leadership = leadership{progress: map[MemberID]*progress{}, termStart: c.log.last() + 1}
	c.syncProgress(now)
	c.appendOwn(Entry{Kind: EntryNoop})
	c.startHeartbeatRound(now)
	for _, m := range c.membership().Members {
		if m.ID != c.opts.ID {
			c.sendEntries(now, m)
		}
	}
}

// syncProgress updates progress after a membership change. A member with a new
// store starts with an empty log.
func (c *Core) syncProgress(now time.Duration) {
	set := c.membership()
	known := c.leadership.progress
	for id := range known {
		if set.Find(id) == nil {
			delete(known, id)
		}
	}
	for _, m := range set.Members {
		if p := known[m.ID]; p == nil || p.store != m.Store {
			known[m.ID] = &progress{store: m.Store, next: c.log.last() + 1, probing: true, lastActive: now}
		}
	}
}

// appendOwn appends an entry to the leader's own log, in the current term, and returns
// its index.
func (c *Core) appendOwn(e Entry) uint64 {
	e.Index, e.Term = c.log.last()+1, c.hard.Term
	c.log.append(e)
	c.applyMembership(e)
	return e.Index
}

// Propose appends a command and returns its index and term. It returns an error and
// appends nothing if the member isn't the leader, is transferring its leadership,
// or has too many uncommitted entries, or if the command is too large.
func (c *Core) Propose(now time.Duration, data []byte) (index, term uint64, err error) {
	if err := c.checkCanPropose(); err != nil {
		return 0, 0, err
	}
	if len(data) > MaxCommandBytes {
		return 0, 0, &NotProposedError{Cause: ErrRejected.New("the command has %d bytes; the limit is %d bytes", len(data), MaxCommandBytes)}
	}
	index = c.appendOwn(Entry{Kind: EntryCommand, Data: data})
	return index, c.hard.Term, nil
}

// Flush sends the entries proposed since the last call to the members.
func (c *Core) Flush(now time.Duration) {
	if c.role == RoleLeader {
		c.broadcastEntries(now)
	}
}

func (c *Core) checkCanPropose() error {
	if c.role != RoleLeader {
		return c.notLeaderError()
	}
	if t := c.leadership.transfer; t != nil {
		return &NotLeaderError{Leader: t.target, Addr: c.memberAddr(t.target)}
	}
	if waiting := c.log.last() - c.log.commit; waiting >= maxUncommitted || c.log.bytes >= maxLogBytes {
		return &NotProposedError{Cause: ErrRejected.New("the log has %d uncommitted entries and %d bytes in memory; the limits are %d entries and %d bytes; retry later", waiting, c.log.bytes, maxUncommitted, maxLogBytes)}
	}
	return nil
}

func (c *Core) notLeaderError() error {
	return &NotLeaderError{Leader: c.leader, Addr: c.memberAddr(c.leader)}
}

func (c *Core) memberAddr(id MemberID) string {
	if m := c.membership().Find(id); m != nil {
		return m.Addr
	}
	return ""
}

func (c *Core) tickLeader(now time.Duration) {
	if c.stepDownIfNeeded(now) {
		return
	}
	if now >= c.heartbeatDue() {
		c.startHeartbeatRound(now)
	}
}

// heartbeatDue returns when the next heartbeat is due. A new commit index brings it forward, so
// that members that don't lead can soon answer with what was committed, but several commits
// share one heartbeat.
func (c *Core) heartbeatDue() time.Duration {
	due := c.leadership.nextHeartbeat
	if c.leadership.commitUnsent {
		due -= c.opts.Heartbeat - c.opts.Heartbeat/commitsPerHeartbeat
	}
	return due
}

// stepDownIfNeeded implements check-quorum (thesis §6.2): a leader steps down if a
// majority hasn't responded for an election timeout, if it was removed from the
// membership, or if it released its lease for a transfer that timed out. It reports
// whether the leader stepped down.
func (c *Core) stepDownIfNeeded(now time.Duration) bool {
	l := &c.leadership
	if l.removed && l.progress[c.opts.ID] == nil && c.log.commit >= c.lastChangeIndex() {
		c.becomeFollower(now, c.hard.Term, "")
		return true
	}
	active := 0
	for _, m := range c.membership().Members {
		if !m.Learner && (m.ID == c.opts.ID || c.presumedLive(now, m.ID)) {
			active++
		}
	}
	if active < c.membership().Quorum() {
		c.becomeFollower(now, c.hard.Term, "")
		return true
	}
	if l.transfer != nil && now >= l.transfer.deadline {
		l.transfer = nil
		if l.leaseReleased {
			c.becomeFollower(now, c.hard.Term, "")
			return true
		}
	}
	return false
}

// presumedLive reports whether the member responded within an election timeout, or has
// been tracked for less than that and may still respond.
func (c *Core) presumedLive(now time.Duration, id MemberID) bool {
	p := c.leadership.progress[id]
	return p != nil && now-p.lastActive < c.opts.ElectionTimeout
}

// live reports whether the member responded within an election timeout.
func (c *Core) live(now time.Duration, id MemberID) bool {
	return c.presumedLive(now, id) && c.leadership.progress[id].responded
}

// startHeartbeatRound sends a heartbeat to every other member. It also counts as contact
// with a leader, so that the leader itself grants no vote while its lease may be valid.
func (c *Core) startHeartbeatRound(now time.Duration) {
	l := &c.leadership
	l.nextHeartbeat = now + c.opts.Heartbeat
	l.round++
	l.commitUnsent = false
	l.rounds = append(l.rounds, round{l.round, now})
	l.rounds = slices.DeleteFunc(l.rounds, func(r round) bool { return now-r.sent > 2*c.opts.ElectionTimeout })
	c.leaderContacted, c.lastLeaderContact = true, now
	for _, m := range c.membership().Members {
		if m.ID == c.opts.ID {
			continue
		}
		commit := min(c.log.commit, l.progress[m.ID].match)
		c.sendEarly(m, Message{Type: MessageHeartbeat, Commit: commit, Round: l.round})
	}
}

func (c *Core) handleHeartbeatResponse(now time.Duration, m Message) {
	p := c.leadership.progress[m.From]
	if c.role != RoleLeader || p == nil {
		return
	}
	p.lastActive, p.responded = now, true
	p.round = max(p.round, m.Round)
	c.resendIfStalled(now, p, m.From)
}

// resendIfStalled sends again from the last acknowledged entry, or the last probe, after
// two heartbeat responses without an acknowledgement of the entries in flight.
func (c *Core) resendIfStalled(now time.Duration, p *progress, id MemberID) {
	if p.match >= c.log.last() {
		p.stalled = false
		return
	}
	if !p.stalled {
		p.stalled = true
		return
	}
	p.stalled = false
	p.next = p.match + 1
	if p.probing {
		p.next = p.probe + 1 // repeat the probe, so that a late response still counts
	}
	c.sendEntries(now, *c.membership().Find(id))
}

// quorumValue returns the largest value that a majority of the voters has reached,
// where own is the value of this member.
func (c *Core) quorumValue(own uint64, value func(*progress) uint64) uint64 {
	var values []uint64
	for _, m := range c.membership().Members {
		switch {
		case m.Learner:
		case m.ID == c.opts.ID:
			values = append(values, own)
		default:
			values = append(values, value(c.leadership.progress[m.ID]))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-c.membership().Quorum()]
}

// QuorumRound returns the newest heartbeat round that a majority has answered.
func (c *Core) QuorumRound() uint64 {
	if c.role != RoleLeader {
		return 0
	}
	return c.quorumValue(c.leadership.round, func(p *progress) uint64 { return p.round })
}

// LeaseUntil returns the instant before which no other member can be elected. It
// returns false if this member can't prove that it is the leader and has the
// complete committed log.
//
// A majority received the heartbeat after it was sent, and grants no vote for an
// election timeout on its own clocks. That is at least ElectionTimeout/(1+d) of
// true time for a drift d, and a lease of (1-2d)*ElectionTimeout on this clock is
// at most that (thesis §6.4.1).
func (c *Core) LeaseUntil() (time.Duration, bool) {
	l := &c.leadership
	if c.role != RoleLeader || l.leaseReleased || c.log.commit < l.termStart {
		return 0, false
	}
	number := c.QuorumRound()
	for _, r := range l.rounds {
		if r.number == number {
			e := float64(c.opts.ElectionTimeout)
			return r.sent + time.Duration(e*(1-2*c.opts.ClockDrift)), true
		}
	}
	return 0, false
}

// ReadPoint returns the index that must be applied before a linearizable read
// (thesis §6.4), and the heartbeat round that a majority must answer first, which
// is 0 under a lease.
func (c *Core) ReadPoint(now time.Duration) (index, heartbeatRound uint64, err error) {
	if c.role != RoleLeader {
		return 0, 0, c.notLeaderError()
	}
	index = max(c.log.commit, c.leadership.termStart)
	if until, ok := c.LeaseUntil(); ok && now < until {
		return index, 0, nil
	}
	c.startHeartbeatRound(now)
	return index, c.leadership.round, nil
}

// TransferLeadership makes target the next leader once its log is complete. Until
// then, or until an election timeout has passed, proposals are rejected.
func (c *Core) TransferLeadership(now time.Duration, target MemberID) error {
	if c.role != RoleLeader {
		return c.notLeaderError()
	}
	m := c.membership().Find(target)
	if m == nil || m.Learner || target == c.opts.ID {
		return ErrRejected.New("member %q can't become leader: the target must be another voter", target)
	}
	if c.leadership.transfer != nil {
		return ErrRejected.New("a leadership transfer to %s is already pending", c.leadership.transfer.target)
	}
	c.leadership.transfer = &transfer{target, now + c.opts.ElectionTimeout}
	c.sendEntries(now, *m)
	c.continueTransfer(now)
	return nil
}

// continueTransfer asks the target to start an election once its log is complete.
// The lease is released for the rest of the term first, because the target's
// election ignores it, however late it takes place.
func (c *Core) continueTransfer(now time.Duration) {
	l := &c.leadership
	if c.role != RoleLeader || l.transfer == nil || l.leaseReleased {
		return
	}
	p := l.progress[l.transfer.target]
	if p == nil || p.match < c.log.last() {
		return
	}
	l.leaseReleased = true
	l.transfer.deadline = now + c.opts.ElectionTimeout
	c.sendEarly(*c.membership().Find(l.transfer.target), Message{Type: MessageTimeoutNow})
}
