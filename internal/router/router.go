package router

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"github.com/wigeonflow/wigeonflow/internal/control"
	"github.com/wigeonflow/wigeonflow/internal/entry"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/mesh"
	"github.com/wigeonflow/wigeonflow/internal/operator"
	"github.com/wigeonflow/wigeonflow/internal/owner"
	"github.com/wigeonflow/wigeonflow/internal/placement"
	"github.com/wigeonflow/wigeonflow/internal/session"
	"github.com/wigeonflow/wigeonflow/internal/settings"
	"github.com/wigeonflow/wigeonflow/internal/telemetry"
	"github.com/wigeonflow/wigeonflow/internal/upstream"
)

// Config holds what a router is set up with.
type Config struct {
	Settings settings.Settings
	Clock    fleet.Clock
	Logger   hclog.Logger
	Metrics  metrics.Registry
	Tracer   *telemetry.Tracer
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
	rings    *rings
	entry    *entry.Server
	owner    *owner.Server
	plans    *plans

	holderMu sync.Mutex
	holder   *session.Holder
	sent     map[uint64][]session.PoolLoad // loads of renewals without a reply

	authority atomic.Pointer[session.Authority]
	table     atomic.Pointer[placement.Table]
	members   atomic.Pointer[map[fleet.InstanceID]fleet.Member]
	upstreams atomic.Pointer[[]fleet.Upstream]
	stopping  atomic.Bool

	changed chan struct{} // capacity 1: what the view is made of has changed
	wg      sync.WaitGroup
	cancel  context.CancelFunc
}

// New returns a router that is not running and registers its methods at the
// mesh server.
func New(cfg Config, server *mesh.Server, pool *mesh.Pool) *Router {
	s := cfg.Settings
	r := &Router{
		cfg: cfg, log: cfg.Logger.Named("router"), pool: pool,
		self:     fleet.Member{ID: s.Instance, Boot: fleet.BootID(uuid.NewString()), Addr: s.Listen.Mesh, Zone: s.Zone},
		control:  control.NewClient(pool, s.Control.Members),
		platform: upstream.NewPlatform(hostOf(s.Platform.URL), upstream.NewHTTPClient()),
		view:     operator.NewView(),
		rings:    newRings(),
		sent:     make(map[uint64][]session.PoolLoad),
		changed:  make(chan struct{}, 1),
	}
	r.holder = session.NewHolder(sessionSettings(s), r.self, r.rings.owner)
	r.authority.Store(new(session.Authority))
	r.members.Store(&map[fleet.InstanceID]fleet.Member{})
	r.upstreams.Store(&[]fleet.Upstream{})
	r.owner = owner.NewServer(owner.Config{
		Instance: r.self.ID, Boot: r.self.Boot, Clock: cfg.Clock,
		Authority: func() session.Authority { return *r.authority.Load() },
		Ledger:    r.ledger, Pool: pool,
		Logger: cfg.Logger, Metrics: cfg.Metrics, Tracer: cfg.Tracer,
	}, server)
	r.plans = newPlans(r, server)
	r.entry = entry.NewServer(entry.Config{
		Clock: cfg.Clock, Zone: s.Zone, Index: r.view.Index, Table: r.table.Load, Member: r.member,
		Ready: r.ready, Plans: r.plans, Pool: pool,
		MaxBodyBytes: s.Limits.MaxBodyBytes, MaxWait: s.Queue.MaxWait,
		Logger: cfg.Logger, Metrics: cfg.Metrics, Tracer: cfg.Tracer,
	})
	return r
}

// Handler returns the callers' HTTP handler.
func (r *Router) Handler() *entry.Server { return r.entry }

// Start begins to keep the session and to follow the configuration.
func (r *Router) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	for _, loop := range []func(context.Context){
		r.owner.Run, r.renewLoop, r.platformLoop, r.reconcileLoop, r.plans.run,
	} {
		r.wg.Go(func() { loop(ctx) })
	}
}

func (r *Router) member(id fleet.InstanceID) (fleet.Member, bool) {
	m, ok := (*r.members.Load())[id]
	return m, ok
}

var (
	errStopping = errors.New("this router is stopping")
	errNoLease  = errors.New("this router has no session lease")
	errNoLists  = errors.New("no configuration is in force")
)

// ready returns why new requests cannot be served.
func (r *Router) ready() error {
	switch {
	case r.stopping.Load():
		return errStopping
	case !r.authority.Load().Valid(r.cfg.Clock()):
		return errNoLease
	case r.view.Version() == 0:
		return errNoLists
	default:
		return nil
	}
}

// notify has the reconcile loop look at the view again.
func (r *Router) notify() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}
