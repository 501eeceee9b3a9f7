package consensus

import (
	"math/rand/v2"
	"time"
)

// Role is the Raft role of a member in its current term.
type Role uint8

const (
	// RoleFollower follows a leader or waits for one.
	RoleFollower Role = iota
	// RolePreCandidate asks the voters whether they would grant a vote (pre-vote).
	RolePreCandidate
	// RoleCandidate requests votes.
	RoleCandidate
	// RoleLeader replicates its log to every member.
	RoleLeader
)

// String returns the role's name in lower case.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Defaults and limits.
const (
	// DefaultElectionTimeout is the shortest time without a message from a leader
	// after which a follower starts an election.
	DefaultElectionTimeout = time.Second
	// DefaultHeartbeat is the interval between a leader's heartbeats.
	DefaultHeartbeat = 250 * time.Millisecond
	// DefaultClockDrift bounds how far a clock's rate may be off, as a fraction.
	DefaultClockDrift = 0.01

	// MaxCommandBytes is the largest command that can be proposed.
	MaxCommandBytes = 4 << 20

	maxAppendBytes   = 256 << 10              // of entries in one append message
	maxUncommitted   = 8192                   // uncommitted entries at which a leader rejects proposals
	snapshotLogBytes = 4 << 20                // of entries in memory at which a snapshot is taken
	maxLogBytes      = 16 << 20               // of entries in memory at which a leader rejects proposals
	maxInflight      = 4096                   // unacknowledged entries sent to one member
	entryOverhead    = 16                     // bytes counted for one entry in addition to its data
	helloInterval    = 500 * time.Millisecond // between the hellos of a member without a log
	// commitsPerHeartbeat bounds how often a leader sends its commit index, as a multiple of
	// the rate of its heartbeats.
	commitsPerHeartbeat = 8
	waitingTimeout      = 4 * helloInterval // after its last hello, for which a member is listed as waiting
)

// Peer is one of the initial members of a new group.
type Peer struct {
	ID   MemberID
	Addr string
}

// Options configures a Core.
type Options struct {
	ID    MemberID
	Addr  string
	Store StoreID
	// Peers are the initial members of the group, including this one.
	Peers []Peer
	// Bootstrap allows a member without a log to form a group with Peers. The
	// peer with the lowest ID does so, once every peer has confirmed that it has
	// no log either. Without it the member waits to be added as a learner.
	Bootstrap bool
	// Initial marks a member that isn't one of Peers but starts together with the group, see
	// MemberSet.InitialSize.
	Initial bool
	// ElectionTimeout is the shortest time without a message from a leader after which
	// a follower starts an election. Until then the follower grants no vote either. 0
	// means DefaultElectionTimeout.
	ElectionTimeout time.Duration
	Heartbeat       time.Duration // 0 means DefaultHeartbeat
	ClockDrift      float64       // 0 means DefaultClockDrift
	// Rand draws the election timeouts.
	Rand *rand.Rand

	faults faults
}

// faults disables safety mechanisms so that tests can show what each one prevents.
type faults struct {
	grantWithinLease    bool // grant votes while a leader may hold a lease
	ignoreStores        bool // accept messages from and to any data directory
	skipSync            bool // acknowledge before the disk has synced
	ignoreExistingGroup bool // form a group although a peer has a log
	reuseTerm           bool // respond to a founder without raising the term
	singleRound         bool // form a group after one round of responses
	forgetLeader        bool // take any candidate for the leader that was last followed
}

// Core is the Raft state machine of one member. It does no I/O and isn't safe for
// concurrent use. After each call the caller takes Ready, processes it in order,
// and calls Advance.
type Core struct {
	opts Options
	log  entryLog

	hard        HardState
	hardChanged bool
	role        Role
	leader      MemberID

	members  []membersAt      // the last one is in force (thesis §4.1)
	snapshot Snapshot         // position and members of the newest one, without data
	incoming *Snapshot        // received, not yet returned by Ready
	assembly snapshotAssembly // chunks of the snapshot being received

	leaderContacted   bool          // whether lastLeaderContact is set
	lastLeaderContact time.Duration // last message from a leader, or last heartbeat sent as leader
	electionDeadline  time.Duration
	returningUntil    time.Duration // until then, the former leader repeats its campaign quickly

	votes map[MemberID]bool // granted in the current election or pre-vote

	leadership leadership // valid only while role is RoleLeader
	formation  formation
	waiting    map[MemberID]WaitingStore

	early    []Message // may be sent before the sync
	messages []Message
	dropped  uint64 // messages addressed to another data directory
	failure  error

	halted    bool          // by Halt
	heardTerm uint64        // highest term of a leader's message while halted
	retryAt   time.Duration // while halted, when the data directory is to be opened again
}

// State is what a data directory contained at startup.
type State struct {
	Hard     HardState
	Snapshot Snapshot // without data
	Base     uint64   // index of the entry before Entries
	BaseTerm uint64
	Entries  []Entry
}

// NewCore returns a Core that continues from the state of the data directory. A
// member that has been in a term may have acknowledged a leader's heartbeat just before
// it stopped, even if it had no log yet, so it grants no vote within the first election
// timeout.
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
			c.applyMembership(e)
		}
	}
	if !c.uninitialized() || c.hard.Term > 0 {
		c.leaderContacted, c.lastLeaderContact = true, now
	}
	c.resetElection(now)
	c.resumeLeadership(now)
	c.electSoleVoter(now)
	c.startFormation(now)
	return c
}

// electSoleVoter campaigns immediately if this member is the only voter.
func (c *Core) electSoleVoter(now time.Duration) {
	set := c.membership()
	if set.Voters() == 1 && set.Voter(c.opts.ID, c.opts.Store) {
		c.campaign(now, false)
	}
}

// uninitialized reports whether the member has neither a log nor a snapshot.
func (c *Core) uninitialized() bool { return len(c.members) == 0 }

// membership returns the membership in force: the last one in the log.
func (c *Core) membership() MemberSet {
	if c.uninitialized() {
		return MemberSet{}
	}
	return c.members[len(c.members)-1].set
}

// lastChangeIndex returns the index of the entry that put the membership in force, or 0.
func (c *Core) lastChangeIndex() uint64 {
	if c.uninitialized() {
		return 0
	}
	return c.members[len(c.members)-1].index
}

// applyMembership puts the membership of an appended entry in force.
func (c *Core) applyMembership(e Entry) {
	if e.Kind != EntryMembers {
		return
	}
	var set MemberSet
	if err := decode(e.Data, &set); err != nil {
		c.fail(ErrInvariant.Wrap(err, "entry %d can't be decoded as a membership", e.Index))
		return
	}
	c.members = append(c.members, membersAt{e.Index, set})
}

// revertMembership removes the memberships that entries from index on put in force.
func (c *Core) revertMembership(index uint64) {
	for len(c.members) > 0 && c.members[len(c.members)-1].index >= index {
		c.members = c.members[:len(c.members)-1]
	}
}

// fail records the first violation of an invariant, which Ready returns.
func (c *Core) fail(err error) {
	if c.failure == nil {
		c.failure = err
	}
}

// Tick runs the timers that are due at now.
func (c *Core) Tick(now time.Duration) {
	if c.halted {
		c.forgetSilentLeader(now)
		return
	}
	if c.uninitialized() {
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
	case c.halted:
		return c.retryAt
	case c.uninitialized():
		return c.formation.nextHello
	case c.role == RoleLeader:
		return c.heartbeatDue()
	default:
		return c.electionDeadline
	}
}

// Step handles a received message.
func (c *Core) Step(now time.Duration, m Message) {
	if c.halted {
		c.observeLeader(now, m)
		return
	}
	m = c.resolveSender(m)
	if !c.accepts(m) {
		c.dropped++
		return
	}
	if m.Type == MessagePreVote {
		c.recordRemoved(now, m)
	}
	switch {
	case m.Type == MessageHello:
		c.handleHello(now, m)
	case m.Type == MessageHelloResponse:
		c.handleHelloResponse(now, m)
	case m.Term < c.hard.Term:
		c.rejectOldTerm(m)
	case m.Term > c.hard.Term && !c.enterTerm(now, m):
	default:
		c.dispatch(now, m)
	}
}

// accepts reports whether m is addressed to this data directory and, if it is a
// response, comes from a data directory that the membership lists. The sender of a
// request isn't checked against the membership: the sender took the receiver's
// store from its own membership, and the receiver's may be older.
func (c *Core) accepts(m Message) bool {
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
	return !m.Type.isResponse() || m.From != ""
}

// resolveSender sets From of a response to the member whose store sent it, or to
// "" if the membership in force doesn't list that store.
func (c *Core) resolveSender(m Message) Message {
	if !m.Type.isResponse() || c.opts.faults.ignoreStores {
		return m
	}
	m.From = ""
	for _, member := range c.membership().Members {
		if member.Store == m.FromStore {
			m.From = member.ID
		}
	}
	return m
}

// isResponse reports whether the message counts towards a quorum at its receiver.
func (t MessageType) isResponse() bool {
	switch t {
	case MessagePreVoteResponse, MessageVoteResponse, MessageAppendResponse, MessageHeartbeatResponse:
		return true
	}
	return false
}

// enterTerm adopts the higher term of m and reports whether m must be handled.
func (c *Core) enterTerm(now time.Duration, m Message) bool {
	switch m.Type {
	case MessagePreVote:
		return true // a pre-vote doesn't change the receiver's term
	case MessagePreVoteResponse:
		if !m.Reject {
			return true // a granted pre-vote carries the requested term
		}
	case MessageVote:
		if c.withinLease(now, m) {
			return false
		}
	}
	c.becomeFollower(now, m.Term, "")
	return true
}

// rejectOldTerm rejects a request of an older term; the response carries the
// current term.
func (c *Core) rejectOldTerm(m Message) {
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
		c.handleVoteResponse(now, m)
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

// reply sends r to the sender of m, in the current term unless r sets one. It is
// sent after the sync, because it acknowledges state that must be durable.
func (c *Core) reply(m Message, r Message) {
	r.To, r.ToStore = m.From, m.FromStore
	r = c.withSender(r)
	if r.Type.isResponse() && !c.opts.faults.ignoreStores {
		r.From = "" // the receiver resolves it from FromStore
	}
	c.messages = append(c.messages, r)
}

// sendEarly queues a leader's message to be sent before the sync: it acknowledges
// nothing about the leader's own disk (thesis §10.2.1).
func (c *Core) sendEarly(to Member, m Message) {
	m.To, m.ToStore = to.ID, to.Store
	c.early = append(c.early, c.withSender(m))
}

// withSender sets the sender of m, and the current term if m has none.
func (c *Core) withSender(m Message) Message {
	m.From, m.FromStore = c.opts.ID, c.opts.Store
	if m.Term == 0 {
		m.Term = c.hard.Term
	}
	return m
}
