package agent

import (
	"cmp"
	"context"
	"io"
	"log/slog"
	"net/http"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/mesh"
	"github.com/wigeonflow/wigeonflow/internal/operator"
	"github.com/wigeonflow/wigeonflow/internal/rollout"
	"github.com/wigeonflow/wigeonflow/internal/router"
	"github.com/wigeonflow/wigeonflow/internal/settings"
	"github.com/wigeonflow/wigeonflow/internal/telemetry"
)

// Router is the router role of a process.
type Router interface {
	// Handler returns the callers' HTTP handler.
	Handler() http.Handler
	// Ready returns nil, or the reason why the balancer should not send requests here.
	Ready() error
	// Start starts the router's background work. The process calls it once it listens for
	// callers.
	Start()
	// Drain makes the router report that it is not ready and waits until the balancer has
	// had time to notice.
	Drain(ctx context.Context)
	// Stop stops the router once all callers' requests have ended or ctx ends.
	Stop(ctx context.Context) error
}

// Parts holds the components of a process that an Extension can use.
type Parts struct {
	// Clock is nil for Extension.Operators.
	Clock  fleet.Clock
	Logger hclog.Logger
	// Requests is the logger for per-request lines.
	Requests *slog.Logger
	Metrics  metrics.Registry
	Tracer   *telemetry.Tracer
	Guard    *fleet.Guard
	Mesh     *mesh.Server
	Pool     *mesh.Pool
}

// Extension replaces parts of a process by those of a platform. Zero fields keep the
// default parts.
type Extension struct {
	// Router creates the router role.
	Router func(p Parts, s settings.Settings) Router
	// Operators creates the operators' HTTP handler.
	Operators func(p Parts, backend operator.Backend) http.Handler
	// Ready is an additional listen address that serves the router's readiness at
	// ReadyPath.
	Ready, ReadyPath string
	// Metrics is an additional listen address that serves /metrics.
	Metrics string
	Control ControlOptions
}

// ControlOptions are a platform's options of a control member; see control.Config.
// AcceptChangedFileIDs accepts a data directory whose files have other inode numbers than
// before.
type ControlOptions struct {
	Join, Initial, Adopt, AcceptChangedFileIDs bool
	// RequiredLosses replaces the largest minority of the members if set.
	RequiredLosses int
	// Rollouts bounds roll-outs; the zero value turns them off.
	Rollouts rollout.Limits
}

func (a *Agent) parts(clock fleet.Clock) Parts {
	return Parts{Clock: clock, Logger: a.log, Requests: a.requests, Metrics: a.metrics, Tracer: a.tracer, Guard: a.guard, Mesh: a.mesh, Pool: a.pool}
}

// newRouter creates the router role, the extension's if it has one.
func (a *Agent) newRouter(clock fleet.Clock) Router {
	if a.extension.Router != nil {
		return a.extension.Router(a.parts(clock), a.settings)
	}
	return router.New(router.Config{
		Settings: a.settings, Clock: clock, Logger: a.log, Metrics: a.metrics, Tracer: a.tracer, Guard: a.guard,
	}, a.mesh, a.pool)
}

// operatorsHandler returns the operators' HTTP handler, the extension's if it has one.
func (a *Agent) operatorsHandler() http.Handler {
	if a.extension.Operators != nil {
		return a.extension.Operators(a.parts(nil), a.control.Backend())
	}
	return defaultOperatorsHandler(a)
}

// listenExtension serves readiness and metrics at the extension's addresses.
func (a *Agent) listenExtension() error {
	if a.extension.Ready != "" {
		m := http.NewServeMux()
		m.HandleFunc(a.extension.ReadyPath, a.serveReady)
		if err := a.serve(a.httpServer(m), a.extension.Ready, settings.TLS{}); err != nil {
			return err
		}
	}
	if a.extension.Metrics == "" {
		return nil
	}
	m := http.NewServeMux()
	m.Handle("/metrics", telemetry.MetricsHandler(a.metrics))
	return a.serve(a.httpServer(m), a.extension.Metrics, settings.TLS{})
}

// serveReady answers 200 if the router is ready, and otherwise 503 with the reason.
func (a *Agent) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := cmp.Or(a.router.Ready(), a.callers.checkRoom()); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	if _, err := io.WriteString(w, "ready\n"); err != nil {
		a.log.Debug("readiness response not written", "error", err)
	}
}

// Logger returns the process's logger.
func (a *Agent) Logger() hclog.Logger { return a.log }

// SetControl replaces the control members' addresses that the router uses, if the router
// supports it.
func (a *Agent) SetControl(addrs []string) {
	if r, ok := a.router.(interface{ SetControl([]string) }); ok {
		r.SetControl(addrs)
	}
}
