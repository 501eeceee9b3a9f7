package admission

const (
	// collapseFactor is how many times slower than usual an answer must be to
	// count as slow.
	collapseFactor = 4
	// collapseAnswers is how many slow first tokens, or slow answers, in a row
	// mean a cold upstream.
	collapseAnswers = 2
)

// window is the cold-start ramp of one upstream: slow start, then additive
// increase, after the congestion window of TCP (Jacobson, 1988). It starts at
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

// restart sets the window to what an upstream bears right after its start.
func (w *window) restart() {
	w.size, w.slowFirst, w.slowAnswers = w.start, 0, 0
}

// collapse restarts the window and halves the point up to which it grows fast.
func (w *window) collapse() {
	if w.size > w.start {
		w.threshold = max(w.size/2, w.start)
	}
	w.restart()
}

// grow counts one good answer that was given while inFlight requests ran. An
// upstream that ran at less than half its window has shown nothing new.
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
