package ledger

import "github.com/wigeonflow/wigeonflow/internal/fleet"

var errs = fleet.Errors.NewSubNamespace("ledger")

var (
	// ErrBadCommand means that a command can't be encoded or decoded.
	ErrBadCommand = errs.NewType("bad_command")
	// ErrBadSnapshot means that a snapshot can't be encoded or is invalid.
	ErrBadSnapshot = errs.NewType("bad_snapshot")
	// ErrBadAnswer means that an answer or a result can't be encoded or decoded.
	ErrBadAnswer = errs.NewType("bad_answer")
)
