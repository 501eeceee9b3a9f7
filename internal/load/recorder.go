package load

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the recorded times.
const (
	lowestMicros  = 1
	highestMicros = int64(2 * time.Minute / time.Microsecond)
	figures       = 3
)

// recorder keeps the figures of one target.
type recorder struct {
	label string

	mu sync.Mutex
	// window is the time that figures are of. Of requests sent before it, the
	// warm-up, only verdicts are counted, and apart.
	window     window
	warmed     map[Verdict]int64
	verdicts   map[Verdict]int64
	kinds      map[string]int64
	statuses   map[int]int64
	upstreams  map[string]int64
	firstToken *hdrhistogram.Histogram
	between    *hdrhistogram.Histogram
	service    *hdrhistogram.Histogram
	tokens     int64
	prompt     int64
	cached     int64
	heldBack   int64
	samples    samples
}

// window is a span of the run, from inclusive, to exclusive.
type window struct{ from, to time.Duration }

func (w window) holds(at time.Duration) bool { return at >= w.from && at < w.to }

// samples describes some requests that didn't end whole, each description once,
// those that broke a promise apart from those that were refused or failed.
type samples struct{ broken, other []string }

func (s *samples) add(v Verdict, detail string) {
	list := &s.other
	if slices.Contains(broken, v) {
		list = &s.broken
	}
	sample := string(v) + " " + detail
	if len(*list) < maxSamples && !slices.Contains(*list, sample) {
		*list = append(*list, sample)
	}
}

func newRecorder(label string) *recorder {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(lowestMicros, highestMicros, figures)
	}
	return &recorder{
		label: label, warmed: make(map[Verdict]int64),
		verdicts: make(map[Verdict]int64), kinds: make(map[string]int64),
		statuses: make(map[int]int64), upstreams: make(map[string]int64),
		firstToken: histogram(), between: histogram(), service: histogram(),
	}
}

// maxSamples bounds each list of samples.
const maxSamples = 10

// result is what one request came to.
type result struct {
	kind     string
	verdict  Verdict
	status   int
	upstream string
	// sent is when the request went out; arrivals are when its texts came.
	sent     time.Duration
	arrivals []time.Duration
	ended    time.Duration
	check    *streamCheck
	detail   string
}

func (r *recorder) add(res result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.countTokens(res)
	if res.verdict != VerdictWhole {
		r.samples.add(res.verdict, res.kind+": "+res.detail)
	}
	if res.sent < r.window.from {
		r.warmed[res.verdict]++
		return
	}
	r.verdicts[res.verdict]++
	r.kinds[res.kind]++
	r.statuses[res.status]++
	if res.upstream != "" {
		r.upstreams[res.upstream]++
	}
	if res.check == nil {
		record(r.service, res.ended-res.sent)
		return
	}
	r.addStream(res)
}

// countTokens counts the texts that arrived inside the window, whenever their
// request was sent.
func (r *recorder) countTokens(res result) {
	for _, at := range res.arrivals {
		if r.window.holds(at) {
			r.tokens++
		}
	}
}

func (r *recorder) addStream(res result) {
	r.prompt += int64(res.check.usage.PromptTokens)
	r.cached += int64(res.check.usage.PromptTokensDetails.CachedTokens)
	last := res.sent
	for i, at := range res.arrivals {
		if i == 0 {
			record(r.firstToken, at-last)
		} else {
			record(r.between, at-last)
		}
		last = at
	}
}

// measure sets the window that figures are of.
func (r *recorder) measure(w window) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window = w
}

// violation counts a broken promise that a later check found.
func (r *recorder) violation(v Verdict, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.verdicts[v]++
	r.samples.add(v, detail)
}

// hold counts an arrival that the tool's own bound kept from being sent.
func (r *recorder) hold(at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.window.holds(at) {
		r.heldBack++
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros))
}
