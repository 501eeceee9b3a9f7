package router

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"github.com/wigeonflow/wigeonflow/internal/control"
	"github.com/wigeonflow/wigeonflow/internal/entry"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/member"
	"github.com/wigeonflow/wigeonflow/internal/mesh"
	"github.com/wigeonflow/wigeonflow/internal/operator"
	"github.com/wigeonflow/wigeonflow/internal/owner"
	"github.com/wigeonflow/wigeonflow/internal/placement"
	"github.com/wigeonflow/wigeonflow/internal/settings"
	"github.com/wigeonflow/wigeonflow/internal/telemetry"
	"github.com/wigeonflow/wigeonflow/internal/upstream"
)

// Config configures a Router.
type Config struct {
	Settings settings.Settings
	Clock    fleet.Clock
	Logger   hclog.Logger
	Metrics  metrics.Registry
	Tracer   *telemetry.Tracer
	// Guard confines panics of calls between plan homes and borrowers; nil lets them end the process.
	Guard *fleet.Guard
}

// Router is the router role of one instance.
type Router struct {
	cfg      Config
	log      hclog.Logger
	self     fleet.Member
	pool     *mesh.Pool
	control  *control.Client
	platform upstream.Platform
	view     *operator.View
	keeper   *member.Keeper
	rings    *placement.Rings
	entry    *entry.Server
	owner    *owner.Server
	plans    *plans

	reconcileMu sync.Mutex
	placed      placementInput // of the placement in force

	table     atomic.Pointer[placement.Table]
	members   atomic.Pointer[map[fleet.InstanceID]fleet.Member]
	upstreams atomic.Pointer[[]fleet.Upstream]
	stopping  atomic.Bool
	stop      atomic.Pointer[fleet.PlannedStop]
	inForce   atomic.Uint64 // configuration version of the last reconciliation

	changed chan struct{} // capacity 1; signals a change of the reconciled inputs
	wg      sync.WaitGroup
	cancel  context.CancelFunc
}

// New returns a router and registers its methods at the mesh server. Start starts it.
func New(cfg Config, server *mesh.Server, pool *mesh.Pool) *Router {
	s := cfg.Settings
	r := &Router{
		cfg: cfg, log: cfg.Logger.Named("router"), pool: pool,
		self:     fleet.Member{ID: s.Instance, Boot: fleet.NewBootID(), Addr: s.Listen.Mesh, Zone: s.Zone},
		control:  control.NewClient(pool, s.Control.Members),
		platform: upstream.NewPlatform(hostOf(s.Platform.URL), upstream.NewHTTPClient()),
		rings:    placement.NewRings(),
		changed:  make(chan struct{}, 1),
	}
	r.keeper = r.newKeeper()
	r.view = r.keeper.View()
	r.members.Store(&map[fleet.InstanceID]fleet.Member{})
	r.upstreams.Store(&[]fleet.Upstream{})
	r.owner = owner.NewServer(owner.Config{
		Instance: r.self.ID, Boot: r.self.Boot, Clock: cfg.Clock,
		Authority: r.keeper.Authority,
		Index:     r.view.Index, Orders: r.commitOrder,
		Lease:  r.keeper.Lease,
		Ledger: r.commitLedgerCommand, Pool: pool, GatherInterval: s.Limits.GatherInterval,
		Logger: cfg.Logger, Metrics: cfg.Metrics, Tracer: cfg.Tracer,
	}, server)
	r.plans = newPlans(r, server)
	server.Handle(control.MethodUpstreams, mesh.Unary(r.listUpstreams))
	r.entry = entry.NewServer(entry.Config{
		Clock: cfg.Clock, Zone: s.Zone, Index: r.view.Index, Table: r.table.Load, Member: r.member,
		Ready: r.Ready, Serving: r.serving, Stopping: r.stopping.Load, Stop: r.stop.Load, Plans: r.plans, Pool: pool,
		MaxBodyBytes: s.Limits.MaxBodyBytes, MaxWait: s.Queue.MaxWait,
		Logger: cfg.Logger, Metrics: cfg.Metrics, Tracer: cfg.Tracer,
	})
	return r
}

// Handler returns the callers' HTTP handler.
func (r *Router) Handler() http.Handler { return r.entry }

// Start starts the router's session and its background loops.
func (r *Router) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	for _, loop := range []func(context.Context){
		r.owner.Run, r.entry.Run, r.keeper.Run, r.platformLoop, r.reconcileLoop, r.plans.run,
	} {
		r.wg.Go(func() { loop(ctx) })
	}
}

// member returns a member of the current membership.
func (r *Router) member(id fleet.InstanceID) (fleet.Member, bool) {
	m, ok := (*r.members.Load())[id]
	return m, ok
}

var (
	errStopping     = errors.New("this router is stopping")
	errNoLease      = errors.New("this router has no session lease")
	errOutOfService = errors.New("operators have taken this router out of service")
	errNoConfig     = errors.New("no configuration is in force")
)

// serving returns the reason for which new requests cannot be served, or nil if there is
// none.
func (r *Router) serving() error {
	switch {
	case !r.keeper.Authority().Valid(r.cfg.Clock()):
		return errNoLease
	case r.view.Version() == 0:
		return errNoConfig
	default:
		return nil
	}
}

// Ready returns the reason for which the load balancer should send no requests here, or
// nil if there is none.
func (r *Router) Ready() error {
	index := r.view.Index()
	switch {
	case r.stopping.Load():
		return errStopping
	case index.ZoneOut(r.self.Zone) || index.InstanceOut(r.self.ID):
		return errOutOfService
	default:
		return r.serving()
	}
}

// triggerReconcile makes the reconcile loop run without waiting for its interval.
func (r *Router) triggerReconcile() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}
