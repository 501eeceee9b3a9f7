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
