package gateway

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/routes"
	"github.com/wigeonflow/wigeonflow/internal/settings"
	"github.com/wigeonflow/wigeonflow/internal/telemetry"
)

// A request and each of its attempts are spans of the caller's trace, and each upstream
// gets the traceparent of its attempt.
func TestSpans(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "spans")
	tracer, err := telemetry.NewTracer(context.Background(), settings.Settings{
		Instance: "r", Tracing: settings.Tracing{Exporter: settings.ExporterFile, Path: file, SampleRatio: 1},
	})
	is.NoErr(err)
	var mu sync.Mutex
	var traceparents []string
	record := func(answer func(*conn)) func(*conn) {
		return func(c *conn) {
			mu.Lock()
			traceparents = append(traceparents, c.request.Header.Get(telemetry.HeaderTraceparent))
			mu.Unlock()
			answer(c)
		}
	}
	r := newTestGateway(t, routes.Route{Kind: routes.KindIdempotent, MaxAttempts: 2}, record(answerError), record(serveDone))
	r.tracer = tracer
	r.startServer()
	const trace = "4bf92f3577b34da6a3ce929d0e0e4736"
	_, _, err = r.send("Traceparent", "00-"+trace+"-00f067aa0ba902b7-01")
	is.NoErr(err)
	is.Equal(len(traceparents), 2)
	is.True(traceparents[0] != traceparents[1])
	for _, parent := range traceparents {
		is.True(strings.HasPrefix(parent, "00-"+trace+"-"))
	}
	await(func() bool { return r.server.Running() == 0 })
	is.NoErr(tracer.Shutdown(context.Background()))
	text, err := os.ReadFile(file)
	is.NoErr(err)
	is.Equal(strings.Count(string(text), `"Name":"gateway.attempt"`), 2)
	is.Equal(strings.Count(string(text), `"Name":"gateway.request"`), 1)
	for _, parent := range traceparents {
		is.True(strings.Contains(string(text), strings.Split(parent, "-")[2]))
	}
}
