package consensus

import (
	"math/rand/v2"
	"time"
)

// Role is what a member does in its term.
type Role uint8

const (
	// RoleFollower follows a leader or waits for one.
	RoleFollower Role = iota
	// RolePreCandidate asks whether an election could succeed.
	RolePreCandidate
	// RoleCandidate asks for votes.
	RoleCandidate
	// RoleLeader appends to the log of every member.
	RoleLeader
)

// String returns the role's name in lower case.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Defaults and limits.
const (
	// DefaultElectionTimeout is the silence after which a follower may stand for
	// election, at the least.
	DefaultElectionTimeout = time.Second
	// DefaultHeartbeat is the time between two heartbeats of a leader.
	DefaultHeartbeat = 250 * time.Millisecond
	// DefaultClockDrift is the most that a clock may run fast or slow, as a share
	// of the time it measures.
	DefaultClockDrift = 0.01

	// MaxCommandBytes is the most that one proposal may hold.
	MaxCommandBytes = 4 << 20

	maxAppendBytes = 256 << 10 // of entries in one message
	maxUncommitted = 8192      // entries that a leader holds before it refuses more
	maxLogBytes    = 4 << 20   // of entries in memory before a snapshot is taken
	maxHeldBytes   = 16 << 20  // of entries that a leader holds before it refuses more
	maxInflight    = 4096      // entries sent to one member ahead of its acknowledgement
	entryOverhead  = 16        // bytes of one entry beside its data
	helloInterval  = 500 * time.Millisecond
	waitingTimeout = 4 * helloInterval
)

// Peer is a member that a new group is formed from.
type Peer struct {
	ID   MemberID
	Addr string
}

// Options sets up a Core.
type Options struct {
	ID    MemberID
	Addr  string
	Store StoreID
	// Peers are the members that a group is formed from, this one included.
	Peers []Peer
	// Bootstrap allows a member without a log to form a group with Peers. The
	// peer with the lowest ID does so, once every peer has told that it has no
	// log either. Without it the member waits to be added as a learner.
	Bootstrap bool
	// ElectionTimeout is also the time in which a follower that heard from a
	// leader grants no vote. 0 means DefaultElectionTimeout.
	ElectionTimeout time.Duration
	Heartbeat       time.Duration // 0 means DefaultHeartbeat
	ClockDrift      float64       // 0 means DefaultClockDrift
	// Rand draws the election timeouts.
	Rand *rand.Rand

	faults faults
}

// faults turns mechanisms off, so that tests can show what each one prevents.
type faults struct {
	grantWithinLease bool // grant votes in spite of a live leader
	ignoreStores     bool // accept messages from and for any data folder
	skipSync         bool // acknowledge before the disk has synced
	foundAnyway      bool // found a group though a peer has a log
	reuseTerm        bool // answer a founder without raising the term
}

// Core decides what one member does. It does no I/O and isn't safe for
// concurrent use. After each call the owner takes Ready, carries it out in
// order, and calls Advance.
type Core struct {
	opts Options
	log  entryLog

	hard        HardState
	hardChanged bool
	role        Role
	leader      MemberID

	members  []membersAt // the last one is in force (thesis §4.1)
	snapshot Snapshot    // position and members of the newest one; no data
	incoming *Snapshot   // received, not yet handed to Ready
	assembly assembly    // of a snapshot that is being received

	heard            bool          // whether lastHeard counts
	lastHeard        time.Duration // from a leader, or as one
	electionDeadline time.Duration

	votes map[MemberID]bool // answers to the current election

	leadership leadership // valid for RoleLeader only
	formation  formation
	waiting    map[MemberID]WaitingStore

	early    []Message // may leave before the sync
	messages []Message
	dropped  uint64 // messages that named another data folder
	failure  error
}

// State is what a data folder held at start.
type State struct {
	Hard     HardState
	Snapshot Snapshot // without data
	Base     uint64   // the entry before Entries
	BaseTerm uint64
	Entries  []Entry
}

// NewCore continues from what the data folder held. A member that has a log may
// have acknowledged a leader's heartbeat just before it stopped, so it grants no
// vote within the first election timeout.
func NewCore(now time.Duration, opts Options, st State) *Core {
	if opts.ElectionTimeout == 0 {
		opts.ElectionTimeout = DefaultElectionTimeout
	}
	if opts.Heartbeat == 0 {
		opts.Heartbeat = DefaultHeartbeat
	}
	if opts.ClockDrift == 0 {
		opts.ClockDrift = DefaultClockDrift
	}
	c := &Core{opts: opts, hard: st.Hard, snapshot: st.Snapshot, waiting: map[MemberID]WaitingStore{}}
	c.log = entryLog{base: st.Base, baseTerm: st.BaseTerm}
	c.log.append(st.Entries...)
	c.log.stable = c.log.last()
	c.log.commit, c.log.applied = st.Snapshot.Index, st.Snapshot.Index
	if st.Snapshot.Index > 0 {
		c.members = append(c.members, membersAt{st.Snapshot.Index, st.Snapshot.Members})
	}
	for _, e := range st.Entries {
		if e.Index > st.Snapshot.Index {
			c.noteMembers(e)
		}
	}
	if !c.blank() {
		c.heard, c.lastHeard = true, now
	}
	c.resetElection(now)
	c.electAloneAtOnce(now)
	c.startFormation(now)
	return c
}

// electAloneAtOnce skips the wait when no other member can have a say.
func (c *Core) electAloneAtOnce(now time.Duration) {
	set := c.current()
	if set.Voters() == 1 && set.Voter(c.opts.ID, c.opts.Store) {
		c.campaign(now, false)
	}
}

// blank reports whether the member has neither a log nor a snapshot.
func (c *Core) blank() bool { return len(c.members) == 0 }

// current returns the membership in force: the last one in the log.
func (c *Core) current() MemberSet {
	if c.blank() {
		return MemberSet{}
	}
	return c.members[len(c.members)-1].set
}

func (c *Core) lastChange() uint64 {
	if c.blank() {
		return 0
	}
	return c.members[len(c.members)-1].index
}

// noteMembers puts the membership of an appended entry in force.
func (c *Core) noteMembers(e Entry) {
	if e.Kind != EntryMembers {
		return
	}
	var set MemberSet
	if _, err := set.UnmarshalMsg(e.Data); err != nil {
		c.fail(ErrInvariant.Wrap(err, "entry %d holds no membership", e.Index))
		return
	}
	c.members = append(c.members, membersAt{e.Index, set})
}

// forgetMembers takes memberships from index on out of force.
func (c *Core) forgetMembers(index uint64) {
	for len(c.members) > 0 && c.members[len(c.members)-1].index >= index {
		c.members = c.members[:len(c.members)-1]
	}
}

func (c *Core) fail(err error) {
	if c.failure == nil {
		c.failure = err
	}
}

// Tick does whatever is due at now.
func (c *Core) Tick(now time.Duration) {
	if c.blank() {
		c.tickFormation(now)
		return
	}
	if c.role == RoleLeader {
		c.tickLeader(now)
		return
	}
	if now >= c.electionDeadline {
		c.campaign(now, false)
	}
}

// Deadline returns when Tick is due next.
func (c *Core) Deadline() time.Duration {
	switch {
	case c.blank():
		return c.formation.nextHello
	case c.role == RoleLeader:
		return c.leadership.nextHeartbeat
	default:
		return c.electionDeadline
	}
}

// Step takes a message in.
func (c *Core) Step(now time.Duration, m Message) {
	m = c.identify(m)
	if !c.admit(m) {
		c.dropped++
		return
	}
	switch {
	case m.Type == MessageHello:
		c.handleHello(now, m)
	case m.Type == MessageHelloResponse:
		c.handleHelloResponse(now, m)
	case m.Term < c.hard.Term:
		c.answerOldTerm(m)
	case m.Term > c.hard.Term && !c.enterTerm(now, m):
	default:
		c.dispatch(now, m)
	}
}

// admit drops messages for another data folder, and answers from a folder other
// than the one that the membership names. Requests are judged by their receiver's
// store alone: whoever sent one has taken it from its own membership, and the
// receiver's may be the older of the two.
func (c *Core) admit(m Message) bool {
	if c.opts.faults.ignoreStores {
		return true
	}
	switch m.Type {
	case MessageHello:
		return m.FromStore != 0
	case MessageHelloResponse:
		return m.ToStore == c.opts.Store
	}
	if m.ToStore != c.opts.Store {
		return false
	}
	return !m.Type.answer() || m.From != ""
}

// identify names the sender of an answer by its store, which the membership in
// force must list.
func (c *Core) identify(m Message) Message {
	if !m.Type.answer() || c.opts.faults.ignoreStores {
		return m
	}
	m.From = ""
	for _, member := range c.current().Members {
		if member.Store == m.FromStore {
			m.From = member.ID
		}
	}
	return m
}

// answer reports whether the message counts for a quorum of its receiver.
func (t MessageType) answer() bool {
	switch t {
	case MessagePreVoteResponse, MessageVoteResponse, MessageAppendResponse, MessageHeartbeatResponse:
		return true
	}
	return false
}

// enterTerm moves to the higher term of m and reports whether m is to be handled.
func (c *Core) enterTerm(now time.Duration, m Message) bool {
	switch m.Type {
	case MessagePreVote:
		return true // moves nobody's term
	case MessagePreVoteResponse:
		if !m.Reject {
			return true // names the term that was asked about
		}
	case MessageVote:
		if c.withinLease(now, m) {
			return false
		}
	}
	c.becomeFollower(now, m.Term, "")
	return true
}

// answerOldTerm tells a former leader or candidate about the current term.
func (c *Core) answerOldTerm(m Message) {
	switch m.Type {
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		c.reply(m, Message{Type: MessageAppendResponse, Reject: true})
	case MessagePreVote:
		c.reply(m, Message{Type: MessagePreVoteResponse, Reject: true})
	}
}

func (c *Core) dispatch(now time.Duration, m Message) {
	switch m.Type {
	case MessagePreVote:
		c.handlePreVote(now, m)
	case MessageVote:
		c.handleVote(now, m)
	case MessagePreVoteResponse, MessageVoteResponse:
		c.handleBallot(now, m)
	case MessageAppend:
		c.followLeader(now, m)
		c.handleAppend(m)
	case MessageHeartbeat:
		c.followLeader(now, m)
		c.handleHeartbeat(m)
	case MessageSnapshot:
		c.followLeader(now, m)
		c.handleSnapshot(m)
	case MessageAppendResponse:
		c.handleAppendResponse(now, m)
	case MessageHeartbeatResponse:
		c.handleHeartbeatResponse(now, m)
	case MessageTimeoutNow:
		c.handleTimeoutNow(now)
	}
}

// reply answers m in the current term, unless r names one. Answers wait for the
// sync, since they promise what the disk must keep.
func (c *Core) reply(m Message, r Message) {
	r.To, r.ToStore = m.From, m.FromStore
	r = c.stamp(r)
	if r.Type.answer() && !c.opts.faults.ignoreStores {
		r.From = "" // its receiver knows the store
	}
	c.messages = append(c.messages, r)
}

// sendEarly sends a leader's message. What it carries promises nothing about the
// leader's own disk, so it may leave before the sync (thesis §10.2.1).
func (c *Core) sendEarly(to Member, m Message) {
	m.To, m.ToStore = to.ID, to.Store
	c.early = append(c.early, c.stamp(m))
}

func (c *Core) stamp(m Message) Message {
	m.From, m.FromStore = c.opts.ID, c.opts.Store
	if m.Term == 0 {
		m.Term = c.hard.Term
	}
	return m
}
