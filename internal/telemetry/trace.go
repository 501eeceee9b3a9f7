package telemetry

import (
	"context"
	"io"
	"os"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/settings"
)

// HeaderTraceparent is the W3C Trace Context header.
const HeaderTraceparent = "traceparent"

// Tracer starts spans. A zero or nil Tracer starts no spans.
type Tracer struct {
	provider *sdktrace.TracerProvider
	tracer   trace.Tracer
	file     io.Closer // file of the file exporter, or nil
}

// NewTracer returns a tracer with the exporter in the settings. Shutdown must be called
// before the process ends.
func NewTracer(ctx context.Context, s settings.Settings) (*Tracer, error) {
	var t Tracer
	var exporter sdktrace.SpanExporter
	var err error
	switch s.Tracing.Exporter {
	case settings.ExporterOTLP:
		exporter, err = otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(s.Tracing.Endpoint))
		err = fleet.At(err, "telemetry.exporter", s.Tracing.Endpoint)
	case settings.ExporterFile:
		exporter, t.file, err = fileExporter(s.Tracing.Path)
	default:
		return &t, nil
	}
	if err != nil {
		return nil, err
	}
	t.setProvider(s, sdktrace.NewBatchSpanProcessor(exporter))
	return &t, nil
}

// fileExporter returns an exporter that appends spans to the file at path, and the file.
func fileExporter(path string) (sdktrace.SpanExporter, io.Closer, error) {
	f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, nil, fleet.At(err, "telemetry.open", path)
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(f))
	return exporter, f, fleet.At(err, "telemetry.exporter", path)
}

// setProvider makes the tracer sample spans by the settings and pass them to processor.
func (t *Tracer) setProvider(s settings.Settings, processor sdktrace.SpanProcessor) {
	ratio := s.WithDefaults().Tracing.SampleRatio
	t.provider = sdktrace.NewTracerProvider(
		sdktrace.WithSpanProcessor(processor),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(ratio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "wigeonflow"),
			attribute.String("service.instance.id", string(s.Instance)),
			attribute.String("cloud.region", string(s.Region)),
			attribute.String("cloud.availability_zone", string(s.Zone)),
		)),
	)
	t.tracer = t.provider.Tracer("github.com/wigeonflow/wigeonflow")
}

// Shutdown exports the spans that have ended and stops the exporter.
func (t *Tracer) Shutdown(ctx context.Context) error {
	if t == nil || t.provider == nil {
		return nil
	}
	err := t.provider.Shutdown(ctx)
	if t.file != nil {
		_ = t.file.Close()
	}
	return err
}

// Span is one hop of a request. The zero Span does nothing.
type Span struct{ span trace.Span }

// Start starts a span whose parent is given by traceparent; an empty or malformed
// traceparent starts a new trace. The returned traceparent identifies the new span and
// must be sent with the request to the next hop.
func (t *Tracer) Start(name, traceparent string) (Span, string) {
	if t == nil || t.tracer == nil {
		return Span{}, traceparent
	}
	ctx := propagation.TraceContext{}.Extract(context.Background(), &carrier{traceparent: traceparent})
	ctx, span := t.tracer.Start(ctx, name)
	var out carrier
	propagation.TraceContext{}.Inject(ctx, &out)
	return Span{span: span}, out.traceparent
}

// Set adds an attribute.
func (s Span) Set(key, value string) {
	if s.span != nil {
		s.span.SetAttributes(attribute.String(key, value))
	}
}

// SetInt adds an integer attribute.
func (s Span) SetInt(key string, value int) {
	if s.span != nil {
		s.span.SetAttributes(attribute.Int(key, value))
	}
}

// Event adds an event, such as the first token.
func (s Span) Event(name string) {
	if s.span != nil {
		s.span.AddEvent(name)
	}
}

// End ends the span, with an error status if err is set.
func (s Span) End(err error) {
	if s.span == nil {
		return
	}
	if err != nil {
		s.span.SetStatus(codes.Error, err.Error())
	}
	s.span.End()
}

// carrier holds a traceparent for the propagator.
type carrier struct{ traceparent string }

// Get implements propagation.TextMapCarrier.
func (c *carrier) Get(key string) string {
	if key == HeaderTraceparent {
		return c.traceparent
	}
	return ""
}

// Set implements propagation.TextMapCarrier.
func (c *carrier) Set(key, value string) {
	if key == HeaderTraceparent {
		c.traceparent = value
	}
}

// Keys implements propagation.TextMapCarrier.
func (c *carrier) Keys() []string { return []string{HeaderTraceparent} }
