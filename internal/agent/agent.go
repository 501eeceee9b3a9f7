// Package agent runs one process of the fleet. It starts the mesh, the control and
// router roles and the HTTP servers, and shuts them down gracefully. It keeps no
// state of its own.
package agent

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"github.com/wigeonflow/wigeonflow/internal/control"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/ledger"
	"github.com/wigeonflow/wigeonflow/internal/mesh"
	"github.com/wigeonflow/wigeonflow/internal/routes"
	"github.com/wigeonflow/wigeonflow/internal/session"
	"github.com/wigeonflow/wigeonflow/internal/settings"
	"github.com/wigeonflow/wigeonflow/internal/telemetry"
)

// headerTimeout bounds the time to read a request's header.
const headerTimeout = 10 * time.Second

// idleTimeout is how long a connection of operators, of a balancer or for metrics may be idle.
// Balancers and scrapers ask more often than that.
const idleTimeout = 2 * time.Minute

// Agent is one running process of the fleet.
type Agent struct {
	settings  settings.Settings
	extension Extension
	log       hclog.Logger
	requests  *slog.Logger
	metrics   metrics.Registry
	tracer    *telemetry.Tracer
	guard     *fleet.Guard

	mesh      *mesh.Server
	pool      *mesh.Pool
	control   *control.Server
	router    Router
	callers   *callerServer
	operators *callerServer
	failed    chan error
}

// Start starts a process with the roles in the settings. Logs go to w.
func Start(ctx context.Context, s settings.Settings, w io.Writer) (*Agent, error) {
	return StartWith(ctx, s, w, Extension{})
}

// StartWith is like Start but replaces parts of the process by those of e.
func StartWith(ctx context.Context, s settings.Settings, w io.Writer, e Extension) (*Agent, error) {
	a := &Agent{settings: s, extension: e, log: telemetry.NewLogger(s, w), metrics: metrics.NewRegistry(), failed: make(chan error, 4)}
	a.requests = telemetry.NewRequestLogger(s, "gateway", w)
	a.guard = a.newGuard()
	secret, err := readSecret(s.FleetSecretFile)
	if err != nil {
		return nil, err
	}
	if a.tracer, err = telemetry.NewTracer(ctx, s); err != nil {
		return nil, err
	}
	cfg := mesh.Config{
		Instance: s.Instance, Secret: secret, MaxFrameBytes: max(s.Limits.MaxFrameBytes, minMeshFrame(s)),
		MaxStreams: s.Limits.MaxStreams, Guard: a.guard, Logger: a.log.Named("mesh"),
	}
	if files := s.Listen.MeshTLS; files.CertificateFile != "" {
		cfg.TLS = &mesh.TLSFiles{Certificate: files.CertificateFile, Key: files.KeyFile, Authority: files.AuthorityFile}
		if err := cfg.TLS.Check(); err != nil {
			return nil, err
		}
	}
	a.mesh, a.pool = mesh.NewServer(cfg), mesh.NewPool(cfg)
	clock := fleet.MonotonicClock()
	if s.Has(settings.RoleControl) {
		if err := a.startControl(clock); err != nil {
			return nil, err
		}
	}
	if s.Has(settings.RoleRouter) {
		a.router = a.newRouter(clock)
	}
	return a, a.listen()
}

// frameHeadroom is an upper bound of the bytes that a request's other fields add to its
// body in a frame.
const frameHeadroom = 256 << 10

// minMeshFrame returns the smallest frame limit, in bytes, that fits the largest request.
func minMeshFrame(s settings.Settings) int { return int(s.Limits.MaxBodyBytes) + frameHeadroom }

// readSecret reads the fleet's secret. Without a path there is no secret, and peers are not
// authenticated by one.
func readSecret(path string) ([]byte, error) {
	if path == "" {
		return nil, nil
	}
	secret, err := os.ReadFile(path)
	return bytes.TrimSpace(secret), fleet.At(err, "agent.secret", path)
}

// startControl starts the control role.
func (a *Agent) startControl(clock fleet.Clock) error {
	s := a.settings
	var err error
	a.control, err = control.Start(control.Config{
		Addr: s.Listen.Mesh, Members: s.Control.Members, Dir: s.DataDir, ElectionTimeout: s.Control.ElectionTimeout, CopyRate: s.Control.CopyRate,
		Session: session.Settings{Lease: s.Session.Lease, RenewInterval: s.Session.RenewInterval},
		Ledger: ledger.Limits{
			MaxAge: s.Ledger.MaxAge, MaxRecords: s.Ledger.MaxRecords, MaxAnswer: int(s.Ledger.MaxAnswerBytes),
		},
		OperatorAddr: advertisedAddr(s.Listen.Operators, s.Listen.Mesh),
		Join:         a.extension.Control.Join, Initial: a.extension.Control.Initial, Adopt: a.extension.Control.Adopt,
		RequiredLosses:       cmp.Or(a.extension.Control.RequiredLosses, (len(s.Control.Members)-1)/2),
		AcceptChangedFileIDs: a.extension.Control.AcceptChangedFileIDs, Rollouts: a.extension.Control.Rollouts,
		Clock: clock, Guard: a.guard, Logger: a.log, Metrics: a.metrics,
	}, a.mesh, a.pool)
	return err
}

// advertisedAddr returns the address at which other processes reach a listener. It takes
// the host of the mesh address if the listener accepts on all addresses.
func advertisedAddr(listen, mesh string) string {
	host, port, err := net.SplitHostPort(listen)
	if err != nil {
		return listen
	}
	if ip := net.ParseIP(host); ip == nil || ip.IsUnspecified() {
		host, _, _ = net.SplitHostPort(mesh)
	}
	return net.JoinHostPort(host, port)
}

// listen opens the listeners, serves on them and starts the router. It returns an error if
// an address is in use.
func (a *Agent) listen() error {
	s := a.settings
	bind := cmp.Or(s.Listen.MeshBind, s.Listen.Mesh)
	meshListener, err := net.Listen("tcp", bind)
	if err != nil {
		return fleet.At(err, "agent.listen", bind)
	}
	go a.guard.Run("mesh accept", func() { a.reportFailure(a.mesh.Serve(meshListener)) })
	if a.control != nil {
		a.operators = newCallerServer(a.httpServer(a.recordPanics("operators' call", a.operatorsHandler())))
		a.operators.limits = func() routes.CallerLimits {
			return routes.CallerLimits{HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
		}
		if err := a.serve(a.operators, s.Listen.Operators, s.Listen.OperatorsTLS); err != nil {
			return err
		}
		go func() {
			<-a.control.Done()
			a.reportFailure(a.control.Err())
		}()
	}
	if a.router != nil {
		a.callers = a.newCallers()
		if err := a.serve(a.callers, s.Listen.Callers, s.Listen.CallersTLS); err != nil {
			return err
		}
		a.router.Start()
	}
	if err := a.listenExtension(); err != nil {
		return err
	}
	if s.Listen.Debug != "" {
		if err := a.serve(&http.Server{Handler: pprofHandler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}, s.Listen.Debug, settings.TLS{}); err != nil {
			return err
		}
	}
	a.log.Info("started", "roles", s.Roles, "mesh", s.Listen.Mesh)
	return nil
}

// httpServer returns a server for h with the limits in the settings.
func (a *Agent) httpServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: a.settings.Limits.MaxHeaderBytes,
		ErrorLog: a.log.Named("http").StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
}

// newCallers returns the callers' server with the limits in force.
func (a *Agent) newCallers() *callerServer {
	server := a.httpServer(a.limitHead(a.router.Handler()))
	server.ReadHeaderTimeout, server.IdleTimeout = 0, 0 // callerServer's may change
	if a.settings.Listen.CallersTLS.CertificateFile != "" {
		server.IdleTimeout = a.settings.Limits.IdleTimeout // of HTTP/2 connections too
	}
	callers := newCallerServer(server)
	callers.limits, callers.bound = a.callerLimits, a.settings.Limits.MaxConnections
	callers.register(a.metrics)
	return callers
}

// limitHead passes on the requests whose head fits the limit in force, which may be lower than the
// server's own. It answers 431 to others.
func (a *Agent) limitHead(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		limit := a.callerLimits().MaxHeaderBytes
		if n := headBytes(r); limit > 0 && n > limit {
			a.log.Debug("request rejected: its head is too long", "bytes", n, "limit", limit)
			w.Header().Set("Connection", "close")
			http.Error(w, fmt.Sprintf("the request's head has %d bytes, more than %d", n, limit), http.StatusRequestHeaderFieldsTooLarge)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// headBytes returns the length of a request's line and header fields as HTTP/1 writes them.
func headBytes(r *http.Request) int {
	const separators = len(": \r\n")
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + separators + len("Host") + len(r.Host) + separators
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + separators
		}
	}
	return n
}

// callerLimits returns the limits of the configuration in force if the router has such, and
// otherwise those in the settings.
func (a *Agent) callerLimits() routes.CallerLimits {
	if r, ok := a.router.(interface{ CallerLimits() routes.CallerLimits }); ok {
		limits := r.CallerLimits()
		if limits.HeaderTimeout <= 0 {
			limits.HeaderTimeout = headerTimeout
		}
		return limits
	}
	l := a.settings.Limits
	return routes.CallerLimits{MaxHeaderBytes: l.MaxHeaderBytes, MaxBodyBytes: l.MaxBodyBytes, HeaderTimeout: headerTimeout, IdleTimeout: l.IdleTimeout}
}

// httpListenerServer serves HTTP on a listener, like *http.Server.
type httpListenerServer interface {
	Serve(net.Listener) error
	ServeTLS(l net.Listener, certificateFile, keyFile string) error
}

// serve listens on addr and serves in the background, over HTTPS if files are given.
func (a *Agent) serve(server httpListenerServer, addr string, files settings.TLS) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fleet.At(err, "agent.listen", addr)
	}
	go a.serveOn(server, l, files)
	return nil
}

// serveOn serves on l, over HTTPS if files are given, until the server is closed.
func (a *Agent) serveOn(server httpListenerServer, l net.Listener, files settings.TLS) {
	l = retryListener{l, a.log.Named("http")}
	if files.CertificateFile != "" {
		a.reportFailure(server.ServeTLS(l, files.CertificateFile, files.KeyFile))
		return
	}
	a.reportFailure(server.Serve(l))
}

// reportFailure sends err to Failed unless err is nil or results from a planned stop of an HTTP server.
func (a *Agent) reportFailure(err error) {
	if err == nil || errors.Is(err, http.ErrServerClosed) {
		return
	}
	select {
	case a.failed <- err:
	default:
	}
}

// Failed returns the channel that receives failures after which the process must end.
func (a *Agent) Failed() <-chan error { return a.failed }

// StopAfterFailure stops a process after a failure. If it serves callers, it is stopped like
// by Stop, so that their requests are answered; otherwise the process may end at once.
func (a *Agent) StopAfterFailure(ctx context.Context, cause error) {
	a.log.Error("process failed", "error", cause)
	if a.router == nil {
		return
	}
	if err := a.Stop(ctx); err != nil {
		a.log.Warn("process not stopped gracefully after its failure", "error", err)
	}
}

// Stop stops the process gracefully: it drains the router and waits for in-flight requests.
// If ctx ends first, it cuts the remaining requests and returns an error.
func (a *Agent) Stop(ctx context.Context) error {
	var errs []error
	if a.router != nil {
		a.callers.beginStop()
		a.router.Drain(ctx)
		errs = append(errs, a.callers.drain(ctx))
		a.callers.logStop(a.log)
		errs = append(errs, a.callers.Shutdown(ctx), a.router.Stop(ctx))
	}
	if a.control != nil {
		errs = append(errs, a.control.Close(ctx), a.operators.drain(ctx), a.operators.Shutdown(ctx))
	}
	errs = append(errs, a.mesh.Shutdown(ctx))
	a.pool.Close()
	errs = append(errs, a.tracer.Shutdown(ctx))
	err := errors.Join(errs...)
	a.log.Info("stopped", "error", err)
	return err
}
