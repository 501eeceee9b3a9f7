package load

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the recorded times and their precision in the histograms.
const (
	lowestMicros      = 1
	highestMicros     = int64(2 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// recorder collects the measurements of one target. It is safe for concurrent use.
type recorder struct {
	label string

	mu sync.Mutex
	// window is the measured span. Of requests sent before it, during the warm-up, the
	// verdicts are counted apart, in warmupVerdicts; tokens counts their events that
	// arrive inside it, samples describes them too, and nothing else is recorded.
	window         window
	warmupVerdicts map[Verdict]int64
	verdicts       map[Verdict]int64
	kinds          map[string]int64
	statuses       map[int]int64
	upstreams      map[string]int64
	firstToken     *hdrhistogram.Histogram
	betweenTokens  *hdrhistogram.Histogram
	serviceTime    *hdrhistogram.Histogram
	tokens         int64
	promptTokens   int64 // of measured turns, from their usage chunks
	cachedTokens   int64 // those of promptTokens that came from a cache
	heldBack       int64 // arrivals that were not sent
	samples        samples
}

// window is a span of the run, relative to the client's start: from is inclusive, to is
// exclusive.
type window struct{ from, to time.Duration }

func (w window) contains(at time.Duration) bool { return at >= w.from && at < w.to }

// samples holds descriptions of some requests without a complete answer, each
// description once: violations of a guarantee, and other requests, which were
// rejected or failed.
type samples struct{ violations, other []string }

func (s *samples) add(v Verdict, detail string) {
	list := &s.other
	if slices.Contains(violationVerdicts, v) {
		list = &s.violations
	}
	sample := string(v) + " " + detail
	if len(*list) < maxSamples && !slices.Contains(*list, sample) {
		*list = append(*list, sample)
	}
}

func newRecorder(label string) *recorder {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
	}
	return &recorder{
		label: label, warmupVerdicts: make(map[Verdict]int64),
		verdicts: make(map[Verdict]int64), kinds: make(map[string]int64),
		statuses: make(map[int]int64), upstreams: make(map[string]int64),
		firstToken: histogram(), betweenTokens: histogram(), serviceTime: histogram(),
	}
}

// maxSamples bounds each list of samples.
const maxSamples = 10

// result is the outcome of one request. Times are relative to the client's start.
type result struct {
	kind     string
	verdict  Verdict
	status   int
	upstream string
	// sent is when the request was sent; arrivals are when the events with text
	// arrived.
	sent     time.Duration
	arrivals []time.Duration
	ended    time.Duration
	check    *streamCheck // nil for a service call
	detail   string
}

// add records the result of one request.
func (r *recorder) add(res result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.countTokens(res)
	if res.verdict != VerdictComplete {
		r.samples.add(res.verdict, res.kind+": "+res.detail)
	}
	if res.sent < r.window.from {
		r.warmupVerdicts[res.verdict]++
		return
	}
	r.verdicts[res.verdict]++
	r.kinds[res.kind]++
	r.statuses[res.status]++
	if res.upstream != "" {
		r.upstreams[res.upstream]++
	}
	if res.check == nil {
		record(r.serviceTime, res.ended-res.sent)
		return
	}
	r.addStream(res)
}

// countTokens counts the events with text that arrived inside the window, whether their
// request was sent in it or before it.
func (r *recorder) countTokens(res result) {
	for _, at := range res.arrivals {
		if r.window.contains(at) {
			r.tokens++
		}
	}
}

// addStream records the token counts and times of a stream.
func (r *recorder) addStream(res result) {
	r.promptTokens += int64(res.check.usage.PromptTokens)
	r.cachedTokens += int64(res.check.usage.PromptTokensDetails.CachedTokens)
	last := res.sent
	for i, at := range res.arrivals {
		if i == 0 {
			record(r.firstToken, at-last)
		} else {
			record(r.betweenTokens, at-last)
		}
		last = at
	}
}

// setWindow sets the span to measure.
func (r *recorder) setWindow(w window) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window = w
}

// addViolation counts a violation that a check after the run found.
func (r *recorder) addViolation(v Verdict, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.verdicts[v]++
	r.samples.add(v, detail)
}

// addHeldBack counts an arrival inside the window, due at at, that was not sent because of
// the tool's own bounds.
func (r *recorder) addHeldBack(at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.window.contains(at) {
		r.heldBack++
	}
}

// record adds d to h, clipped to the histogram's range.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros))
}
