package agent

import (
	"encoding/hex"
	"io"
	"net/http"

	"github.com/gorilla/mux"
	"github.com/wigeonflow/wigeonflow/internal/operator"
	"github.com/wigeonflow/wigeonflow/internal/telemetry"
)

// defaultOperatorsHandler serves the operators' API, a health check and the metrics.
func defaultOperatorsHandler(a *Agent) http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	m.Handle("/metrics", telemetry.MetricsHandler(a.metrics))
	m.PathPrefix("/v1/").Handler(operator.NewHandler(operator.HandlerSettings{
		Backend: a.control.Backend(), Tokens: operatorKeyDigests(a), Log: a.log.Named("operators"), Metrics: a.metrics,
	}))
	return m
}

// recordPanics records the panics of a handler, which the HTTP server logs only at the debug level.
// The connection is closed without an answer: whether the call has changed anything is unknown.
func (a *Agent) recordPanics(work string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		err := a.guard.Confine(work, func() error {
			next.ServeHTTP(w, r)
			return nil
		})
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	})
}

// operatorKeyDigests returns the digests of all operators' keys. Package settings has checked
// that they are SHA-256 digests in hex.
func operatorKeyDigests(a *Agent) []operator.KeyDigest {
	var digests []operator.KeyDigest
	for _, o := range a.settings.Operators {
		for _, text := range o.KeyDigests {
			var digest operator.KeyDigest
			if n, err := hex.Decode(digest[:], []byte(text)); err == nil && n == len(digest) {
				digests = append(digests, digest)
			}
		}
	}
	return digests
}
