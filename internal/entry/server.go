package entry

import (
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"github.com/wigeonflow/wigeonflow/internal/answer"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/lists"
	"github.com/wigeonflow/wigeonflow/internal/mesh"
	"github.com/wigeonflow/wigeonflow/internal/operator"
	"github.com/wigeonflow/wigeonflow/internal/placement"
	"github.com/wigeonflow/wigeonflow/internal/telemetry"
)

// Header fields of answers, in addition to those of package answer.
const (
	// HeaderUpstream names the upstream that served the request.
	HeaderUpstream = "Wigeonflow-Upstream"
	// HeaderReplayed marks the stored answer of an earlier request.
	HeaderReplayed = "Idempotent-Replayed"
)

// Defaults of a Config's fields.
const (
	DefaultMaxBodyBytes = 16 << 20
	DefaultMaxWait      = 10 * time.Second
	DefaultWriteTimeout = 30 * time.Second
	DefaultCallTimeout  = 30 * time.Second
)

// Plans charges requests to their workspace's plan.
type Plans interface {
	// Start charges one request with its estimated tokens to the workspace's plan. A nil
	// Charge means that the plan is exhausted; the duration is the time after which a
	// retry may succeed. An error means that it is not known how much of the plan is used.
	Start(ctx context.Context, workspace fleet.WorkspaceID, tokens int64) (Charge, time.Duration, error)
}

// Charge is the part of a plan that a running request has reserved.
type Charge interface {
	// Settle ends the request and replaces its estimate by the tokens it has used.
	Settle(tokens int64)
}

// Config configures a Server.
type Config struct {
	Clock fleet.Clock
	Zone  fleet.AvailabilityZone
	// Index returns the configuration in force.
	Index func() *operator.Index
	// Table returns the placement in force; nil before the first.
	Table func() *placement.Table
	// Member returns a router of the current membership.
	Member func(fleet.InstanceID) (fleet.Member, bool)
	// Serving returns the reason for which new requests cannot be served, or nil if there
	// is none.
	Serving func() error
	// Ready returns the reason for which the load balancer should send no requests here,
	// or nil if there is none.
	Ready func() error
	// Stopping reports whether callers should close their connections.
	Stopping func() bool
	// Stop returns the planned stop that has begun, or nil.
	Stop  func() *fleet.PlannedStop
	Plans Plans
	Pool  *mesh.Pool
	// MaxBodyBytes bounds a request's body; 0 means DefaultMaxBodyBytes.
	MaxBodyBytes int64
	// MaxWait bounds the time that a request waits for capacity; 0 means DefaultMaxWait.
	MaxWait time.Duration
	// WriteTimeout bounds the time for which a caller may read nothing of its answer; 0
	// means DefaultWriteTimeout.
	WriteTimeout time.Duration
	// CallTimeout bounds a request to a plain service; 0 means DefaultCallTimeout.
	CallTimeout time.Duration
	Logger      hclog.Logger
	Metrics     metrics.Registry
	Tracer      *telemetry.Tracer
}

func (c Config) withDefaults() Config {
	fleet.SetDefault(&c.MaxBodyBytes, DefaultMaxBodyBytes)
	fleet.SetDefault(&c.MaxWait, DefaultMaxWait)
	fleet.SetDefault(&c.WriteTimeout, DefaultWriteTimeout)
	fleet.SetDefault(&c.CallTimeout, DefaultCallTimeout)
	return c
}

// Server serves the callers' HTTP API of a router. It is an http.Handler.
type Server struct {
	cfg     Config
	log     hclog.Logger
	mux     *mux.Router
	running atomic.Int64
	retries *retryBudget
}

// NewServer returns a server of the callers' API.
func NewServer(cfg Config) *Server {
	s := &Server{cfg: cfg.withDefaults(), log: cfg.Logger.Named("entry"), mux: mux.NewRouter(), retries: newRetryBudget()}
	s.mux.HandleFunc("/v1/chat/completions", s.instrument("chat", s.chat)).Methods(http.MethodPost)
	s.mux.HandleFunc("/v1/models", s.instrument("models", s.models)).Methods(http.MethodGet)
	s.mux.PathPrefix("/services/{name}/").HandlerFunc(s.instrument("service", s.service))
	s.mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	s.mux.HandleFunc("/readyz", s.ready)
	s.mux.Handle("/metrics", telemetry.MetricsHandler(cfg.Metrics))
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Running returns the number of callers' requests in flight.
func (s *Server) Running() int64 { return s.running.Load() }

// ready serves /readyz.
func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if err := s.cfg.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

// handler serves one request. It returns the rejection to send, or nil if it has
// answered the caller.
type handler func(w http.ResponseWriter, r *http.Request, id fleet.RequestID, workspace *lists.Workspace) *answer.Rejection

// instrument wraps a handler: it assigns the request ID, authenticates the caller, writes a
// rejection and counts the request by its result.
func (s *Server) instrument(name string, h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.running.Add(1)
		defer s.running.Add(-1)
		id := fleet.RequestID(uuid.NewString())
		w.Header().Set(answer.HeaderRequestID, string(id))
		if s.cfg.Stopping() {
			w.Header().Set("Connection", "close")
		}
		rejection := s.authenticate(w, r, id, h)
		outcome := "answered"
		if rejection != nil {
			outcome = rejection.Code
			rejection.RequestID = id
			if err := rejection.Write(w); err != nil {
				s.log.Debug("cannot write the rejection to the caller", telemetry.LogRequest, string(id), "error", err)
			}
		}
		metrics.GetOrRegisterCounter(telemetry.MetricName("requests", "api", name, "result", outcome), s.cfg.Metrics).Inc(1)
	}
}

const bearer = "Bearer "

// authenticate finds the workspace by the digest of its key and calls the handler.
// The lookup by digest is not open to timing attacks on the key.
func (s *Server) authenticate(w http.ResponseWriter, r *http.Request, id fleet.RequestID, h handler) *answer.Rejection {
	if s.cfg.Stop().NoticeOver(s.cfg.Clock()) {
		return unavailable("this router is stopping", 0)
	}
	if err := s.cfg.Serving(); err != nil {
		// Before the lists are loaded no key is known, so that a 401 would be wrong.
		return unavailable("this router cannot serve yet: "+err.Error(), 0)
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
	if !ok {
		return newRejection(http.StatusUnauthorized, "missing_key", "the request carries no API key")
	}
	workspace := s.cfg.Index().WorkspaceByKey(sha256.Sum256([]byte(key)))
	if workspace == nil {
		return newRejection(http.StatusUnauthorized, "invalid_key", "the API key is not known")
	}
	return h(w, r, id, workspace)
}

// newRejection returns a rejection of a request that was not sent to an upstream.
func newRejection(status int, code, message string) *answer.Rejection {
	return &answer.Rejection{Status: status, Outcome: fleet.OutcomeNotRun, Code: code, Message: message}
}

// unavailable returns a rejection with status 503, to be retried after retryAfter, at
// least a second.
func unavailable(message string, retryAfter time.Duration) *answer.Rejection {
	r := newRejection(http.StatusServiceUnavailable, "no_capacity", message)
	r.RetryAfter = max(retryAfter, time.Second)
	return r
}

// readBody reads a request's body of up to MaxBodyBytes.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *answer.Rejection) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.cfg.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, newRejection(http.StatusRequestEntityTooLarge, "body_too_large", "the body exceeds the limit")
	default:
		return nil, newRejection(http.StatusBadRequest, "body_unreadable", "the body could not be read")
	}
}

// charge charges a request to its workspace's plan.
func (s *Server) charge(r *http.Request, workspace *lists.Workspace, tokens int64) (Charge, *answer.Rejection) {
	charge, retryAfter, err := s.cfg.Plans.Start(r.Context(), workspace.ID, tokens)
	if err != nil {
		s.log.Info("cannot charge the workspace's plan: its use is not known", telemetry.LogWorkspace, string(workspace.ID), "error", err)
		return nil, unavailable("the plan's counts cannot be reached", time.Second)
	}
	if charge == nil {
		rejection := newRejection(http.StatusTooManyRequests, "plan_exceeded", "the workspace's plan has no room for this request now")
		rejection.RetryAfter = max(retryAfter, time.Second)
		return nil, rejection
	}
	return charge, nil
}
