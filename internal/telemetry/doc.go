// Package telemetry sets up what an instance tells about itself: hclog logs, the
// text exposition of its go-metrics registry for scraping, and OpenTelemetry
// spans, one for each hop of a request under one trace ID.
//
// Spans are off by default. When they are off, starting one costs no allocation,
// and a traceparent that came in goes out unchanged, so that an instance without
// an exporter doesn't break a trace.
package telemetry
