package consensus

//go:generate go tool msgp -tests=false -io=false -file types.go

// MemberID identifies a member of the group. It stays the same when the member's disk
// is replaced.
type MemberID string

// StoreID identifies one formatted data directory. It is chosen at random when the
// directory is formatted and is never reused; 0 means none.
type StoreID uint64

// EntryKind is the kind of a log entry.
type EntryKind uint8

const (
	// EntryCommand contains a command for the state machine.
	EntryCommand EntryKind = iota
	// EntryNoop starts a leader's term (thesis §6.4).
	EntryNoop
	// EntryMembers contains an encoded MemberSet, in force once appended (thesis §4.1).
	EntryMembers
)

//msgp:tuple Entry Member Snapshot SnapshotChunk
//msgp:vartuple HardState MemberSet Message

// Entry is one entry of the log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// Member is one member of a membership.
type Member struct {
	ID   MemberID
	Addr string // mesh address, IP:port
	// Store is the data directory that votes and acknowledges as this member.
	Store StoreID
	// Learner marks a member that receives the log and doesn't count in quorums
	// (thesis §4.2.1).
	Learner bool
}

// MemberSet is the membership of the group, ordered by ID.
type MemberSet struct {
	Members []Member
	// InitialSize is the number of initial members: those with which the group was set up. It stays
	// the same when a member is replaced. It is 0 in data of earlier releases.
	InitialSize uint32
}

// Snapshot replaces the log up to and including Index.
type Snapshot struct {
	Index   uint64
	Term    uint64
	Members MemberSet
	Data    []byte
}

// SnapshotChunk is a part of a snapshot that is sent to another member.
type SnapshotChunk struct {
	Index   uint64
	Term    uint64
	Members MemberSet
	Size    uint64 // of the complete snapshot's data, in bytes
	Offset  uint64 // of Data in the complete data, in bytes
	Data    []byte
}

// MessageType is the type of a Message.
type MessageType uint8

const (
	// MessagePreVote asks whether a vote at Term would be granted (thesis §9.6). It carries
	// the sender's address, because a member that was removed sends it, too.
	MessagePreVote MessageType = iota + 1
	// MessagePreVoteResponse answers MessagePreVote.
	MessagePreVoteResponse
	// MessageVote requests a vote at Term (thesis §3.4).
	MessageVote
	// MessageVoteResponse answers MessageVote.
	MessageVoteResponse
	// MessageAppend carries entries that follow (Index, LogTerm) (thesis §3.5).
	MessageAppend
	// MessageAppendResponse acknowledges the log up to Index, or rejects with a Hint.
	MessageAppendResponse
	// MessageHeartbeat resets the followers' election timeouts and renews the
	// leader lease.
	MessageHeartbeat
	// MessageHeartbeatResponse echoes the Round of a heartbeat.
	MessageHeartbeatResponse
	// MessageSnapshot carries one chunk of a snapshot (thesis §5.3).
	MessageSnapshot
	// MessageTimeoutNow makes its receiver start an election at once (thesis §3.10).
	MessageTimeoutNow
	// MessageHello announces the store ID and address of a member without a log.
	MessageHello
	// MessageHelloResponse confirms that its sender has no log either, or rejects.
	MessageHelloResponse
)

// Message is a message between two members. Each one names the data directories of
// its sender and its receiver.
type Message struct {
	Type      MessageType
	From      MemberID // empty in responses, whose sender FromStore identifies
	FromStore StoreID
	// To isn't sent: the connection identifies the receiver.
	To      MemberID `msg:"-"`
	ToStore StoreID
	Term    uint64
	// Index is the last entry of a candidate, the entry before Entries, or the
	// last entry that a follower acknowledges.
	Index   uint64
	LogTerm uint64 // term of the entry at Index
	Commit  uint64
	// Round numbers the heartbeats of one term, and the hellos of a founder.
	Round  uint64
	Reject bool
	// Hint is the last index at which a rejecting follower's log may match.
	Hint uint64
	// Forced marks the vote request of a leadership transfer, for which the former
	// leader has released its lease.
	Forced  bool
	Entries []Entry
	Chunk   *SnapshotChunk
	Addr    string
	// Known are the members in the membership of a MessageHelloResponse's sender.
	Known []MemberID
	// Initial marks the MessageHello of an initial member, see MemberSet.InitialSize.
	Initial bool
}

// HardState must be synced before any message that depends on it is sent.
type HardState struct {
	Term      uint64
	Vote      MemberID
	VoteStore StoreID
	// Founder is the store of the founder to which this member last responded while it
	// had no log. FounderTerm is the term of that response.
	Founder     StoreID
	FounderTerm uint64
	// Leader is the store of the leader that this member last followed, or its own if it has
	// led since. No other leader may hold a lease by this member's responses. It is 0 in data
	// of earlier releases.
	Leader StoreID
}
