package telemetry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	coltrace "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonflow/wigeonflow/internal/settings"
)

func TestMetricsExposition(t *testing.T) {
	is := is.New(t)
	r := metrics.NewRegistry()
	metrics.GetOrRegisterCounter(MetricName("entry.refused", "outcome", "unknown"), r).Inc(2)
	metrics.GetOrRegisterCounter(MetricName("entry.refused", "outcome", "not-run"), r).Inc(3)
	metrics.GetOrRegisterGauge("admission.in-flight", r).Update(7)
	metrics.GetOrRegisterGaugeFloat64("admission.mean", r).Update(0.5)
	metrics.GetOrRegisterTimer("entry.first_token", r).Update(250 * time.Millisecond)
	metrics.GetOrRegisterHistogram("mesh.frame", r, metrics.NewUniformSample(8)).Update(64)
	meter := metrics.GetOrRegisterMeter("answer.tokens", r)
	meter.Mark(9)
	defer meter.Stop()

	w := httptest.NewRecorder()
	MetricsHandler(r).ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	got, process, ok := strings.Cut(w.Body.String(), "# TYPE process_cpu_seconds_total counter\n")
	is.True(ok)
	is.Equal(got, `# TYPE wigeonflow_admission_in_flight gauge
wigeonflow_admission_in_flight 7
# TYPE wigeonflow_admission_mean gauge
wigeonflow_admission_mean 0.5
# TYPE wigeonflow_answer_tokens_total counter
wigeonflow_answer_tokens_total 9
# TYPE wigeonflow_entry_first_token_seconds summary
wigeonflow_entry_first_token_seconds_count 1
wigeonflow_entry_first_token_seconds{quantile="0.5"} 0.25
wigeonflow_entry_first_token_seconds{quantile="0.95"} 0.25
wigeonflow_entry_first_token_seconds{quantile="0.99"} 0.25
# TYPE wigeonflow_entry_refused_total counter
wigeonflow_entry_refused_total{outcome="not-run"} 3
wigeonflow_entry_refused_total{outcome="unknown"} 2
# TYPE wigeonflow_mesh_frame summary
wigeonflow_mesh_frame_count 1
wigeonflow_mesh_frame{quantile="0.5"} 64
wigeonflow_mesh_frame{quantile="0.95"} 64
wigeonflow_mesh_frame{quantile="0.99"} 64
`)
	is.True(strings.Contains(process, "go_goroutines "))
	is.Equal(w.Header().Get("Content-Type"), contentType)
}

func TestLoggerUsesSettings(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	s := settings.Settings{Instance: "r1", Log: settings.Log{Level: "warn", JSON: true}}
	log := NewLogger(s, &out).Named("entry")
	log.Info("below the level")
	log.Warn("at the level", LogPeer, "10.0.0.1:1")
	var line map[string]any
	is.NoErr(json.Unmarshal(out.Bytes(), &line))
	is.Equal(line["@module"], "wigeonflow.entry")
	is.Equal(line[LogInstance], "r1")
	is.Equal(line[LogPeer], "10.0.0.1:1")
}

// exportedSpan holds the fields of an exported span that the test checks.
type exportedSpan struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
	Status      struct{ Code string }
}

func TestHopsShareOneTrace(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "spans.json")
	s := settings.Settings{Instance: "r1", Tracing: settings.Tracing{Exporter: settings.ExporterFile, Path: path}}
	tracer, err := NewTracer(t.Context(), s)
	is.NoErr(err)
	entry, parent := tracer.Start("entry", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")
	owner, _ := tracer.Start("owner", parent)
	owner.Set(LogUpstream, "e1")
	owner.End(errors.New("cut"))
	entry.End(nil)
	is.NoErr(tracer.Shutdown(context.Background()))

	data, err := os.ReadFile(path)
	is.NoErr(err)
	spans := make(map[string]exportedSpan)
	for d := json.NewDecoder(bytes.NewReader(data)); d.More(); {
		var span exportedSpan
		is.NoErr(d.Decode(&span))
		spans[span.Name] = span
	}
	is.Equal(len(spans), 2)
	is.Equal(spans["entry"].SpanContext.TraceID, "0af7651916cd43dd8448eb211c80319c")
	is.Equal(spans["entry"].Parent.SpanID, "b7ad6b7169203331")
	is.Equal(spans["owner"].SpanContext.TraceID, spans["entry"].SpanContext.TraceID)
	is.Equal(spans["owner"].Parent.SpanID, spans["entry"].SpanContext.SpanID)
	is.Equal(spans["owner"].Status.Code, "Error")
}

func TestSpansGoToTheCollector(t *testing.T) {
	is := is.New(t)
	received := make(chan *coltrace.ExportTraceServiceRequest, 1)
	collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		var export coltrace.ExportTraceServiceRequest
		if r.URL.Path == "/v1/traces" && proto.Unmarshal(body, &export) == nil {
			received <- &export
		}
	}))
	defer collector.Close()
	s := settings.Settings{Instance: "r1", Tracing: settings.Tracing{
		Exporter: settings.ExporterOTLP, Endpoint: collector.URL + "/v1/traces",
	}}
	tracer, err := NewTracer(t.Context(), s)
	is.NoErr(err)
	span, _ := tracer.Start("entry", "")
	span.End(nil)
	is.NoErr(tracer.Shutdown(context.Background()))
	export := <-received
	is.Equal(export.ResourceSpans[0].ScopeSpans[0].Spans[0].Name, "entry")
}

func TestTracingOffDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	tracer, err := NewTracer(t.Context(), settings.Settings{})
	is.NoErr(err)
	for _, tr := range []*Tracer{tracer, nil} {
		allocated := testing.AllocsPerRun(100, func() {
			span, next := tr.Start("entry", "parent")
			span.Set(LogUpstream, "e1")
			span.End(nil)
			if next != "parent" {
				t.Fatal("Start changed the traceparent although tracing is off")
			}
		})
		is.Equal(allocated, 0.0)
		is.NoErr(tr.Shutdown(t.Context()))
	}
}

func BenchmarkSpan(b *testing.B) {
	path := filepath.Join(b.TempDir(), "spans.json")
	on, err := NewTracer(b.Context(), settings.Settings{Tracing: settings.Tracing{Exporter: settings.ExporterFile, Path: path}})
	if err != nil {
		b.Fatal(err)
	}
	for name, tracer := range map[string]*Tracer{"off": nil, "file": on} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				span, _ := tracer.Start("entry", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")
				span.Set(LogUpstream, "e1")
				span.End(nil)
			}
		})
	}
}

// A per-request line has the same fields as any other JSON log line, and both loggers drop
// lines below their level.
func TestRequestLoggerWritesTheLinesOfNewLogger(t *testing.T) {
	is := is.New(t)
	s := settings.Settings{Instance: "front-1", Zone: "medeu"}.WithDefaults()
	s.Log.JSON = true
	write := func(level string) (regular, request map[string]any) {
		s.Log.Level = level
		var a, b bytes.Buffer
		NewLogger(s, &a).Named("gateway").Info("request served", "status", 200, "error", errors.New("none"))
		NewRequestLogger(s, "gateway", &b).Info("request served", "status", 200, "error", errors.New("none"))
		if a.Len() == 0 && b.Len() == 0 {
			return nil, nil
		}
		is.NoErr(json.Unmarshal(a.Bytes(), &regular))
		is.NoErr(json.Unmarshal(b.Bytes(), &request))
		return regular, request
	}
	regular, request := write("info")
	for _, line := range []map[string]any{regular, request} {
		written, err := time.Parse(timeFormat, line["@timestamp"].(string))
		is.NoErr(err)
		is.True(time.Since(written) < time.Hour)
		delete(line, "@timestamp")
	}
	is.Equal(regular, request)
	regular, request = write("warn")
	is.True(regular == nil && request == nil)
}
