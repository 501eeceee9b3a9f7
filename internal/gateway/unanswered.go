package gateway

import (
	"context"
	"fmt"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/wigeonflow/wigeonflow/internal/telemetry"
)

// Values of the label cause of the metric gateway_unanswered.
const (
	causePanic       = "panic"
	causeGracePeriod = "grace_period"
	causeCallerGone  = "caller_disconnected"
)

// countUnanswered counts a request whose connection ends without a complete answer.
func (s *Server) countUnanswered(cause string) {
	metrics.GetOrRegisterCounter(telemetry.MetricName("gateway_unanswered", "cause", cause), s.cfg.Metrics).Inc(1)
}

// logUnanswered logs a request whose connection is closed without a complete answer though its
// caller waits. The message has a limit of its own on its lines: while a router rejects
// many requests, most lines of the other failures are dropped.
func (f *forwarder) logUnanswered(cause string) {
	if cause == causeCallerGone {
		return
	}
	sends, runs := f.history.counts()
	fields := []any{"cause", cause, "last_error", f.lastErr, "no_attempt", f.noAttempt, "sends", sends, "runs", runs}
	if moved := f.history.movedFrom(); len(moved) > 0 {
		fields = append(fields, "moved_from", moved)
	}
	f.logDecision("connection closed without a complete answer", append(fields, f.progress(0)...)...)
}

// answerWriter is a ResponseWriter that knows whether the answer has begun. An answer that
// begins while the router is stopping tells the caller to close the connection.
type answerWriter struct {
	http.ResponseWriter
	stopping func() bool
	started  time.Duration // when the request started
	begun    atomic.Bool
	cancel   context.CancelCauseFunc // of forwarder.ctx

	mu      sync.Mutex
	claimed bool // the planned stop can't end the request any more
	ended   bool // by the planned stop
	reading bool // the body
}

// WriteHeader implements http.ResponseWriter.
func (w *answerWriter) WriteHeader(status int) {
	if status >= http.StatusOK && !w.begun.Swap(true) {
		_ = w.claim() // also an ended request gets its answer
		if w.stopping() {
			w.Header().Set("Connection", "close")
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *answerWriter) Write(b []byte) (int, error) {
	if !w.begun.Load() {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(b)
}

// Unwrap lets http.ResponseController find the writer's other methods.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// answerPanic ends a request whose handler has panicked with the given value: with 502 if its
// answer hasn't begun, since the request may have run, and otherwise by closing the connection.
func (f *forwarder) answerPanic(value any, w *answerWriter) {
	f.logPanic(value, debug.Stack())
	if w.begun.Load() {
		f.server.countUnanswered(causePanic)
		panic(http.ErrAbortHandler)
	}
	f.reject(&rejection{status: http.StatusBadGateway, reason: "internal error"})
}

// logPanic logs a panic on the request, with the stack of the goroutine that panicked.
func (f *forwarder) logPanic(value any, stack []byte) {
	f.logError("request handler panicked", "panic", fmt.Sprint(value), "stack", string(stack))
}

// logCut logs and counts the requests that are still running. It is called when their
// connections are about to be closed, at the end of the grace period.
func (s *Server) logCut() {
	now := s.cfg.Clock()
	s.inFlight.Range(func(key, value any) bool {
		answer := value.(*answerWriter)
		call, _ := s.cfg.Protocol.Call(key.(*http.Request).Header) // a malformed header has no ID to log
		s.cfg.Log.Warn("request cut: the grace period has ended", "request", string(call.ID), "age", (now - answer.started).Round(time.Millisecond).String(),
			"begun", answer.begun.Load())
		s.countUnanswered(causeGracePeriod)
		return true
	})
}
