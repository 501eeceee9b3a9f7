package control

import "github.com/wigeonflow/wigeonflow/internal/fleet"

// errSnapshot marks a snapshot that cannot be restored.
var errSnapshot = fleet.Errors.NewType("control_snapshot")
