package admission

import "time"

const (
	// collapseFactor is how many times slower than usual an answer must be to
	// count as slow.
	collapseFactor = 4
	// collapseAnswers is how many slow first tokens, or slow answers, in a row
	// mean a cold upstream.
	collapseAnswers = 2
	// speedWeight is the weight of the newest answer in the moving means.
	speedWeight = 0.1
	// minFirstToken and minTokenTime are floors under the usual speed, so that
	// noise on very fast answers isn't taken for a collapse.
	minFirstToken = 50 * time.Millisecond
	minTokenTime  = 2 * time.Millisecond
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

// speed holds the usual speed of answers as moving means.
type speed struct {
	firstToken float64 // ns
	tokenTime  float64 // ns a token
	duration   float64 // ns
}

func blend(mean *float64, sample float64) {
	if *mean == 0 {
		*mean = sample
		return
	}
	*mean += speedWeight * (sample - *mean)
}

func (s *speed) addFirstToken(d time.Duration) { blend(&s.firstToken, float64(d)) }

func (s *speed) addAnswer(r Result) {
	blend(&s.duration, float64(r.Duration))
	if r.Tokens > 1 && r.Duration > r.FirstToken {
		blend(&s.tokenTime, float64(r.Duration-r.FirstToken)/float64(r.Tokens))
	}
}

// slowFirstToken tells whether a first token came far later than usual.
func (s *speed) slowFirstToken(d time.Duration) bool {
	usual := max(s.firstToken, float64(minFirstToken))
	return s.firstToken > 0 && float64(d) > collapseFactor*usual
}

// slowAnswer tells whether the tokens of an answer came far slower than usual.
func (s *speed) slowAnswer(r Result) bool {
	if s.tokenTime == 0 || r.Tokens <= 1 {
		return false
	}
	usual := max(s.tokenTime, float64(minTokenTime))
	return float64(r.Duration-r.FirstToken)/float64(r.Tokens) > collapseFactor*usual
}
