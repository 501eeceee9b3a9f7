package operator

import (
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/lists"
	"github.com/wigeonflow/wigeonflow/internal/rollout"
	"github.com/wigeonflow/wigeonflow/internal/routes"
)

// Version returns the configuration version that the index holds.
func (x *Index) Version() fleet.ConfigVersion { return x.version }

// WorkspaceByKey returns the workspace that has the API key with this digest, or
// nil.
func (x *Index) WorkspaceByKey(digest KeyDigest) *lists.Workspace { return x.byKey[digest] }

// Workspace returns a workspace by its ID, or nil.
func (x *Index) Workspace(id fleet.WorkspaceID) *lists.Workspace { return x.workspaces[id] }

// Plan returns a plan by its name, or false if there is none.
func (x *Index) Plan(name string) (lists.Plan, bool) {
	p, ok := x.plans[name]
	return p, ok
}

// Pool returns a pool, or nil.
func (x *Index) Pool(id fleet.PoolID) *lists.Pool { return x.allowances.pools[id] }

// Model returns a model, or nil.
func (x *Index) Model(name fleet.ModelName) *lists.Model { return x.allowances.models[name] }

// Service returns a service, or nil.
func (x *Index) Service(name string) *lists.Service { return x.allowances.services[name] }

// Models returns the models that a plan may use, in the order of the allowances
// list.
func (x *Index) Models(plan string) []fleet.ModelName {
	var names []fleet.ModelName
	for _, name := range x.allowances.modelOrder {
		if x.AllowsModel(plan, name) {
			names = append(names, name)
		}
	}
	return names
}

// AllowsModel reports whether a plan may use a model.
func (x *Index) AllowsModel(plan string, name fleet.ModelName) bool {
	a := x.allowances.allowances[plan]
	return a != nil && a.models[name]
}

// AllowsAdapter reports whether a plan may use an adapter.
func (x *Index) AllowsAdapter(plan, adapter string) bool {
	a := x.allowances.allowances[plan]
	return a != nil && a.adapters[adapter]
}

// AllowsService reports whether a plan may use a service.
func (x *Index) AllowsService(plan, service string) bool {
	a := x.allowances.allowances[plan]
	return a != nil && a.services[service]
}

// Capacity returns the share of a pool's concurrency, from 0 to 1, that one
// workspace on the plan may use; 0 means no limit.
func (x *Index) Capacity(plan string) float64 {
	if a := x.allowances.allowances[plan]; a != nil {
		return a.capacity
	}
	return 0
}

// ZoneOut reports whether operators took an availability zone out of service.
func (x *Index) ZoneOut(zone fleet.AvailabilityZone) bool { return x.zonesOut[string(zone)] }

// InstanceOut reports whether operators took an instance out of service.
func (x *Index) InstanceOut(id fleet.InstanceID) bool { return x.instancesOut[string(id)] }

// UpstreamOut reports whether operators took this upstream out of service. It
// does not consider the upstream's zone, see ZoneOut.
func (x *Index) UpstreamOut(id fleet.UpstreamID) bool { return x.upstreamsOut[string(id)] }

// Order returns the newest order of an upstream. Its state is as of the version
// that added it, or of the full copy, and may be outdated: the answer to a claim
// shows whether the order is still unfinished.
func (x *Index) Order(id fleet.UpstreamID) (Order, bool) {
	o, ok := x.orders[id]
	return o, ok
}

// Rollout returns the newest roll-out of a pool; ok is false if there has been none.
func (x *Index) Rollout(pool fleet.PoolID) (r rollout.Rollout, ok bool) {
	r, ok = x.rollouts[pool]
	return r, ok
}

// WorkspaceIDs returns the IDs of all workspaces, in no particular order.
func (x *Index) WorkspaceIDs() []fleet.WorkspaceID {
	ids := make([]fleet.WorkspaceID, 0, len(x.workspaces))
	for id := range x.workspaces {
		ids = append(ids, id)
	}
	return ids
}

// Plans returns the list of plans and workspaces, in no particular order.
func (x *Index) Plans() lists.Plans {
	var out lists.Plans
	for _, p := range x.plans {
		out.Plans = append(out.Plans, p)
	}
	for _, w := range x.workspaces {
		out.Workspaces = append(out.Workspaces, *w)
	}
	return out
}

// Routes returns the routing table in force, or nil if there is none yet.
func (x *Index) Routes() *routes.Document { return x.routes }
