package consensus

import (
	"fmt"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

var (
	// ErrClosed means that the group has been closed or has failed.
	ErrClosed = fleet.Errors.NewType("consensus_closed")
	// ErrStorage means that the data folder could not be read or written.
	ErrStorage = fleet.Errors.NewType("consensus_storage")
	// ErrInvariant means that the log broke one of its own rules; the member
	// stops rather than go on.
	ErrInvariant = fleet.Errors.NewType("consensus_invariant")
	// ErrRefused means that a proposal was refused before it reached the log.
	ErrRefused = fleet.Errors.NewType("consensus_refused")
	// ErrSettings means that a Config can't be used.
	ErrSettings = fleet.Errors.NewType("consensus_settings")
)

// NotLeaderError means that this member doesn't lead and that the proposal was
// certainly not committed.
type NotLeaderError struct {
	Leader MemberID // empty when unknown
	Addr   string   // the leader's mesh address, empty when unknown
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "consensus: not the leader, and none is known"
	}
	return fmt.Sprintf("consensus: not the leader, which is %s at %s", e.Leader, e.Addr)
}

// NotProposedError means that a proposal didn't reach the log: it was certainly
// not committed.
type NotProposedError struct {
	Cause error
}

// Error implements error.
func (e *NotProposedError) Error() string { return "consensus: not proposed: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotProposedError) Unwrap() error { return e.Cause }

// UnknownOutcomeError means that the proposal is in the log of this member and
// may yet be committed.
type UnknownOutcomeError struct {
	Index uint64
	Term  uint64
	Cause error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("consensus: outcome of entry %d of term %d unknown: %v", e.Index, e.Term, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// CorruptError names a synced record that doesn't match its checksum. The member
// doesn't start on it; its disk must be replaced through a learner.
type CorruptError struct {
	File   string
	Offset int64 // bytes from the start of File
	Reason string
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("consensus: %s is corrupt at offset %d: %s", e.File, e.Offset, e.Reason)
}

// ForeignStoreError means that the data folder was formatted for another member
// or group, or was copied from another folder.
type ForeignStoreError struct {
	Field string
	Want  string
	Found string
}

// Error implements error.
func (e *ForeignStoreError) Error() string {
	return fmt.Sprintf("consensus: the data folder belongs elsewhere: %s is %s, want %s", e.Field, e.Found, e.Want)
}

// NotCaughtUpError means that a learner is too far behind to become a voter.
type NotCaughtUpError struct {
	ID     MemberID
	Behind uint64 // committed entries that the learner hasn't acknowledged
}

// Error implements error.
func (e *NotCaughtUpError) Error() string {
	return fmt.Sprintf("consensus: %s is %d entries behind or silent", e.ID, e.Behind)
}
