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

// Headers of answers beside those of package answer.
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
	// Start takes one request and its estimated tokens. A nil Charge means that
	// the plan has no room for now.
	Start(ctx context.Context, workspace fleet.WorkspaceID, tokens int64) (Charge, time.Duration, error)
}

// Charge is what a running request holds of its plan.
type Charge interface {
	// Settle ends the request with the tokens that it used.
	Settle(tokens int64)
}

// Config holds what an entry router is set up with.
type Config struct {
	Clock fleet.Clock
	Zone  fleet.AvailabilityZone
	// Index returns the configuration in force.
	Index func() *operator.Index
	// Table returns the placement in force; nil before the first.
	Table func() *placement.Table
	// Member returns a router of the current membership.
	Member func(fleet.InstanceID) (fleet.Member, bool)
	// Serving returns why new requests cannot be served, nil when they can.
	Serving func() error
	// Ready returns why the balancer should send nothing here, nil when it may.
	Ready func() error
	// Stopping tells whether callers should close their connections.
	Stopping func() bool
	Plans    Plans
	Pool     *mesh.Pool
	// MaxBodyBytes bounds a request's body; 0 means DefaultMaxBodyBytes.
	MaxBodyBytes int64
	// MaxWait is how long a request may wait for capacity; 0 means DefaultMaxWait.
	MaxWait time.Duration
	// WriteTimeout is how long a caller may leave an answer unread; 0 means
	// DefaultWriteTimeout.
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

// Server is the callers' side of a router. It is an http.Handler.
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
	s.mux.HandleFunc("/v1/chat/completions", s.count("chat", s.chat)).Methods(http.MethodPost)
	s.mux.HandleFunc("/v1/models", s.count("models", s.models)).Methods(http.MethodGet)
	s.mux.PathPrefix("/services/{name}/").HandlerFunc(s.count("service", s.service))
	s.mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	s.mux.HandleFunc("/readyz", s.ready)
	s.mux.Handle("/metrics", telemetry.MetricsHandler(cfg.Metrics))
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Running returns how many callers' requests have not ended.
func (s *Server) Running() int64 { return s.running.Load() }

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if err := s.cfg.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

// handler serves one request and returns the refusal to send, nil where it has
// answered the caller itself.
type handler func(w http.ResponseWriter, r *http.Request, id fleet.RequestID, workspace *lists.Workspace) *answer.Refusal

// count names the request and its workspace, and counts what became of it.
func (s *Server) count(name string, h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.running.Add(1)
		defer s.running.Add(-1)
		id := fleet.RequestID(uuid.NewString())
		w.Header().Set(answer.HeaderRequestID, string(id))
		if s.cfg.Stopping() {
			w.Header().Set("Connection", "close")
		}
		refusal := s.authenticated(w, r, id, h)
		outcome := "answered"
		if refusal != nil {
			outcome = refusal.Code
			refusal.RequestID = id
			if err := refusal.Write(w); err != nil {
				s.log.Debug("refusal not written", telemetry.LogRequest, string(id), "error", err)
			}
		}
		metrics.GetOrRegisterCounter(telemetry.MetricName("requests", "api", name, "result", outcome), s.cfg.Metrics).Inc(1)
	}
}

const bearer = "Bearer "

// authenticated finds the workspace by the digest of its key: an index of
// digests tells nothing of a key by the time that a lookup takes.
func (s *Server) authenticated(w http.ResponseWriter, r *http.Request, id fleet.RequestID, h handler) *answer.Refusal {
	if err := s.cfg.Serving(); err != nil {
		// Without the lists no key is known here: that is no fault of the caller's.
		return unavailable("this router cannot serve yet: "+err.Error(), 0)
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
	if !ok {
		return refuse(http.StatusUnauthorized, "missing_key", "the request carries no API key")
	}
	workspace := s.cfg.Index().WorkspaceByKey(sha256.Sum256([]byte(key)))
	if workspace == nil {
		return refuse(http.StatusUnauthorized, "invalid_key", "the API key is not known")
	}
	return h(w, r, id, workspace)
}

// refuse returns a refusal of a request that has not left the router.
func refuse(status int, code, message string) *answer.Refusal {
	return &answer.Refusal{Status: status, Outcome: fleet.OutcomeNotRun, Code: code, Message: message}
}

// unavailable is a refusal for want of capacity.
func unavailable(message string, retryAfter time.Duration) *answer.Refusal {
	r := refuse(http.StatusServiceUnavailable, "no_capacity", message)
	r.RetryAfter = max(retryAfter, time.Second)
	return r
}

// body reads a request's body within the limit.
func (s *Server) body(w http.ResponseWriter, r *http.Request) ([]byte, *answer.Refusal) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.cfg.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, refuse(http.StatusRequestEntityTooLarge, "body_too_large", "the body exceeds the limit")
	default:
		return nil, refuse(http.StatusBadRequest, "body_unreadable", "the body could not be read")
	}
}

// charge takes a request out of its workspace's plan.
func (s *Server) charge(r *http.Request, workspace *lists.Workspace, tokens int64) (Charge, *answer.Refusal) {
	charge, retryAfter, err := s.cfg.Plans.Start(r.Context(), workspace.ID, tokens)
	if err != nil {
		s.log.Info("plan home not reached", telemetry.LogWorkspace, string(workspace.ID), "error", err)
		return nil, unavailable("the plan's counts cannot be reached", time.Second)
	}
	if charge == nil {
		refusal := refuse(http.StatusTooManyRequests, "plan_exceeded", "the workspace's plan has no room for this request now")
		refusal.RetryAfter = max(retryAfter, time.Second)
		return nil, refusal
	}
	return charge, nil
}
