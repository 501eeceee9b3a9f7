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
	// gateTick spaces the gate's decisions on queued requests.
	gateTick = 50 * time.Millisecond
)

// Config holds what an owner is set up with.
type Config struct {
	Instance fleet.InstanceID
	Boot     fleet.BootID
	Clock    fleet.Clock
	// Authority returns what this instance may do at present.
	Authority func() session.Authority
	// Index returns the configuration in force.
	Index func() *operator.Index
	// Orders has a claim or a finish of an order committed by the control group.
	Orders func(context.Context, *operator.Claim, *operator.Finish) (operator.Answer, error)
	// Lease returns the session lease as the ledger counts it.
	Lease func() ledger.Lease
	// Ledger has a command committed by the control group.
	Ledger func(context.Context, ledger.Command) (ledger.Result, error)
	// Pool reaches the other routers.
	Pool *mesh.Pool
	// MaxStall is the longest pause inside an answer; 0 means DefaultMaxStall.
	MaxStall time.Duration
	// GatherInterval is the time between two reads of one engine's stream; 0
	// means that each token goes on at once. Tokens behind the first, and the end,
	// come later by at most this.
	GatherInterval time.Duration
	Logger         hclog.Logger
	Metrics        metrics.Registry
	Tracer         *telemetry.Tracer
}

// Server is the owner's side of a router.
type Server struct {
	cfg     Config
	log     hclog.Logger
	gate    *gate
	client  *http.Client
	running atomic.Int64
	orphans orphans
	orders  *orders
	cache   *cache

	mu        sync.Mutex // serialises reconcile
	owned     map[fleet.UpstreamID]*holding
	lost      map[fleet.UpstreamID]successor
	handovers map[fleet.UpstreamID]received

	directory atomic.Pointer[directory]
}

// NewServer returns an owner of nothing and registers its methods at the mesh
// server.
func NewServer(cfg Config, server *mesh.Server) *Server {
	if cfg.MaxStall == 0 {
		cfg.MaxStall = DefaultMaxStall
	}
	s := &Server{
		cfg: cfg, log: cfg.Logger.Named("owner"), gate: newGate(cfg.Clock), client: upstream.NewHTTPClient(),
		orphans:   orphans{work: make(map[string]*orphan)},
		owned:     make(map[fleet.UpstreamID]*holding),
		lost:      make(map[fleet.UpstreamID]successor),
		handovers: make(map[fleet.UpstreamID]received),
	}
	s.orders = &orders{server: s, runners: make(map[fleet.UpstreamID]*operator.Runner)}
	s.cache = newCache(s)
	s.directory.Store(&directory{})
	server.Handle(MethodChat, s.chat)
	server.Handle(MethodCall, s.call)
	server.Handle(MethodHandover, mesh.Unary(s.handover))
	server.Handle(MethodNote, mesh.Unary(s.cache.note))
	return s
}

// Run settles queued requests, carries out orders and follows the engines'
// caches until ctx ends.
func (s *Server) Run(ctx context.Context) {
	go s.orders.run(ctx)
	go s.cache.run(ctx)
	fleet.Every(ctx, gateTick, func(context.Context) {
		s.gate.change(func(now time.Duration, dst []admission.Settled) []admission.Settled {
			return s.gate.core.Tick(now, dst)
		})
	})
}

// authorised returns a refusal where this instance may not open work on the
// upstream at this moment.
func (s *Server) authorised(id fleet.UpstreamID) Refusal {
	authority := s.cfg.Authority()
	now := s.cfg.Clock()
	switch {
	case !authority.Valid(now):
		return RefusedNoLease
	case !authority.Owns(now, string(id)):
		return RefusedNotOwner
	default:
		return RefusedNone
	}
}

// errNotAuthorised stops a dispatch whose lease or ownership ended before the
// first byte left.
var errNotAuthorised = fleet.Errors.NewType("owner_not_authorised")

// beforeWrite is asked directly before the first byte of a request leaves: a
// process that was stopped since its admission finds its lease gone here.
func (s *Server) beforeWrite(id fleet.UpstreamID) func() error {
	return func() error {
		if refusal := s.authorised(id); refusal != RefusedNone {
			return errNotAuthorised.New("%s", refusal)
		}
		return nil
	}
}

// admit decides on a request; ask holds what the header does not. Where the slot
// is nil the verdict refuses.
func (s *Server) admit(ctx context.Context, h *Header, ask admission.Request) (*slot, Verdict) {
	verdict := Verdict{Epoch: s.cfg.Authority().Membership().Epoch}
	if verdict.Reason = s.authorised(h.Upstream); verdict.Reason != RefusedNone {
		return nil, s.count(verdict)
	}
	ask.ID, ask.Upstream, ask.Priority, ask.Workspace = h.Request, h.Upstream, h.Priority, h.Workspace
	ask.Deadline = s.cfg.Clock() + time.Duration(h.BudgetMillis)*time.Millisecond
	ask.NoQueue = !h.MayQueue
	slot, decision := s.gate.admit(ctx, ask)
	if slot == nil {
		verdict.Reason = refusalOf(decision.Reason)
		verdict.RetryAfterMillis = uint32(decision.RetryAfter.Milliseconds())
		return nil, s.count(verdict)
	}
	verdict.Admitted = true
	return slot, s.count(verdict)
}

// answerVerdict tells the entry whether its request was admitted and returns
// whether the request goes on. One whose entry does not hear of it does not.
func answerVerdict(ctx context.Context, st *mesh.Stream, slot *slot, verdict Verdict) (bool, error) {
	err := send(ctx, st, &verdict)
	if err != nil && slot != nil {
		slot.cancel()
	}
	return err == nil && slot != nil, err
}

func refusalOf(reason admission.Reason) Refusal {
	switch reason {
	case admission.ReasonNotOwned:
		return RefusedUnknownUpstream
	case admission.ReasonDraining:
		return RefusedOut
	case admission.ReasonDeadline:
		return RefusedDeadline
	default:
		return RefusedFull
	}
}

func (s *Server) count(v Verdict) Verdict {
	name := "admitted"
	if !v.Admitted {
		name = "refused_" + v.Reason.String()
	}
	metrics.GetOrRegisterCounter(telemetry.MetricName("owner_verdicts", "verdict", name), s.cfg.Metrics).Inc(1)
	return v
}

// Loads returns this instance's part of every pool's sums.
func (s *Server) Loads() (loads []admission.Load) {
	s.gate.with(func(core *admission.Gate) { loads = core.Loads(nil) })
	return loads
}

// SetPool takes a pool's sums over the fleet.
func (s *Server) SetPool(id fleet.PoolID, load admission.PoolLoad) {
	s.gate.change(func(now time.Duration, dst []admission.Settled) []admission.Settled {
		return s.gate.core.SetPool(now, id, load, dst)
	})
}

// Running returns how many admitted requests have not ended, those at upstreams
// that this instance gave up included.
func (s *Server) Running() int64 { return s.running.Load() }

// Pressed tells whether work waits for a load bound that the next session
// renewal may raise.
func (s *Server) Pressed() (pressed bool) {
	s.gate.with(func(core *admission.Gate) { pressed = core.Pressed() })
	return pressed
}
