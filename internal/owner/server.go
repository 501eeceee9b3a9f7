package owner

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"github.com/wigeonflow/wigeonflow/internal/admission"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/ledger"
	"github.com/wigeonflow/wigeonflow/internal/mesh"
	"github.com/wigeonflow/wigeonflow/internal/operator"
	"github.com/wigeonflow/wigeonflow/internal/session"
	"github.com/wigeonflow/wigeonflow/internal/telemetry"
	"github.com/wigeonflow/wigeonflow/internal/upstream"
)

// Defaults of a Config's fields.
const (
	DefaultMaxStall = 20 * time.Second
	// gateTick is the interval of the gate's decisions on queued requests.
	gateTick = 50 * time.Millisecond
)

// Config configures a Server.
type Config struct {
	Instance fleet.InstanceID
	Boot     fleet.BootID
	Clock    fleet.Clock
	// Authority returns the current lease and ownership of this instance.
	Authority func() session.Authority
	// Index returns the configuration in force.
	Index func() *operator.Index
	// Orders commits a claim or a finish of an order in the control group.
	Orders func(context.Context, *operator.Claim, *operator.Finish) (operator.Answer, error)
	// Lease returns the session lease in the ledger's form.
	Lease func() ledger.Lease
	// Ledger commits a command in the control group.
	Ledger func(context.Context, ledger.Command) (ledger.Result, error)
	// Pool connects to the other routers.
	Pool *mesh.Pool
	// MaxStall is the longest pause inside an answer; 0 means DefaultMaxStall.
	MaxStall time.Duration
	// GatherInterval is the time between two reads of one engine's stream; 0 means that
	// each token is relayed at once. It is the largest delay of all tokens but the first,
	// and of the answer's end.
	GatherInterval time.Duration
	Logger         hclog.Logger
	Metrics        metrics.Registry
	Tracer         *telemetry.Tracer
}

// Server runs the requests that entry routers forward at the upstreams that this router owns.
type Server struct {
	cfg     Config
	log     hclog.Logger
	gate    *gate
	client  *http.Client
	running atomic.Int64
	orphans orphans
	orders  *orders
	cache   *cache

	mu       sync.Mutex // serialises Reconcile, and guards the maps below
	owned    map[fleet.UpstreamID]*ownedUpstream
	outgoing map[fleet.UpstreamID]outgoingHandover // pending handovers to new owners
	incoming map[fleet.UpstreamID]receivedHandover // from former owners

	directory atomic.Pointer[directory]
}

// NewServer returns a server that owns no upstreams yet, and registers its methods at
// the mesh server.
func NewServer(cfg Config, server *mesh.Server) *Server {
	if cfg.MaxStall == 0 {
		cfg.MaxStall = DefaultMaxStall
	}
	s := &Server{
		cfg: cfg, log: cfg.Logger.Named("owner"), gate: newGate(cfg.Clock), client: upstream.NewHTTPClient(),
		orphans:  orphans{byAttempt: make(map[string]*orphan)},
		owned:    make(map[fleet.UpstreamID]*ownedUpstream),
		outgoing: make(map[fleet.UpstreamID]outgoingHandover),
		incoming: make(map[fleet.UpstreamID]receivedHandover),
	}
	s.orders = &orders{server: s, runners: make(map[fleet.UpstreamID]*operator.Runner)}
	s.cache = newCache(s)
	s.directory.Store(&directory{})
	server.Unconfined(MethodChat, MethodCall, MethodHandover, MethodServedNotice)
	server.Handle(MethodChat, s.chat)
	server.Handle(MethodCall, s.call)
	server.Handle(MethodHandover, mesh.Unary(s.handleHandover))
	server.Handle(MethodServedNotice, mesh.Unary(s.cache.handleServedNotice))
	return s
}

// Run decides on queued requests, carries out orders and reads the engines' cache
// events until ctx ends.
func (s *Server) Run(ctx context.Context) {
	go s.orders.run(ctx)
	go s.cache.run(ctx)
	fleet.Every(ctx, gateTick, func(context.Context) {
		s.gate.updateCore(func(now time.Duration, dst []admission.QueuedDecision) []admission.QueuedDecision {
			return s.gate.core.Tick(now, dst)
		})
	})
}

// checkAuthority returns a rejection if this instance may not send requests to the upstream
// now, or else RejectionNone.
func (s *Server) checkAuthority(id fleet.UpstreamID) Rejection {
	authority := s.cfg.Authority()
	now := s.cfg.Clock()
	switch {
	case !authority.Valid(now):
		return RejectionNoLease
	case !authority.Owns(now, string(id)):
		return RejectionNotOwner
	default:
		return RejectionNone
	}
}

// errNotAuthorised is the type of errors of requests whose lease or ownership ended
// before their first byte was sent.
var errNotAuthorised = fleet.Errors.NewType("owner_not_authorised")

// beforeWrite returns a check to call directly before the first byte of a request is
// sent: if the process was suspended since the admission, its lease may have ended.
func (s *Server) beforeWrite(id fleet.UpstreamID) func() error {
	return func() error {
		if rejection := s.checkAuthority(id); rejection != RejectionNone {
			return errNotAuthorised.New("upstream %s may not be sent requests: %s", id, rejection)
		}
		return nil
	}
}

// admit decides on a request. request holds the fields that the header lacks; admit sets
// the others from the header. The slot is nil if the request is not admitted.
func (s *Server) admit(ctx context.Context, h *Header, request admission.Request) (*slot, Verdict) {
	verdict := Verdict{Epoch: s.cfg.Authority().Membership().Epoch}
	if verdict.Reason = s.checkAuthority(h.Upstream); verdict.Reason != RejectionNone {
		return nil, s.countVerdict(verdict)
	}
	request.ID, request.Upstream, request.Priority, request.Workspace = h.Request, h.Upstream, h.Priority, h.Workspace
	request.Deadline = s.cfg.Clock() + time.Duration(h.BudgetMillis)*time.Millisecond
	request.NoQueue = !h.MayQueue
	slot, decision := s.gate.admit(ctx, request)
	if slot == nil {
		verdict.Reason = rejectionOf(decision.Reason)
		verdict.RetryAfterMillis = uint32(decision.RetryAfter.Milliseconds())
		return nil, s.countVerdict(verdict)
	}
	verdict.Admitted = true
	return slot, s.countVerdict(verdict)
}

// sendVerdict sends the verdict to the entry, and reports whether the request may
// continue: it must be admitted, and its verdict sent.
func sendVerdict(ctx context.Context, st *mesh.Stream, slot *slot, verdict Verdict) (bool, error) {
	err := send(ctx, st, &verdict)
	if err != nil && slot != nil {
		slot.cancel()
	}
	return err == nil && slot != nil, err
}

// rejectionOf returns the rejection for the reason that the gate gives.
func rejectionOf(reason admission.Reason) Rejection {
	switch reason {
	case admission.ReasonNotOwned:
		return RejectionUnknownUpstream
	case admission.ReasonDraining:
		return RejectionOutOfService
	case admission.ReasonDeadline:
		return RejectionDeadline
	default:
		return RejectionFull
	}
}

// countVerdict counts a verdict and returns it.
func (s *Server) countVerdict(v Verdict) Verdict {
	name := "admitted"
	if !v.Admitted {
		name = "refused_" + v.Reason.String()
	}
	metrics.GetOrRegisterCounter(telemetry.MetricName("owner_verdicts", "verdict", name), s.cfg.Metrics).Inc(1)
	return v
}

// Loads returns this instance's load in each pool.
func (s *Server) Loads() (loads []admission.Load) {
	s.gate.withCore(func(core *admission.Gate) { loads = core.Loads(nil) })
	return loads
}

// SetPoolLoad sets a pool's load over the fleet.
func (s *Server) SetPoolLoad(id fleet.PoolID, load admission.PoolLoad) {
	s.gate.updateCore(func(now time.Duration, dst []admission.QueuedDecision) []admission.QueuedDecision {
		return s.gate.core.SetPoolLoad(now, id, load, dst)
	})
}

// Running returns the number of requests in flight, including those at upstreams that
// this instance has released.
func (s *Server) Running() int64 { return s.running.Load() }

// HeldBackByBound reports whether requests wait for a load bound that the next session renewal
// may raise.
func (s *Server) HeldBackByBound() (heldBack bool) {
	s.gate.withCore(func(core *admission.Gate) { heldBack = core.HeldBackByBound() })
	return heldBack
}
