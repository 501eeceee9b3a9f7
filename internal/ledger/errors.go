package ledger

import "github.com/wigeonflow/wigeonflow/internal/fleet"

var errs = fleet.Errors.NewSubNamespace("ledger")

var (
	// ErrBadCommand means a command can't be decoded.
	ErrBadCommand = errs.NewType("bad_command")
	// ErrBadSnapshot means a snapshot can't be decoded.
	ErrBadSnapshot = errs.NewType("bad_snapshot")
	// ErrBadAnswer means a stored answer or a result can't be decoded.
	ErrBadAnswer = errs.NewType("bad_answer")
)
