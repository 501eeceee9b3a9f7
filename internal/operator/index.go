package operator

import (
	"encoding/hex"
	"maps"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/lists"
	"github.com/wigeonflow/wigeonflow/internal/rollout"
	"github.com/wigeonflow/wigeonflow/internal/routes"
)

// KeyDigest is the SHA-256 digest of an API key or of an operator's token.
type KeyDigest [32]byte

// Index holds one version of the configuration in maps, so that each query is a
// lookup. It is immutable; callers must not modify what its methods return.
type Index struct {
	version      fleet.ConfigVersion
	workspaces   map[fleet.WorkspaceID]*lists.Workspace
	byKey        map[KeyDigest]*lists.Workspace
	plans        map[string]lists.Plan
	allowances   allowancesIndex
	zonesOut     map[string]bool
	instancesOut map[string]bool
	upstreamsOut map[string]bool
	orders       map[fleet.UpstreamID]Order
	routes       *routes.Document
	rollouts     map[fleet.PoolID]rollout.Rollout
}

// allowancesIndex indexes the allowances list.
type allowancesIndex struct {
	pools      map[fleet.PoolID]*lists.Pool
	models     map[fleet.ModelName]*lists.Model
	services   map[string]*lists.Service
	allowances map[string]*allowance
	modelOrder []fleet.ModelName // the models in the order of the list
}

// allowance is a lists.Allowance with sets in place of slices.
type allowance struct {
	models   map[fleet.ModelName]bool
	adapters map[string]bool
	services map[string]bool
	capacity float64
}

func newIndex(s *State) *Index {
	x := &Index{
		version:      s.Version,
		workspaces:   make(map[fleet.WorkspaceID]*lists.Workspace, len(s.Lists.Plans.Workspaces)),
		byKey:        make(map[KeyDigest]*lists.Workspace, len(s.Lists.Plans.Workspaces)),
		plans:        indexPlans(s.Lists.Plans.Plans),
		allowances:   indexAllowances(&s.Lists.Allowances),
		zonesOut:     toSet(s.ZonesOut),
		instancesOut: toSet(s.InstancesOut),
		upstreamsOut: toSet(s.UpstreamsOut),
		orders:       make(map[fleet.UpstreamID]Order, len(s.Orders)),
		routes:       s.Routes,
		rollouts:     make(map[fleet.PoolID]rollout.Rollout, len(s.Rollouts)),
	}
	for _, r := range append(rolloutsOf(s.Orders), s.Rollouts...) {
		x.rollouts[r.Pool] = r
	}
	for i := range s.Lists.Plans.Workspaces {
		x.putWorkspace(&s.Lists.Plans.Workspaces[i])
	}
	for _, o := range s.Orders {
		x.orders[o.Spec.Upstream] = o
	}
	return x
}

// withDelta returns the index after d is applied. Maps that d does not change are
// shared with x. It fails if x's routing table is not the one that d patches.
func (x *Index) withDelta(d *Delta) (*Index, error) {
	n := *x
	n.version = d.Version
	if len(d.Workspaces) > 0 || len(d.Removed) > 0 {
		n.applyWorkspaces(d)
	}
	if d.Plans != nil {
		n.plans = indexPlans(d.Plans.Plans)
	}
	if d.Allowances != nil {
		n.allowances = indexAllowances(d.Allowances)
	}
	if d.Switch != nil {
		n.applySwitch(d.Switch)
	}
	if d.Order != nil {
		n.orders = maps.Clone(n.orders)
		n.orders[d.Order.Spec.Upstream] = *d.Order
	}
	if r := d.rollout(); r != nil {
		n.rollouts = maps.Clone(n.rollouts)
		n.rollouts[r.Pool] = *r
	}
	if d.Routes != nil {
		doc, err := d.Routes.Apply(x.routes)
		if err != nil {
			return nil, err
		}
		n.routes = doc
	}
	return &n, nil
}

// applyWorkspaces removes every old key before it adds any new one, because a
// key may move from one workspace to another.
func (x *Index) applyWorkspaces(d *Delta) {
	x.workspaces, x.byKey = maps.Clone(x.workspaces), maps.Clone(x.byKey)
	for _, id := range d.Removed {
		x.dropWorkspace(id)
	}
	for i := range d.Workspaces {
		x.dropWorkspace(d.Workspaces[i].ID)
	}
	for i := range d.Workspaces {
		x.putWorkspace(&d.Workspaces[i])
	}
}

func (x *Index) putWorkspace(w *lists.Workspace) {
	x.workspaces[w.ID] = w
	for _, digest := range w.KeyDigests {
		if key, ok := decodeDigest(digest); ok {
			x.byKey[key] = w
		}
	}
}

func (x *Index) dropWorkspace(id fleet.WorkspaceID) {
	w := x.workspaces[id]
	if w == nil {
		return
	}
	delete(x.workspaces, id)
	for _, digest := range w.KeyDigests {
		if key, ok := decodeDigest(digest); ok {
			delete(x.byKey, key)
		}
	}
}

func decodeDigest(text string) (KeyDigest, bool) {
	var key KeyDigest
	if hex.DecodedLen(len(text)) != len(key) {
		return key, false
	}
	_, err := hex.Decode(key[:], []byte(text))
	return key, err == nil
}

func (x *Index) applySwitch(s *Switch) {
	var names *map[string]bool
	switch s.Kind {
	case KindZone:
		names = &x.zonesOut
	case KindInstance:
		names = &x.instancesOut
	case KindUpstream:
		names = &x.upstreamsOut
	default:
		return
	}
	*names = maps.Clone(*names)
	if s.Out {
		(*names)[s.Name] = true
	} else {
		delete(*names, s.Name)
	}
}

func indexPlans(plans []lists.Plan) map[string]lists.Plan {
	m := make(map[string]lists.Plan, len(plans))
	for _, p := range plans {
		m[p.Name] = p
	}
	return m
}

func indexAllowances(a *lists.Allowances) allowancesIndex {
	u := allowancesIndex{
		pools:      make(map[fleet.PoolID]*lists.Pool, len(a.Pools)),
		models:     make(map[fleet.ModelName]*lists.Model, len(a.Models)),
		services:   make(map[string]*lists.Service, len(a.Services)),
		allowances: make(map[string]*allowance, len(a.Plans)),
	}
	for i := range a.Pools {
		u.pools[a.Pools[i].Name] = &a.Pools[i]
	}
	for i := range a.Models {
		u.models[a.Models[i].Name] = &a.Models[i]
		u.modelOrder = append(u.modelOrder, a.Models[i].Name)
	}
	for i := range a.Services {
		u.services[a.Services[i].Name] = &a.Services[i]
	}
	for _, p := range a.Plans {
		u.allowances[p.Plan] = &allowance{toSet(p.Models), toSet(p.Adapters), toSet(p.Services), p.Capacity}
	}
	return u
}

func toSet[K comparable](names []K) map[K]bool {
	m := make(map[K]bool, len(names))
	for _, n := range names {
		m[n] = true
	}
	return m
}
