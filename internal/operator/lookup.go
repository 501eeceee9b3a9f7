package operator

import (
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/lists"
	"github.com/wigeonflow/wigeonflow/internal/routes"
)

// Version returns the version that the index was made from.
func (x *Index) Version() fleet.ConfigVersion { return x.version }

// WorkspaceByKey returns the workspace that a key's digest belongs to, or nil.
func (x *Index) WorkspaceByKey(digest KeyDigest) *lists.Workspace { return x.byKey[digest] }

// Workspace returns a workspace by its ID, or nil.
func (x *Index) Workspace(id fleet.WorkspaceID) *lists.Workspace { return x.workspaces[id] }

// Plan returns a plan by its name.
func (x *Index) Plan(name string) (lists.Plan, bool) {
	p, ok := x.plans[name]
	return p, ok
}

// Pool returns a pool, or nil.
func (x *Index) Pool(id fleet.PoolID) *lists.Pool { return x.usage.pools[id] }

// Model returns a model, or nil.
func (x *Index) Model(name fleet.ModelName) *lists.Model { return x.usage.models[name] }

// Service returns a service, or nil.
func (x *Index) Service(name string) *lists.Service { return x.usage.services[name] }

// Models returns the models that a plan may use, in the list's order.
func (x *Index) Models(plan string) []fleet.ModelName {
	var names []fleet.ModelName
	for _, name := range x.usage.order {
		if x.AllowsModel(plan, name) {
			names = append(names, name)
		}
	}
	return names
}

// AllowsModel tells whether a plan may use a model.
func (x *Index) AllowsModel(plan string, name fleet.ModelName) bool {
	a := x.usage.allowances[plan]
	return a != nil && a.models[name]
}

// AllowsAdapter tells whether a plan may use an adapter.
func (x *Index) AllowsAdapter(plan, adapter string) bool {
	a := x.usage.allowances[plan]
	return a != nil && a.adapters[adapter]
}

// AllowsService tells whether a plan may use a service.
func (x *Index) AllowsService(plan, service string) bool {
	a := x.usage.allowances[plan]
	return a != nil && a.services[service]
}

// Capacity returns the share of a pool's concurrency that one workspace on the
// plan may hold, from 0 to 1; 0 means no limit.
func (x *Index) Capacity(plan string) float64 {
	if a := x.usage.allowances[plan]; a != nil {
		return a.capacity
	}
	return 0
}

// ZoneOut tells whether operators have taken an availability zone out.
func (x *Index) ZoneOut(zone fleet.AvailabilityZone) bool { return x.zonesOut[string(zone)] }

// InstanceOut tells whether operators have taken an instance out.
func (x *Index) InstanceOut(id fleet.InstanceID) bool { return x.instancesOut[string(id)] }

// UpstreamOut tells whether operators have taken an upstream out. Its zone may
// be out besides.
func (x *Index) UpstreamOut(id fleet.UpstreamID) bool { return x.upstreamsOut[string(id)] }

// Order returns the newest order of an upstream. Its state is as of the version
// that placed it, or of the full copy: a claim tells whether it is still open.
func (x *Index) Order(id fleet.UpstreamID) (Order, bool) {
	o, ok := x.orders[id]
	return o, ok
}

// WorkspaceIDs returns the IDs of all workspaces, in no order.
func (x *Index) WorkspaceIDs() []fleet.WorkspaceID {
	ids := make([]fleet.WorkspaceID, 0, len(x.workspaces))
	for id := range x.workspaces {
		ids = append(ids, id)
	}
	return ids
}

// Plans returns the first list, in no order.
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

// Routes returns the document of the routing table, or nil before the first.
func (x *Index) Routes() *routes.Document { return x.routes }
