package control

import "github.com/wigeonflow/wigeonflow/internal/fleet"

// errSnapshot is the type of errors for snapshots that cannot be restored.
var errSnapshot = fleet.Errors.NewType("control_snapshot")
