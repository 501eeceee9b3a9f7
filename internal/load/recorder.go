package load

import (
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
	// measuring is unset during the warm-up, in which only verdicts are counted.
	measuring  bool
	warmed     int64
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
	samples    []string
}

func newRecorder(label string) *recorder {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(lowestMicros, highestMicros, figures)
	}
	return &recorder{
		label: label, verdicts: make(map[Verdict]int64), kinds: make(map[string]int64),
		statuses: make(map[int]int64), upstreams: make(map[string]int64),
		firstToken: histogram(), between: histogram(), service: histogram(),
	}
}

// maxSamples bounds the broken requests that the report describes.
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
	r.verdicts[res.verdict]++
	if res.verdict != VerdictWhole && len(r.samples) < maxSamples {
		r.samples = append(r.samples, string(res.verdict)+" "+res.kind+": "+res.detail)
	}
	if !r.measuring {
		r.warmed++
		return
	}
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

func (r *recorder) addStream(res result) {
	r.tokens += int64(res.check.events)
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

// measure ends the warm-up.
func (r *recorder) measure() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.measuring, r.heldBack = true, 0
}

// violation counts a broken promise that a later check found.
func (r *recorder) violation(v Verdict, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.verdicts[v]++
	if len(r.samples) < maxSamples {
		r.samples = append(r.samples, string(v)+": "+detail)
	}
}

func (r *recorder) hold() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heldBack++
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros))
}
