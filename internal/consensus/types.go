package consensus

//go:generate go tool msgp -tests=false -io=false -file types.go

// MemberID names one member of the group. It outlives the member's disk.
type MemberID string

// StoreID names one formatted data folder. It is drawn at random when the folder
// is formatted and is never used again; 0 means none.
type StoreID uint64

// EntryKind tells what a log entry holds.
type EntryKind uint8

const (
	// EntryCommand holds a command for the state machine.
	EntryCommand EntryKind = iota
	// EntryNoop starts a leader's term (thesis §6.4).
	EntryNoop
	// EntryMembers holds an encoded MemberSet, in force once appended (thesis §4.1).
	EntryMembers
)

//msgp:tuple Entry Member MemberSet Snapshot SnapshotChunk Message HardState

// Entry is one position of the log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// Member is one member as the log records it.
type Member struct {
	ID   MemberID
	Addr string // mesh address, IP:port
	// Store is the data folder that votes and acknowledges as this member.
	Store StoreID
	// Learner receives the log and counts in no quorum (thesis §4.2.1).
	Learner bool
}

// MemberSet is the membership of the group, ordered by ID.
type MemberSet struct {
	Members []Member
}

// Snapshot replaces the log up to and including Index.
type Snapshot struct {
	Index   uint64
	Term    uint64
	Members MemberSet
	Data    []byte
}

// SnapshotChunk is a part of a snapshot on its way to another member.
type SnapshotChunk struct {
	Index   uint64
	Term    uint64
	Members MemberSet
	Size    uint64 // of the whole snapshot's data, in bytes
	Offset  uint64 // of Data in it
	Data    []byte
}

// MessageType tells what a message asks or answers.
type MessageType uint8

const (
	// MessagePreVote asks whether a vote at Term would be granted (thesis §9.6).
	MessagePreVote MessageType = iota + 1
	// MessagePreVoteResponse answers MessagePreVote.
	MessagePreVoteResponse
	// MessageVote asks for the vote at Term (thesis §3.4).
	MessageVote
	// MessageVoteResponse answers MessageVote.
	MessageVoteResponse
	// MessageAppend carries entries that follow (Index, LogTerm) (thesis §3.5).
	MessageAppend
	// MessageAppendResponse acknowledges the log up to Index, or rejects with a Hint.
	MessageAppendResponse
	// MessageHeartbeat keeps followers and the lease of the leader alive.
	MessageHeartbeat
	// MessageHeartbeatResponse echoes the Round of a heartbeat.
	MessageHeartbeatResponse
	// MessageSnapshot carries one chunk of a snapshot (thesis §5.3).
	MessageSnapshot
	// MessageTimeoutNow makes its receiver start an election at once (thesis §3.10).
	MessageTimeoutNow
	// MessageHello tells the store ID and address of a member without a log.
	MessageHello
	// MessageHelloResponse tells whether its sender has no log either.
	MessageHelloResponse
)

// Message is all that members say to each other. Each message names the data
// folder that it comes from and the one that it is meant for.
type Message struct {
	Type      MessageType
	From      MemberID // empty in answers, which FromStore is enough for
	FromStore StoreID
	// To is known to both ends by the connection and isn't sent.
	To      MemberID `msg:"-"`
	ToStore StoreID
	Term    uint64
	// Index is the last entry of a candidate, the entry before Entries, or the
	// last entry that a follower acknowledges.
	Index   uint64
	LogTerm uint64 // term of the entry at Index
	Commit  uint64
	// Round numbers the heartbeats of one term.
	Round  uint64
	Reject bool
	// Hint is the last index at which a rejecting follower may agree.
	Hint uint64
	// Forced marks the vote request of a leadership transfer, which the former
	// leader has given up its lease for.
	Forced  bool
	Entries []Entry
	Chunk   *SnapshotChunk
	Addr    string
	// Known are the members that the sender of MessageHelloResponse knows of.
	Known []MemberID
}

// HardState must be synced before any message that follows from it is sent.
type HardState struct {
	Term      uint64
	Vote      MemberID
	VoteStore StoreID
	// Founder is the store that this member, while it had no log, last told so,
	// and FounderTerm the term in which it did.
	Founder     StoreID
	FounderTerm uint64
}
