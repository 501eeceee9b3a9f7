package router

import (
	"strings"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// homeKeyPrefix distinguishes the ownership keys of plan homes from those of upstreams.
const homeKeyPrefix = "\x00home/"

func homeKey(workspace fleet.WorkspaceID) string { return homeKeyPrefix + string(workspace) }

// ownerOf implements session.OwnerFunc for upstreams' IDs and for homeKey.
func (r *Router) ownerOf(m fleet.Membership, key string) fleet.InstanceID {
	if workspace, ok := strings.CutPrefix(key, homeKeyPrefix); ok {
		return r.rings.Ring(m).Home(fleet.WorkspaceID(workspace))
	}
	return r.rings.Owner(m, key)
}
