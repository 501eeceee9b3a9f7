package agent

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/settings"
	"github.com/wigeonflow/wigeonflow/internal/telemetry"
)

func TestConfinedPanicLeavesNoTrace(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	a := &Agent{log: telemetry.NewLogger(settings.Settings{Log: settings.Log{JSON: true}}, &out), metrics: metrics.NewRegistry(), failed: make(chan error, 1)}
	g := a.newGuard()
	is.True(g.Confine("mesh stream x", func() error { panic("test") }) != nil)
	is.True(strings.Contains(out.String(), `"@message":"background work panicked"`))
	is.True(strings.Contains(out.String(), `"panic":"test"`))
	is.True(strings.Contains(out.String(), "TestConfinedPanicLeavesNoTrace")) // in the stack
	w := httptest.NewRecorder()
	telemetry.MetricsHandler(a.metrics).ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	is.True(strings.Contains(w.Body.String(), `wigeonflow_background_panics_total{work="mesh stream x"} 1`))
	is.Equal(len(a.failed), 0)
}

func TestPanicInNeededWorkDoesNotFailProcess(t *testing.T) {
	is := is.New(t)
	a := &Agent{log: telemetry.NewLogger(settings.Settings{}, new(bytes.Buffer)), metrics: metrics.NewRegistry(), failed: make(chan error, 1)}
	a.newGuard().Run("session", func() { panic("test") })
	is.True(errorx.IsOfType(<-a.Failed(), fleet.ErrPanic))
}

func TestPanicOfOperatorsCallLeavesNoTrace(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	a := &Agent{log: telemetry.NewLogger(settings.Settings{}, &out), metrics: metrics.NewRegistry()}
	a.guard = a.newGuard()
	server := httptest.NewServer(a.recordPanics("operators' call", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("test") })))
	resp, err := server.Client().Get(server.URL)
	if err == nil {
		_ = resp.Body.Close()
	}
	is.True(err != nil) // the connection is closed
	server.Close()
	is.True(strings.Contains(out.String(), "background work panicked"))
}
