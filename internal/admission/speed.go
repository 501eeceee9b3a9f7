package admission

import "time"

const (
	// speedWeight is the weight of the newest answer in the moving means.
	speedWeight = 0.1
	// minFirstToken and minTokenTime are floors under the usual speed, so that
	// noise on very fast answers isn't taken for a collapse.
	minFirstToken = 50 * time.Millisecond
	minTokenTime  = 2 * time.Millisecond
)

// speed holds the usual speed of answers as moving means.
type speed struct {
	firstToken float64 // ns
	tokenTime  float64 // ns a token
	duration   float64 // ns
}

// blend moves the mean towards the sample. A slow sample counts as the least
// that is slow, so that the few which are seen before an upstream is known to be
// cold hardly move the mean.
func blend(mean *float64, sample float64) {
	if *mean == 0 {
		*mean = sample
		return
	}
	*mean += speedWeight * (min(sample, collapseFactor**mean) - *mean)
}

func (s *speed) addFirstToken(d time.Duration) { blend(&s.firstToken, float64(d)) }

func (s *speed) addAnswer(r Result) {
	blend(&s.duration, float64(r.Duration))
	if t := tokenTime(r); t > 0 {
		blend(&s.tokenTime, t)
	}
}

// tokenTime is the mean time between tokens in ns, or 0 if the answer has none.
func tokenTime(r Result) float64 {
	if r.Tokens <= 1 || r.Duration <= r.FirstToken {
		return 0
	}
	return float64(r.Duration-r.FirstToken) / float64(r.Tokens)
}

// slowFirstToken tells whether a first token came far later than usual.
func (s *speed) slowFirstToken(d time.Duration) bool {
	usual := max(s.firstToken, float64(minFirstToken))
	return s.firstToken > 0 && float64(d) > collapseFactor*usual
}

// slowAnswer tells whether the tokens of an answer came far slower than usual.
func (s *speed) slowAnswer(r Result) bool {
	usual := max(s.tokenTime, float64(minTokenTime))
	return s.tokenTime > 0 && tokenTime(r) > collapseFactor*usual
}
