package plan

import (
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// Unreported returns the instances that have not yet reported their use of a workspace
// under its former home. Until each of them has borrowed or is recorded as lost, the
// home grants nothing of what they may be using.
func (h *Home) Unreported(id fleet.WorkspaceID) []fleet.InstanceID {
	b := h.records[id]
	if b == nil {
		return nil
	}
	out := make([]fleet.InstanceID, 0, len(b.unreported))
	for instance := range b.unreported {
		out = append(out, instance)
	}
	return out
}

// PresumesUse reports whether presumed tokens count as used in the last minute, either
// because routers still have to report their use to this home or because one was lost
// before it did.
func (h *Home) PresumesUse(now time.Duration, id fleet.WorkspaceID) bool {
	b := h.records[id]
	return b != nil && b.presumed > 0 && now-b.presumedAt < time.Duration(quotaSteps)*quotaStep
}
