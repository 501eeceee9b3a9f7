package consensus

import (
	"fmt"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

var (
	// ErrClosed means that the group has been closed or has failed.
	ErrClosed = fleet.Errors.NewType("consensus_closed")
	// ErrStorage means that the data directory could not be read or written.
	ErrStorage = fleet.Errors.NewType("consensus_storage")
	// ErrInvariant means that an invariant of the log was violated; the member
	// stops.
	ErrInvariant = fleet.Errors.NewType("consensus_invariant")
	// ErrRejected means that a proposal was rejected before it reached the log, or that
	// a leadership transfer was rejected or not completed in time.
	ErrRejected = fleet.Errors.NewType("consensus_refused")
	// ErrSettings means that a Config is invalid.
	ErrSettings = fleet.Errors.NewType("consensus_settings")
)

// NotLeaderError means that this member isn't the leader, or is transferring its
// leadership to Leader, and that the proposal is certainly not committed.
type NotLeaderError struct {
	Leader MemberID // empty when unknown
	Addr   string   // the leader's mesh address, empty when unknown
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "consensus: this member is not the leader, and the leader is unknown"
	}
	return fmt.Sprintf("consensus: this member is not the leader; the leader is %s at %s", e.Leader, e.Addr)
}

// NotProposedError means that a proposal didn't reach the log: it is certainly
// not committed.
type NotProposedError struct {
	Cause error
}

// Error implements error.
func (e *NotProposedError) Error() string { return "consensus: not proposed: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotProposedError) Unwrap() error { return e.Cause }

// UnknownOutcomeError means that the proposal may be in the log and may still be
// committed. Index and Term are 0 if the caller's context ended before they were known.
type UnknownOutcomeError struct {
	Index uint64
	Term  uint64
	Cause error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("consensus: the outcome of entry %d of term %d is unknown: %v", e.Index, e.Term, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// CorruptError means that synced data is damaged or inconsistent. The member
// doesn't start; replace its disk and add it again as a learner.
type CorruptError struct {
	File   string
	Offset int64 // bytes from the start of File
	Reason string
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("consensus: %s is corrupt at offset %d: %s", e.File, e.Offset, e.Reason)
}

// ForeignStoreError means that the data directory was formatted for another member
// or group, or was copied from another directory.
type ForeignStoreError struct {
	Field string
	Want  string
	Found string
}

// Error implements error.
func (e *ForeignStoreError) Error() string {
	return fmt.Sprintf("consensus: the data directory belongs to another member or is a copy: %s is %s, want %s", e.Field, e.Found, e.Want)
}

// NotCaughtUpError means that a learner is too far behind to become a voter.
type NotCaughtUpError struct {
	ID     MemberID
	Behind uint64 // committed entries that the learner hasn't acknowledged
}

// Error implements error.
func (e *NotCaughtUpError) Error() string {
	return fmt.Sprintf("consensus: learner %s is %d entries behind or doesn't respond", e.ID, e.Behind)
}
