package plan

import "github.com/wigeonflow/wigeonflow/internal/fleet"

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
