package operator

import (
	"github.com/joomcode/errorx"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// Errors of a Backend.
var (
	// ErrNotLeader means that another control member leads; nothing was proposed.
	ErrNotLeader = fleet.Errors.NewType("operator_not_leader")
	// ErrUnavailable means that no leader is reachable; nothing was proposed.
	ErrUnavailable = fleet.Errors.NewType("operator_unavailable")
)

// Errors of a Client.
var (
	// ErrRejected means that the call was rejected: it had no effect and will not
	// have any. It may carry the version in force, see VersionInForce.
	ErrRejected = fleet.Errors.NewType("operator_refused")
	// ErrUnreachable means that no control member accepted the call: it had no
	// effect.
	ErrUnreachable = fleet.Errors.NewType("operator_unreachable")
	// ErrUnknownOutcome means that the call may have taken effect. A retry with
	// the same operation ID returns the outcome.
	ErrUnknownOutcome = fleet.Errors.NewType("operator_unknown_outcome")
)

var propertyVersion = errorx.RegisterProperty("version")

// VersionInForce returns the version in force that an ErrRejected carries, or false if
// it carries none.
func VersionInForce(err error) (fleet.ConfigVersion, bool) {
	value, ok := errorx.ExtractProperty(err, propertyVersion)
	if !ok {
		return 0, false
	}
	version, ok := value.(fleet.ConfigVersion)
	return version, ok
}
