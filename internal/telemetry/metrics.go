package telemetry

import (
	"bytes"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

// MetricsPrefix is the prefix of each metric name of the fleet.
const MetricsPrefix = "wigeonflow_"

// contentType is the content type of the Prometheus text exposition format, version 0.0.4.
const contentType = "text/plain; version=0.0.4; charset=utf-8"

// quantiles are exposed for every timer and histogram.
var quantiles = []float64{0.5, 0.95, 0.99}

// MetricName returns the registry name of a metric with labels, given as pairs
// of a name and a value.
func MetricName(name string, labels ...string) string {
	if len(labels) == 0 {
		return name
	}
	pairs := make([]string, 0, len(labels)/2)
	for i := 0; i+1 < len(labels); i += 2 {
		pairs = append(pairs, labels[i]+"="+strconv.Quote(labels[i+1]))
	}
	return name + "{" + strings.Join(pairs, ",") + "}"
}

// MetricsHandler serves the registry in the Prometheus text format: counters and meters
// as counters, gauges as gauges, health checks as gauges that are 1 if the check
// succeeds and 0 otherwise, timers (in seconds) and histograms as summaries. The
// quantiles of a summary are those of the go-metrics sample. It has no sum, because the
// sample does not keep the sum of all values. The CPU time, memory and goroutines of the
// process follow.
func MetricsHandler(registry metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		var out bytes.Buffer
		writeFamilies(&out, groupByFamily(registry))
		writeProcess(&out)
		w.Header().Set("Content-Type", contentType)
		_, _ = w.Write(out.Bytes())
	})
}

// family holds the samples of all metrics with one name.
type family struct {
	name, kind string // kind is counter, gauge or summary
	samples    []sample
}

// sample is one line of the exposition.
type sample struct {
	suffix, labels string // suffix of the family's name; labels without braces
	value          float64
}

// groupByFamily groups the metrics of the registry by name and sorts them.
func groupByFamily(registry metrics.Registry) []*family {
	byName := make(map[string]*family)
	registry.Each(func(name string, metric any) {
		base, labels := splitName(name)
		kind, suffix, samples := samplesOf(metric, labels)
		if kind == "" {
			return
		}
		full := MetricsPrefix + sanitize(base) + suffix
		f, ok := byName[full]
		if !ok {
			f = &family{name: full, kind: kind}
			byName[full] = f
		}
		f.samples = append(f.samples, samples...)
	})
	list := make([]*family, 0, len(byName))
	for _, f := range byName {
		slices.SortStableFunc(f.samples, func(a, b sample) int {
			return strings.Compare(a.suffix+a.labels, b.suffix+b.labels)
		})
		list = append(list, f)
	}
	slices.SortFunc(list, func(a, b *family) int { return strings.Compare(a.name, b.name) })
	return list
}

// samplesOf returns the type of a metric, the suffix of its family's name and its samples.
func samplesOf(metric any, labels string) (kind, suffix string, samples []sample) {
	one := func(v float64) []sample { return []sample{{labels: labels, value: v}} }
	switch m := metric.(type) {
	case metrics.Counter:
		return "counter", "_total", one(float64(m.Count()))
	case metrics.Meter:
		return "counter", "_total", one(float64(m.Snapshot().Count()))
	case metrics.Gauge:
		return "gauge", "", one(float64(m.Value()))
	case metrics.GaugeFloat64:
		return "gauge", "", one(m.Value())
	case metrics.Timer:
		s := m.Snapshot()
		return "summary", "_seconds", summarySamples(labels, s.Percentiles(quantiles), s.Count(), float64(time.Second))
	case metrics.Histogram:
		s := m.Snapshot()
		return "summary", "", summarySamples(labels, s.Percentiles(quantiles), s.Count(), 1)
	case metrics.Healthcheck:
		m.Check()
		if m.Error() != nil {
			return "gauge", "", one(0)
		}
		return "gauge", "", one(1)
	}
	return "", "", nil
}

// summarySamples returns the samples of a summary: its count, and its quantiles divided by unit.
func summarySamples(labels string, values []float64, count int64, unit float64) []sample {
	samples := []sample{{suffix: "_count", labels: labels, value: float64(count)}}
	for i, q := range quantiles {
		pair := fmt.Sprintf("quantile=%q", strconv.FormatFloat(q, 'g', -1, 64))
		if labels != "" {
			pair = labels + "," + pair
		}
		samples = append(samples, sample{labels: pair, value: values[i] / unit})
	}
	return samples
}

// splitName splits a registry name into the base name and the labels added by MetricName.
func splitName(name string) (base, labels string) {
	base, labels, ok := strings.Cut(name, "{")
	if !ok {
		return name, ""
	}
	return base, strings.TrimSuffix(labels, "}")
}

// sanitize replaces every character that is not allowed in a metric name by an underscore.
func sanitize(name string) string {
	return strings.Map(func(r rune) rune {
		if r == '_' || r == ':' || r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' {
			return r
		}
		return '_'
	}, name)
}

// writeFamilies writes the families in the text exposition format.
func writeFamilies(out *bytes.Buffer, list []*family) {
	for _, f := range list {
		fmt.Fprintf(out, "# TYPE %s %s\n", f.name, f.kind)
		for _, s := range f.samples {
			out.WriteString(f.name + s.suffix)
			if s.labels != "" {
				out.WriteString("{" + s.labels + "}")
			}
			out.WriteString(" " + formatValue(s.value) + "\n")
		}
	}
}

func formatValue(v float64) string {
	if math.IsInf(v, 1) {
		return "+Inf"
	}
	return strconv.FormatFloat(v, 'g', -1, 64)
}
