// Package telemetry sets up the observability of an instance: hclog logs, the text
// exposition of its go-metrics registry for scraping, and OpenTelemetry spans, one for
// each hop of a request under one trace ID.
//
// Spans are off by default. When they are off, starting one does not allocate, and an
// incoming traceparent is forwarded unchanged, so that an instance without an exporter
// doesn't break a trace.
package telemetry
