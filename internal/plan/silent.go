package plan

import (
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// Silent returns the instances whose use of a workspace under its former home is
// not known yet. Until each of them has borrowed or is Lost, nothing of what
// they may use is lent.
func (h *Home) Silent(id fleet.WorkspaceID) []fleet.InstanceID {
	b := h.books[id]
	if b == nil {
		return nil
	}
	out := make([]fleet.InstanceID, 0, len(b.silent))
	for instance := range b.silent {
		out = append(out, instance)
	}
	return out
}

// Presuming tells whether tokens of the last minute count as used for want of
// knowledge: a router was lost before it had reported its use to this home.
func (h *Home) Presuming(now time.Duration, id fleet.WorkspaceID) bool {
	b := h.books[id]
	return b != nil && b.presumed > 0 && now-b.takenAt < time.Duration(quotaSteps)*quotaStep
}
