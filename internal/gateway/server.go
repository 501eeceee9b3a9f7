package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/wigeonflow/wigeonflow/internal/balance"
	"github.com/wigeonflow/wigeonflow/internal/exchange"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/routes"
	"github.com/wigeonflow/wigeonflow/internal/telemetry"
)

// ServerConfig configures a Server.
type ServerConfig struct {
	Clock    fleet.Clock
	Protocol Protocol
	// Table returns the routing table in force; nil before the first.
	Table func() *routes.Index
	// SessionState returns the current session state.
	SessionState func() balance.SessionState
	// KeysUntil returns the time until which keys may be accepted.
	KeysUntil func() time.Duration
	// ConfirmedAt returns the time up to which Table holds every acknowledged change, as
	// far as this router knows.
	ConfirmedAt func() time.Duration
	// MaxConfigAge bounds the age of ConfirmedAt.
	MaxConfigAge ConfigAgeLimits
	// Started is closed once the control group has confirmed the table, and an upstream list is
	// known, for the first time; nil means from the start.
	Started <-chan struct{}
	// InContact reports whether a control member has answered lately, as a leader or not.
	InContact func() bool
	// IsSuperseded reports whether a newer configuration than the one in force is known to
	// be committed.
	IsSuperseded func() bool
	// ListAge returns the age of the upstream list.
	ListAge func() time.Duration
	// Stopping reports whether callers should close their connections.
	Stopping func() bool
	// Stop returns the planned stop of this router, or nil while none is under way.
	Stop     func() *fleet.PlannedStop
	Balancer *balance.Balancer
	// Rollouts is nil while roll-outs are turned off.
	Rollouts *Rollouts
	Pool     *exchange.Pool
	Log      *slog.Logger
	Metrics  metrics.Registry
	// Memory is the memory in bytes that the process may use; 0 if that is not known.
	Memory int64
	// Tracer starts a span for each request and one for each attempt at an upstream.
	Tracer *telemetry.Tracer
}

// ConfigAgeLimits bound the age of the newest confirmation of the routing table, by what
// rests on it; 0 means no limit.
type ConfigAgeLimits struct {
	// Rejection applies to rejections that callers don't retry: no route, an unknown key, a
	// body over the limit. It is the time within which an acknowledged table must be in
	// force, so that no such table is unknown to a router that rejects.
	Rejection time.Duration
	// Service applies to all other requests, at routers that are in contact with control
	// members. A router that is cut off serves on: it isn't required to have newer tables.
	// Where a newer table is known, Rejection applies to all requests.
	Service time.Duration
}

// Server forwards callers' HTTP requests to upstreams. It is an http.Handler.
type Server struct {
	cfg      ServerConfig
	running  atomic.Int64
	inFlight sync.Map // *answerWriter by *http.Request, of each running request
	held     *byteAccount
	bodies   *bodyAccount
	draw     atomic.Uint64
	counts   sync.Map // of *requestCount by requestLabels
	startup  startupGate
	overload overload
	dispatch *dispatcher
	// drainTime is the constant, longer in tests.
	drainTime time.Duration

	stopOnce       sync.Once   // see beginStop
	endsUnanswered atomic.Bool // see the method endUnanswered
}

// requestLabels are the labels of the request metrics.
type requestLabels struct{ kind, outcome string }

// requestCount holds the metrics of requests with the same labels.
type requestCount struct {
	counter metrics.Counter
	timer   metrics.Timer
}

// NewServer returns a server with the given configuration.
func NewServer(cfg ServerConfig) *Server {
	s := &Server{cfg: cfg, held: newByteAccount(cfg.Memory, cfg.Metrics), bodies: newBodyAccount(cfg.Memory, cfg.Metrics), drainTime: drainTime}
	s.dispatch = newDispatcher(&s.cfg)
	s.startup.wait = startupWait{start: cfg.Clock()}
	s.overload.read = readWaits
	s.startup.started = cfg.Started
	if cfg.Started == nil {
		started := make(chan struct{})
		close(started)
		s.startup.started = started
	}
	return s
}

// Running returns the number of callers' requests in flight.
func (s *Server) Running() int64 { return s.running.Load() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.running.Add(1)
	defer s.running.Add(-1)
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	answer := &answerWriter{ResponseWriter: w, stopping: s.cfg.Stopping, started: s.cfg.Clock(), cancel: cancel}
	f := &forwarder{server: s, w: answer, r: r, ctx: ctx, start: answer.started}
	s.inFlight.Store(r, answer)
	defer s.inFlight.Delete(r)
	if s.beginStop(); s.endsUnanswered.Load() { // after the request is in inFlight
		answer.end()
	}
	defer func() { f.bodyHeld.release() }()
	span, trace := s.cfg.Tracer.Start("gateway.request", r.Header.Get(telemetry.HeaderTraceparent))
	f.trace = trace
	defer func() { // runs also if abort panics
		span.Set("request.id", string(f.call.ID))
		sends, _ := f.history.counts()
		span.SetInt("sends", sends)
		span.End(f.failure)
	}()
	defer func() {
		if value := recover(); value == http.ErrAbortHandler {
			panic(value)
		} else if value != nil {
			f.answerPanic(value, answer)
		}
	}()
	f.forward()
	if !answer.begun.Load() {
		panic(http.ErrAbortHandler) // otherwise net/http answers 200 with an empty body
	}
}

// admit reads the request and finds its route, pool and workspace. It returns a
// rejection, or nil if the request may be forwarded.
func (f *forwarder) admit() *rejection {
	s := f.server
	var err error
	if f.call, err = s.cfg.Protocol.Call(f.r.Header); err != nil {
		return &rejection{status: http.StatusBadRequest, reason: err.Error()}
	}
	if rejected := f.rejectOverload(); rejected != nil {
		return rejected
	}
	if err := f.awaitStartup(); err != nil {
		return f.bodyMissing(err)
	}
	f.confirmedAt = s.cfg.ConfirmedAt() // before the table: a newer one holds what is confirmed as well
	table := s.cfg.Table()
	if table == nil {
		return s.controlUnavailable("no routing table is in force yet")
	}
	f.table = table
	if !s.isConfirmed(f.configAge()) {
		return s.controlUnavailable("the control group hasn't confirmed the configuration lately")
	}
	path, _, _ := strings.Cut(f.r.RequestURI, "?")
	if f.route = table.Route(f.r.Host, path); f.route == nil {
		return f.rejectByTable(http.StatusNotFound, "no route")
	}
	if rejected := f.authenticate(); rejected != nil {
		return rejected
	}
	if rejected := f.readBody(); rejected != nil {
		return rejected
	}
	f.fingerprint = fingerprint(f.r, f.workspaceID(), f.body)
	f.pool = table.Pool(f.route.Pick(f.newDraw()))
	f.priority = f.route.Priority
	if f.workspace != nil && f.workspace.Priority != nil {
		f.priority = *f.workspace.Priority
	}
	limit := f.route.Timeout
	if f.call.Timeout > 0 {
		limit = min(limit, f.call.Timeout)
	}
	f.deadline = f.start + limit
	if stop := s.cfg.Stop(); stop != nil && !stop.Admits(s.cfg.Clock(), f.deadline, f.route.Kind == routes.KindOnce) {
		return &rejection{status: http.StatusServiceUnavailable, reason: "this router stops before the request's time limit", base: stopBase, spread: stopSpread}
	}
	return nil
}

// authenticate finds the workspace of the caller's key. A key is accepted only while
// the control group has recently confirmed the configuration, since it may have been
// revoked in a newer one.
func (f *forwarder) authenticate() *rejection {
	if f.route.Public || !f.table.RequiresKeys() {
		return nil
	}
	if f.server.cfg.Clock() >= f.server.cfg.KeysUntil() {
		return f.server.controlUnavailable("the control group hasn't confirmed the keys lately")
	}
	if f.workspace = f.table.Workspace(f.call.Key); f.workspace == nil {
		return f.rejectByTable(http.StatusUnauthorized, "unknown key")
	}
	return nil
}

// isConfirmed reports whether a router whose newest confirmation has the given age may serve
// by its routing table.
func (s *Server) isConfirmed(age time.Duration) bool {
	limits := s.cfg.MaxConfigAge
	if exceeds(age, limits.Rejection) && s.cfg.IsSuperseded() {
		return false
	}
	return !exceeds(age, limits.Service) || !s.cfg.InContact()
}

// exceeds reports whether an age has reached its limit; 0 means no limit.
func exceeds(age, limit time.Duration) bool { return limit > 0 && age >= limit }

// rejectByTable returns a rejection that the routing table demands and that callers don't
// retry. If a newer table may be in force elsewhere, callers are told to retry instead.
func (f *forwarder) rejectByTable(status int, reason string) *rejection {
	if exceeds(f.configAge(), f.server.cfg.MaxConfigAge.Rejection) {
		return f.server.controlUnavailable(reason + " in a routing table that the control group hasn't confirmed lately")
	}
	return &rejection{status: status, reason: reason}
}

// configAge returns the time since the configuration that the request was admitted by was
// last confirmed to be the newest.
func (f *forwarder) configAge() time.Duration { return f.server.cfg.Clock() - f.confirmedAt }

// newDraw sets f.draw to a new random number, and returns it as a fraction in [0, 1).
func (f *forwarder) newDraw() float64 {
	f.draw = f.server.nextDraw()
	return fleet.Fraction(f.draw)
}

// nextDraw returns the next value of a splitmix64 generator (Vigna).
func (s *Server) nextDraw() uint64 {
	z := s.draw.Add(0x9e3779b97f4a7c15)
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// countRequest updates the request metrics of a route kind and an outcome.
func (s *Server) countRequest(kind, outcome string, took time.Duration) {
	labels := requestLabels{kind, outcome}
	found, ok := s.counts.Load(labels)
	if !ok {
		pairs := []string{"kind", kind, "outcome", outcome}
		found, _ = s.counts.LoadOrStore(labels, &requestCount{
			counter: metrics.GetOrRegisterCounter(telemetry.MetricName("gateway_requests", pairs...), s.cfg.Metrics),
			timer:   metrics.GetOrRegisterTimer(telemetry.MetricName("gateway_request", pairs...), s.cfg.Metrics),
		})
	}
	count := found.(*requestCount)
	count.counter.Inc(1)
	count.timer.Update(took)
}
