package router

import (
	"context"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/admission"
	"github.com/wigeonflow/wigeonflow/internal/control"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/operator"
	"github.com/wigeonflow/wigeonflow/internal/owner"
	"github.com/wigeonflow/wigeonflow/internal/placement"
)

const (
	// reconcileInterval is the interval of reconciliation without a change, which also
	// updates new owners on requests that are still in flight here.
	reconcileInterval = 250 * time.Millisecond
	// platformTimeout bounds one read of the upstream list.
	platformTimeout = 2 * time.Second
)

// platformLoop polls the upstream list. The list grants no authority: a router that
// reads a stale one sends no request that its lease does not allow.
func (r *Router) platformLoop(ctx context.Context) {
	ticker := time.NewTicker(r.cfg.Settings.Platform.PollInterval)
	defer ticker.Stop()
	for {
		r.readPlatform(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// readPlatform reads the upstream list once, and triggers a reconciliation if it has
// changed. On a failure the previous list stays in use.
func (r *Router) readPlatform(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	list, err := r.platform.Instances(ctx)
	if err != nil {
		r.log.Warn("cannot read the upstream list; keeping the previous one", "error", err)
		return
	}
	if !sameUpstreams(*r.upstreams.Load(), list.Instances) {
		r.upstreams.Store(&list.Instances)
		r.triggerReconcile()
	}
}

func sameUpstreams(a, b []fleet.Upstream) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// reconcileLoop reconciles after each change of the inputs, and at reconcileInterval.
func (r *Router) reconcileLoop(ctx context.Context) {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.changed:
		case <-ticker.C:
		}
		r.reconcile(ctx)
		r.updateGauges()
	}
}

// reconcile brings placement, ownership and plans in line with membership,
// upstreams and configuration.
func (r *Router) reconcile(ctx context.Context) {
	r.reconcileMu.Lock()
	defer r.reconcileMu.Unlock()
	membership := r.keeper.Authority().Membership()
	upstreams := *r.upstreams.Load()
	index := r.view.Index()
	out := outOfService(index)
	if r.viewChanged(membership.Epoch, index.Version(), upstreams) {
		r.setMembers(membership)
		view := placement.View{Membership: membership, Upstreams: upstreams, Out: out}
		if old := r.table.Load(); old != nil {
			r.table.Store(old.Next(r.cfg.Clock(), view))
		} else {
			r.table.Store(placement.NewTable(r.cfg.Clock(), view))
		}
	}
	r.setDraining(r.stopping.Load() && r.entry.Running() == 0 || index.ZoneOut(r.self.Zone) || index.InstanceOut(r.self.ID))
	ring := r.rings.Ring(membership)
	r.owner.Reconcile(ctx, owner.View{
		Upstreams: upstreams, Out: out, Pools: poolSettings(index, upstreams),
		Membership: membership, Owner: ring.Owner,
	})
	r.plans.reconcile(ctx, membership, ring)
	r.inForce.Store(uint64(index.Version()))
}

// placementInput identifies the inputs of the placement in force.
type placementInput struct {
	epoch     fleet.Epoch
	version   fleet.ConfigVersion
	upstreams *fleet.Upstream // first element: the list is replaced, never changed
	count     int
}

// viewChanged reports whether the inputs of the placement differ from those of the
// previous call, and records them.
func (r *Router) viewChanged(epoch fleet.Epoch, version fleet.ConfigVersion, upstreams []fleet.Upstream) bool {
	now := placementInput{epoch: epoch, version: version, count: len(upstreams)}
	if len(upstreams) > 0 {
		now.upstreams = &upstreams[0]
	}
	changed := now != r.placed || r.table.Load() == nil
	r.placed = now
	return changed
}

// setMembers replaces the set of routers that member searches.
func (r *Router) setMembers(m fleet.Membership) {
	members := make(map[fleet.InstanceID]fleet.Member, len(m.Members))
	for _, member := range m.Members {
		members[member.ID] = member
	}
	r.members.Store(&members)
}

// outOfService returns a function that reports whether operators have taken an
// upstream or its zone out of service.
func outOfService(index *operator.Index) func(fleet.Upstream) bool {
	return func(u fleet.Upstream) bool {
		return index.ZoneOut(u.Zone) || index.UpstreamOut(u.ID)
	}
}

func poolSettings(index *operator.Index, upstreams []fleet.Upstream) map[fleet.PoolID]admission.PoolSettings {
	pools := make(map[fleet.PoolID]admission.PoolSettings)
	for _, u := range upstreams {
		if _, known := pools[u.Pool]; known {
			continue
		}
		if p := index.Pool(u.Pool); p != nil {
			pools[u.Pool] = admission.PoolSettings{LoadFactor: p.LoadFactor, MaxConcurrency: p.MaxConcurrency, StartConcurrency: p.StartConcurrency}
		}
	}
	return pools
}

// listUpstreams serves control.MethodUpstreams.
func (r *Router) listUpstreams(context.Context, string, *control.UpstreamsRequest) (*control.UpstreamsReply, error) {
	return &control.UpstreamsReply{Upstreams: *r.upstreams.Load()}, nil
}
