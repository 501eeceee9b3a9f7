package admission

const (
	// slowFactor is the multiple of the usual time above which a first token or an
	// answer counts as slow.
	slowFactor = 4
	// collapseThreshold is how many slow first tokens, or slow answers, in a row
	// make an upstream count as cold.
	collapseThreshold = 2
)

// window is the concurrency limit that ramps up an upstream after a cold start: slow
// start, then additive increase, like TCP's congestion window (Jacobson, 1988). It
// starts at StartConcurrency, grows by one with each answer that isn't slow up to the
// threshold, and by one with each window of such answers above it. It returns to
// StartConcurrency when the upstream turns cold.
type window struct {
	size      float64 // the current limit
	threshold float64 // size up to which it grows by one with each answer
	start     float64 // the pool's StartConcurrency
	max       float64 // the pool's MaxConcurrency
	// slowFirst and slowAnswers count the slow first tokens and the slow answers
	// in a row.
	slowFirst, slowAnswers int
}

func newWindow(s PoolSettings) window {
	w := window{start: float64(s.StartConcurrency), max: float64(s.MaxConcurrency)}
	w.threshold = w.max
	w.restart()
	return w
}

// restart sets the window to StartConcurrency, which an upstream sustains right
// after its start.
func (w *window) restart() {
	w.size, w.slowFirst, w.slowAnswers = w.start, 0, 0
}

// collapse sets the window to StartConcurrency and the threshold to half the size that
// the window had.
func (w *window) collapse() {
	if w.size > w.start {
		w.threshold = max(w.size/2, w.start)
	}
	w.restart()
}

// grow enlarges the window after an answer that wasn't slow and ended while inFlight
// requests ran. Load below half of the window doesn't show that the upstream sustains
// more, and leaves the size as it is.
func (w *window) grow(inFlight int) {
	w.slowAnswers = 0
	if float64(inFlight)*2 < w.size {
		return
	}
	step := 1.0
	if w.size >= w.threshold {
		step = 1 / w.size
	}
	w.size = min(w.size+step, w.max)
}
