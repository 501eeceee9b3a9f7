package gateway

import (
	"io"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/wigeonflow/wigeonflow/internal/balance"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/routes"
	"github.com/wigeonflow/wigeonflow/internal/settings"
	"github.com/wigeonflow/wigeonflow/internal/telemetry"
)

// BenchmarkRecordOutcome measures counting a request and logging its outcome.
func BenchmarkRecordOutcome(b *testing.B) {
	for _, level := range []string{"info", "error"} {
		b.Run(level, func(b *testing.B) {
			s := settings.Settings{Instance: "front-medeu-1", Zone: "medeu"}.WithDefaults()
			s.Log.JSON, s.Log.Level = true, level
			out := telemetry.NewBoundedWriter(io.Discard)
			defer out.Close()
			server := NewServer(ServerConfig{
				Clock: fleet.MonotonicClock(), Log: telemetry.NewRequestLogger(s, "gateway", out), Metrics: metrics.NewRegistry(),
				KeysUntil: func() time.Duration { return 0 }, ConfirmedAt: func() time.Duration { return 0 }, ListAge: func() time.Duration { return 0 },
			})
			f := &forwarder{
				server: server, w: &answerWriter{ResponseWriter: httptest.NewRecorder()}, r: httptest.NewRequest("GET", "/", nil), route: &routes.Route{Name: "r-vz3pfi6"}, workspace: &routes.Workspace{ID: "hule930"},
				table: routes.NewIndex(&routes.Table{Version: 7}), call: Call{ID: "9c41d07be2a35f68"}, history: history{sends: 1, ran: []fleet.UpstreamID{"i-7f3a91c2"}},
				pick: &balance.Pick{Upstream: fleet.Upstream{ID: "i-7f3a91c2"}, Load: 3, Mean: 2.5},
			}
			b.ReportAllocs()
			for b.Loop() {
				f.recordOutcome(200, "")
			}
		})
	}
}
