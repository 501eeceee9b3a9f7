package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"github.com/wigeonflow/wigeonflow/internal/balance"
	"github.com/wigeonflow/wigeonflow/internal/control"
	"github.com/wigeonflow/wigeonflow/internal/exchange"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/member"
	"github.com/wigeonflow/wigeonflow/internal/mesh"
	"github.com/wigeonflow/wigeonflow/internal/placement"
	"github.com/wigeonflow/wigeonflow/internal/rollout"
	"github.com/wigeonflow/wigeonflow/internal/routes"
	"github.com/wigeonflow/wigeonflow/internal/session"
	"github.com/wigeonflow/wigeonflow/internal/settings"
	"github.com/wigeonflow/wigeonflow/internal/telemetry"
)

const (
	// keysMargin is subtracted from the operators' KeyLife: a confirmation counts from
	// the time at which it was requested, and an accepted request takes some time to
	// reach an upstream.
	keysMargin = 400 * time.Millisecond
	// trimInterval is the interval at which idle connections to upstreams are closed and ended
	// rests are logged.
	trimInterval = time.Second
	// stopPoll is the interval at which a stopping router checks for running requests.
	stopPoll = 25 * time.Millisecond
)

// Config configures a Router.
type Config struct {
	Settings settings.Settings
	Clock    fleet.Clock
	Logger   hclog.Logger
	// Requests logs the attempts and the outcome of each request.
	Requests *slog.Logger
	Metrics  metrics.Registry
	Tracer   *telemetry.Tracer
	Protocol Protocol
	Lister   Lister
	Decode   routes.Decoder
	// KeyLife is the time after its revocation within which every router rejects a key;
	// 0 or less accepts keys without a confirmation.
	KeyLife time.Duration
	// MaxConfigAge bounds the age of the newest confirmation of the configuration.
	MaxConfigAge ConfigAgeLimits
	Retries      balance.RetryLimits
	// Rollouts bounds roll-outs; the zero value turns them off.
	Rollouts rollout.Limits
	// ListInterval is the time between two reads of the upstream list.
	ListInterval time.Duration
	// Guard confines panics of background work; nil lets them end the process.
	Guard *fleet.Guard
	// Memory is the memory in bytes that the process may use; 0 if that is not known.
	Memory int64
}

// Router forwards callers' requests to upstreams by the routing table in force.
type Router struct {
	cfg      Config
	log      hclog.Logger
	self     fleet.Member
	control  *control.Client
	keeper   *member.Keeper
	balancer *balance.Balancer
	pool     *exchange.Pool
	server   *Server
	list     *upstreamList
	rollouts *Rollouts
	versions func(fleet.PoolID) *balance.VersionPolicy // nil while roll-outs are turned off

	table    atomic.Pointer[routes.Index]
	inForce  atomic.Uint64 // version of the configuration in force
	stopping atomic.Bool
	stop     atomic.Pointer[fleet.PlannedStop]
	// started is closed once the configuration has been confirmed and the upstream list read for
	// the first time.
	started     chan struct{}
	startedOnce sync.Once

	wg     sync.WaitGroup
	cancel context.CancelFunc
}

// New returns a router; Start starts it.
func New(cfg Config, server *mesh.Server, pool *mesh.Pool) *Router {
	s := cfg.Settings
	r := &Router{
		cfg: cfg, log: cfg.Logger.Named("router"),
		self:    fleet.Member{ID: s.Instance, Boot: fleet.NewBootID(), Addr: s.Listen.Mesh, Zone: s.Zone},
		control: control.NewClient(pool, s.Control.Members),
		pool:    exchange.NewPool(), started: make(chan struct{}),
	}
	r.pool.Guard = cfg.Guard
	r.balancer = balance.New(balance.Config{
		Zone: s.Zone, Seed: xxhash.Sum64String(string(s.Instance)), Retries: cfg.Retries,
		OnQuarantine: r.logQuarantine, OnTransition: r.logTransition, OnMalformed: r.logMalformed,
		OnEstimate: estimateErrors(cfg.Metrics),
	})
	r.keeper = member.NewKeeper(member.Config{
		Self:    r.self,
		Session: session.Settings{Lease: s.Session.Lease, RenewInterval: s.Session.RenewInterval},
		Clock:   cfg.Clock, Control: r.control, Server: server, Pool: pool, Guard: cfg.Guard, Logger: r.log, Owner: placement.NewRings().Owner,
		InForce:  func() fleet.ConfigVersion { return fleet.ConfigVersion(r.inForce.Load()) },
		OnConfig: r.applyConfig, OnConfirmed: r.checkStarted, Note: r.quarantineNote, NoteID: noteID, OnNote: r.applyNote, Rollouts: r.rolloutReports,
	})
	r.rollouts = r.newRollouts()
	if r.rollouts != nil {
		r.versions = r.rollouts.Policy
	}
	r.server = NewServer(ServerConfig{
		Clock: cfg.Clock, Protocol: cfg.Protocol, Table: r.table.Load, SessionState: r.sessionState, KeysUntil: r.keysUntil, ListAge: r.listAge,
		ConfirmedAt: r.keeper.ConfirmedAt, Started: r.started, MaxConfigAge: cfg.MaxConfigAge, InContact: r.inContact, IsSuperseded: r.isSuperseded,
		Stopping: r.stopping.Load, Stop: r.stop.Load, Balancer: r.balancer, Rollouts: r.rollouts, Pool: r.pool, Log: cfg.Requests, Metrics: cfg.Metrics, Memory: cfg.Memory, Tracer: cfg.Tracer,
	})
	r.list = newUpstreamList(upstreamListConfig{
		log: r.log.Named("list"), clock: cfg.Clock, self: r.self, lister: cfg.Lister, interval: cfg.ListInterval,
		pool: pool, relays: r.keeper.Relays, needed: r.needsList, loads: r.balancer, guard: cfg.Guard, onChange: r.applyList,
	})
	server.HandleBackground(MethodList, r.list.serve)
	metrics.NewRegisteredFunctionalGauge(telemetry.MetricName("gateway_config_age_ms"), cfg.Metrics, func() int64 {
		return (cfg.Clock() - r.keeper.ConfirmedAt()).Milliseconds()
	})
	metrics.NewRegisteredFunctionalGauge(telemetry.MetricName("gateway_upstreams_leaving"), cfg.Metrics, func() int64 {
		leaving, _ := r.balancer.CountConditions(cfg.Clock())
		return int64(leaving)
	})
	metrics.NewRegisteredFunctionalGauge(telemetry.MetricName("gateway_upstreams_resting"), cfg.Metrics, func() int64 {
		_, resting := r.balancer.CountConditions(cfg.Clock())
		return int64(resting)
	})
	metrics.NewRegisteredFunctionalGauge(telemetry.MetricName("gateway_upstream_connections"), cfg.Metrics, func() int64 {
		open, _ := r.pool.Counts()
		return int64(open)
	})
	metrics.NewRegisteredFunctionalGauge(telemetry.MetricName("gateway_upstream_connections_dialed"), cfg.Metrics, func() int64 { return int64(r.pool.Dials()) })
	metrics.NewRegisteredFunctionalGauge(telemetry.MetricName("gateway_upstream_connections_reset"), cfg.Metrics, func() int64 {
		_, resets := r.pool.Counts()
		return int64(resets)
	})
	return r
}

// logQuarantine logs that a prompt part or a request is quarantined.
func (r *Router) logQuarantine(key balance.SuspectKey, upstreams, branches int) {
	if key.Kind == balance.SuspectRequest {
		r.log.Warn("request quarantined: upstreams broke off under it", "fingerprint", formatHash(key.ID), "upstreams", upstreams)
		return
	}
	r.log.Warn("prompt part quarantined: upstreams broke off under it", "part", formatHash(key.ID), "upstreams", upstreams, "branches", branches)
}

// logTransition logs that an upstream begins or ceases to leave or rest.
func (r *Router) logTransition(t balance.Transition) {
	fields := []any{"upstream", string(t.Upstream.ID), "boot", string(t.Upstream.Boot), "pool", string(t.Upstream.Pool), "by", t.By}
	length := t.For.Round(time.Millisecond).String()
	switch {
	case t.Condition == balance.Resting && t.Ended:
		r.log.Info("upstream no longer rests", append(fields, "lasted", length)...)
	case t.Condition == balance.Resting:
		r.log.Info("upstream rests: it has turned this router away", append(fields, "for", length)...)
	case t.Ended:
		r.log.Info("upstream no longer leaves: it is gone, restarted or listed as ready", append(fields, "lasted", length)...)
	default:
		r.log.Info("upstream leaves: no new work until it is gone", fields...)
	}
}

// logMalformed logs that an upstream says something of itself that has no defined meaning.
func (r *Router) logMalformed(u fleet.Upstream, fields string) {
	r.log.Warn("malformed header fields of an upstream", "upstream", string(u.ID), "boot", string(u.Boot), "fields", fields)
}

// Handler returns the callers' HTTP handler.
func (r *Router) Handler() http.Handler { return r.server }

// Start starts the session with the control group and the updates of configuration
// and upstream list.
func (r *Router) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.wg.Go(func() { r.keeper.Run(ctx) })
	r.wg.Go(func() { r.cfg.Guard.Run("upstream list", func() { r.list.run(ctx) }) })
	r.wg.Go(func() { r.trim(ctx, trimInterval) })
}

// trim closes idle connections, logs ended rests and updates the gauges of estimates once per
// interval until ctx ends.
func (r *Router) trim(ctx context.Context, interval time.Duration) {
	r.cfg.Guard.Every(ctx, "trim", interval, func(context.Context) {
		r.pool.Trim()
		r.balancer.UpdateConditions(r.cfg.Clock())
		updateEstimates(r.cfg.Metrics, r.balancer.Estimates())
	})
}

// SetControl replaces the addresses of the control members that the router asks first.
func (r *Router) SetControl(addrs []string) { r.control.SetAddrs(addrs) }

// applyConfig brings a fetched configuration into force. If its routing table can't be
// decoded, the previous table and version stay in force.
func (r *Router) applyConfig() {
	index := r.keeper.View().Index()
	r.rollouts.ApplyConfig()
	doc := index.Routes()
	if doc != nil && (r.table.Load() == nil || r.table.Load().Version() < doc.Version()) {
		var table *routes.Index
		err := r.cfg.Guard.Confine("configuration: decode the routing table", func() error {
			decoded, err := r.cfg.Decode(doc.Bytes())
			if err == nil {
				table = routes.NewIndex(decoded)
			}
			return err
		})
		if err != nil {
			r.log.Error("cannot decode the routing table; the previous one stays in force", "table", doc.Version(), "error", err)
			return
		}
		r.table.Store(table)
	}
	r.inForce.Store(uint64(index.Version()))
	r.log.Info("configuration in force", "version", uint64(index.Version()), "table", r.tableVersion())
}

// CallerLimits returns the limits of the configuration in force; no limits before the first.
func (r *Router) CallerLimits() routes.CallerLimits {
	if t := r.table.Load(); t != nil {
		return t.Limits()
	}
	return routes.CallerLimits{}
}

// needsList reports whether the router uses the upstream list, or soon will: with the leader's first
// reply it begins to read both the list and the configuration.
func (r *Router) needsList() bool { return r.table.Load() != nil || len(r.keeper.Relays()) > 0 }

// checkStarted ends the wait of requests for the router's start once it can serve them.
func (r *Router) checkStarted() {
	if list, _ := r.list.newest(); list == nil || r.keeper.ConfirmedAt() < 0 {
		return
	}
	r.startedOnce.Do(func() { close(r.started) })
}

// tableVersion returns the version of the routing table in force; 0 before the first.
func (r *Router) tableVersion() uint64 {
	if t := r.table.Load(); t != nil {
		return t.Version()
	}
	return 0
}

// sessionState returns the current session state for the balancer.
func (r *Router) sessionState() balance.SessionState {
	authority := r.keeper.Authority()
	index := r.keeper.View().Index()
	now := r.cfg.Clock()
	return balance.SessionState{
		ListAsOf: now - r.listAge(),
		Owns:     func(id fleet.UpstreamID) bool { return authority.Owns(now, string(id)) },
		Routers:  len(authority.Membership().Members),
		Versions: r.versions,
		Out:      func(u fleet.Upstream) bool { return index.ZoneOut(u.Zone) || index.UpstreamOut(u.ID) },
	}
}

// newRollouts returns what divides requests between versions; nil if roll-outs are turned off.
func (r *Router) newRollouts() *Rollouts {
	return NewRollouts(RolloutsConfig{
		Limits: r.cfg.Rollouts, Contact: r.cfg.MaxConfigAge.Service, Seed: xxhash.Sum64String(string(r.self.ID) + "/" + string(r.self.Boot)),
		Clock: r.cfg.Clock, TimeOfDay: func() int64 { return time.Now().UnixMilli() }, ConfirmedAt: r.keeper.ConfirmedAt,
		Record:  func(pool fleet.PoolID) (rollout.Rollout, bool) { return r.keeper.View().Index().Rollout(pool) },
		Routers: func() int { return len(r.keeper.Authority().Membership().Members) }, Metrics: r.cfg.Metrics, Logger: r.log.Named("rollout"),
	})
}

// rolloutReports returns the reports to send with a renewal.
func (r *Router) rolloutReports() []rollout.Report { return r.rollouts.Reports() }

// keysUntil returns the time until which the keys in force may be accepted.
func (r *Router) keysUntil() time.Duration {
	if r.cfg.KeyLife <= 0 {
		return 1<<63 - 1
	}
	return r.keeper.ConfirmedAt() + r.cfg.KeyLife - keysMargin
}

// inContact reports whether a control member has answered within MaxConfigAge.Service.
func (r *Router) inContact() bool { return r.control.AnsweredWithin(r.cfg.MaxConfigAge.Service) }

// isSuperseded reports whether the control leader has announced a newer configuration than
// the one in force.
func (r *Router) isSuperseded() bool {
	return r.keeper.Announced() > fleet.ConfigVersion(r.inForce.Load())
}

// listAge returns the age of the upstream list, or the clock's reading if there is none.
func (r *Router) listAge() time.Duration {
	current, _ := r.list.newest()
	if current == nil {
		return r.cfg.Clock()
	}
	return r.cfg.Clock() - current.asOf
}

// Ready returns the reason for which the router should get no requests, or nil if there is
// none.
func (r *Router) Ready() error {
	table := r.table.Load()
	switch {
	case r.stopping.Load():
		return errStopping
	case table == nil:
		return errNoTable
	case table.RequiresKeys() && r.cfg.Clock() >= r.keysUntil(), !r.server.isConfirmed(r.cfg.Clock() - r.keeper.ConfirmedAt()):
		return errUnconfirmed
	default:
		return nil
	}
}

var (
	errStopping    = fleet.Errors.NewType("gateway_stopping").New("this router is stopping")
	errNoTable     = fleet.Errors.NewType("gateway_no_table").New("no routing table is in force")
	errUnconfirmed = fleet.Errors.NewType("gateway_unconfirmed").New("the control group hasn't confirmed the configuration lately")
)

// applyList passes a changed list to the balancer and closes the connections to
// addresses that no longer belong to the same upstream.
func (r *Router) applyList(asOf time.Duration, s *snapshot) {
	list := s.upstreams()
	r.rollouts.SetUpstreams(list) // before the balancer may choose upstreams of a new version
	for _, addr := range r.balancer.SetUpstreams(asOf, list) {
		r.pool.CloseIdle(addr)
	}
	r.checkStarted()
}

// Drain makes the router report itself as not ready, and returns after the drain notice or
// when ctx ends. The router keeps serving meanwhile.
func (r *Router) Drain(ctx context.Context) {
	r.log.Info("draining", "running", r.server.Running())
	r.stop.Store(fleet.NewPlannedStop(ctx, r.cfg.Clock(), r.cfg.Settings.DrainNotice))
	r.stopping.Store(true)
	r.server.beginStop()
	fleet.Pause(ctx, r.cfg.Settings.DrainNotice)
}

// Stop stops the router once all callers' requests have ended and the session lease was
// returned, or when ctx ends. It returns an error if ctx ends first.
func (r *Router) Stop(ctx context.Context) error {
	r.keeper.SetDraining(true)
	err := r.await(ctx, func() bool { return r.server.Running() == 0 })
	if err != nil {
		r.server.logCut()
	}
	r.keeper.Leave()
	if err == nil {
		err = r.await(ctx, r.keeper.HasLeft)
	}
	r.cancel()
	r.wg.Wait()
	r.pool.Close()
	return err
}

// errGracePeriod is the type of errors of a stop whose context ended first.
var errGracePeriod = fleet.Errors.NewType("gateway_grace_period")

// await waits until done returns true. It returns an error if ctx ends first.
func (r *Router) await(ctx context.Context, done func() bool) error {
	if !fleet.Await(ctx, stopPoll, done) {
		return errGracePeriod.New("the grace period ended before the router had stopped: %d requests running", r.server.Running())
	}
	return nil
}
