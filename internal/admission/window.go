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
// start, then additive increase, like TCP's congestion window (Jacobson, 1988). It starts at
// StartConcurrency, grows by one with each good answer up to the threshold
// and by one with each window of good answers above it, and falls back to the
// start when the upstream turns cold.
type window struct {
	size      float64
	threshold float64
	start     float64
	max       float64
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

// collapse restarts the window and sets the threshold of fast growth to half the
// size that it had.
func (w *window) collapse() {
	if w.size > w.start {
		w.threshold = max(w.size/2, w.start)
	}
	w.restart()
}

// grow enlarges the window after a good answer that ended while inFlight requests
// ran. Load below half of the window doesn't show that the upstream sustains more.
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
