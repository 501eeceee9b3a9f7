package load

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is the result of a run.
type Report struct {
	Targets []TargetReport `json:"targets"`
	// Skew is the load skew of Config.Engines in the last phase.
	Skew Skew `json:"skew"`
}

// TargetReport holds the results of one target.
type TargetReport struct {
	Label string `json:"label"`
	// Warmup counts the verdicts of the warm-up. The other fields leave its
	// requests out, except for Tokens, which counts by time of arrival, and Samples.
	Warmup         map[Verdict]int64 `json:"warmup"`
	Seconds        float64           `json:"seconds"`
	Requests       int64             `json:"requests"`
	RequestsPerSec float64           `json:"requests_per_second"`
	Kinds          map[string]int64  `json:"kinds"`
	Verdicts       map[Verdict]int64 `json:"verdicts"`
	Statuses       map[int]int64     `json:"statuses"`
	Upstreams      map[string]int64  `json:"upstreams"`
	// Tokens counts the events with text that arrived in the measured time.
	Tokens       int64   `json:"tokens"`
	TokensPerSec float64 `json:"tokens_per_second"`
	// CachedShare is the share of prompt tokens that came from a cache.
	CachedShare float64 `json:"cached_share"`
	// FirstToken, Between and Service are times in microseconds: until the first
	// token, between two tokens, and of a complete service call.
	FirstToken Quantiles `json:"first_token_us"`
	Between    Quantiles `json:"between_tokens_us"`
	Service    Quantiles `json:"service_us"`
	// HeldBack counts arrivals that were not sent because of the tool's own bounds.
	HeldBack int64 `json:"held_back"`
	// ProcessorPerToken is the routers' processor time in the target's phase, in
	// microseconds for each token that went through routers; -1 if unknown.
	ProcessorPerToken float64 `json:"processor_us_per_token"`
	// Samples describes some requests without a complete answer.
	Samples []string `json:"samples,omitempty"`

	// elapsed is the length of the measured part of the target's phase, processor
	// the routers' processor time in it (-1 if unknown), and phaseTargets are all
	// targets that shared the phase.
	elapsed, processor time.Duration
	phaseTargets       []*target
}

// Quantiles holds the number of recorded times and their quantiles, in microseconds.
type Quantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P95   int64 `json:"p95"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"max"`
}

func quantilesOf(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{
		Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P95: h.ValueAtQuantile(95),
		P99: h.ValueAtQuantile(99), Max: h.Max(),
	}
}

// fill sets the exported fields of t from r and from t's phase.
func (t *TargetReport) fill(r *recorder) {
	t.Label, t.Seconds, t.Warmup = r.label, t.elapsed.Seconds(), r.warmupVerdicts
	t.Kinds, t.Verdicts, t.Statuses, t.Upstreams = r.kinds, r.verdicts, r.statuses, r.upstreams
	for _, n := range r.kinds {
		t.Requests += n
	}
	t.RequestsPerSec = float64(t.Requests) / t.Seconds
	t.Tokens, t.TokensPerSec = r.tokens, float64(r.tokens)/t.Seconds
	if r.promptTokens > 0 {
		t.CachedShare = float64(r.cachedTokens) / float64(r.promptTokens)
	}
	t.FirstToken, t.Between, t.Service = quantilesOf(r.firstToken), quantilesOf(r.betweenTokens), quantilesOf(r.serviceTime)
	t.HeldBack, t.Samples = r.heldBack, append(r.samples.violations, r.samples.other...)
	t.ProcessorPerToken = processorPerToken(t.processor, t.phaseTargets)
}

// processorPerToken divides the processor time by the tokens that went through
// routers in the same phase. It returns -1 if either is unknown.
func processorPerToken(processor time.Duration, phaseTargets []*target) float64 {
	var tokens int64
	for _, t := range phaseTargets {
		if !t.Direct {
			tokens += t.rec.tokens
		}
	}
	if processor < 0 || tokens == 0 {
		return -1
	}
	return float64(processor.Microseconds()) / float64(tokens)
}

// Violations returns the number of requests and keys that violated a guarantee, warm-up
// included.
func (r Report) Violations() int64 {
	var n int64
	for _, t := range r.Targets {
		for _, v := range violationVerdicts {
			n += t.Verdicts[v] + t.Warmup[v]
		}
	}
	return n
}

// Complete returns the number of complete answers, without the warm-up.
func (r Report) Complete() int64 {
	var n int64
	for _, t := range r.Targets {
		n += t.Verdicts[VerdictComplete]
	}
	return n
}

// WriteJSON writes the report as one JSON object.
func (r Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteTable writes the report as a table with a column for each target.
func (r Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	row := func(name string, cell func(TargetReport) string) {
		fmt.Fprint(table, name, "\t")
		for _, t := range r.Targets {
			fmt.Fprint(table, cell(t), "\t")
		}
		fmt.Fprintln(table)
	}
	row("", func(t TargetReport) string { return t.Label })
	row("warm-up whole", func(t TargetReport) string { return fmt.Sprint(t.Warmup[VerdictComplete]) })
	row("warm-up other", func(t TargetReport) string { return fmt.Sprint(others(t.Warmup)) })
	row("requests", func(t TargetReport) string { return fmt.Sprint(t.Requests) })
	row("requests/s", func(t TargetReport) string { return fmt.Sprintf("%.1f", t.RequestsPerSec) })
	for _, v := range verdicts {
		row(string(v), func(t TargetReport) string { return fmt.Sprint(t.Verdicts[v]) })
	}
	row("held back", func(t TargetReport) string { return fmt.Sprint(t.HeldBack) })
	row("tokens/s", func(t TargetReport) string { return fmt.Sprintf("%.0f", t.TokensPerSec) })
	row("cached prompt", func(t TargetReport) string { return fmt.Sprintf("%.1f%%", 100*t.CachedShare) })
	quantileRows(row, "first token", func(t TargetReport) Quantiles { return t.FirstToken })
	quantileRows(row, "between tokens", func(t TargetReport) Quantiles { return t.Between })
	quantileRows(row, "service call", func(t TargetReport) Quantiles { return t.Service })
	row("router CPU/token", func(t TargetReport) string {
		if t.ProcessorPerToken < 0 {
			return "-"
		}
		return fmt.Sprintf("%.1f us", t.ProcessorPerToken)
	})
	if err := table.Flush(); err != nil {
		return err
	}
	if s := r.Skew; s.Samples > 0 {
		fmt.Fprintf(w, "most loaded engine over the mean, %d samples: p50 %.2f, p99 %.2f, max %.2f; most requests in flight at an engine %d\n",
			s.Samples, s.P50, s.P99, s.Max, s.PeakInFlight)
	}
	return r.writeSamples(w)
}

// others returns the sum of the counts of all verdicts except VerdictComplete.
func others(counts map[Verdict]int64) int64 {
	var n int64
	for v, count := range counts {
		if v != VerdictComplete {
			n += count
		}
	}
	return n
}

// quantileRows writes the p50, p95 and p99 rows of the measurement that of selects.
func quantileRows(row func(string, func(TargetReport) string), name string, of func(TargetReport) Quantiles) {
	for _, q := range []struct {
		name string
		of   func(Quantiles) int64
	}{
		{"p50", func(q Quantiles) int64 { return q.P50 }},
		{"p95", func(q Quantiles) int64 { return q.P95 }},
		{"p99", func(q Quantiles) int64 { return q.P99 }},
	} {
		row(name+" "+q.name, func(t TargetReport) string {
			if of(t).Count == 0 {
				return "-"
			}
			return fmt.Sprintf("%.3f ms", float64(q.of(of(t)))/1000)
		})
	}
}

// writeSamples writes the samples of all targets, sorted, one in a line.
func (r Report) writeSamples(w io.Writer) error {
	var lines []string
	for _, t := range r.Targets {
		for _, s := range t.Samples {
			lines = append(lines, t.Label+": "+s+"\n")
		}
	}
	slices.Sort(lines)
	_, err := io.WriteString(w, strings.Join(lines, ""))
	return err
}
