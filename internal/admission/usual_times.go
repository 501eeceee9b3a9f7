package admission

import "time"

const (
	// speedWeight is the weight of the newest sample in the exponential moving means.
	speedWeight = 0.1
	// minFirstToken and minTokenTime are lower bounds of the usual times, so that
	// noise on very fast answers isn't taken for a collapse.
	minFirstToken = 50 * time.Millisecond
	minTokenTime  = 2 * time.Millisecond
)

// usualTimes holds the usual times of answers as exponential moving means.
type usualTimes struct {
	firstToken float64 // ns
	tokenTime  float64 // ns per token
	duration   float64 // ns
}

// updateMean adds a sample to the moving mean. It caps samples at slowFactor times
// the mean, so that the few slow ones before an upstream is detected as cold hardly
// change it.
func updateMean(mean *float64, sample float64) {
	if *mean == 0 {
		*mean = sample
		return
	}
	*mean += speedWeight * (min(sample, slowFactor**mean) - *mean)
}

func (s *usualTimes) addFirstToken(d time.Duration) { updateMean(&s.firstToken, float64(d)) }

func (s *usualTimes) addAnswer(r Result) {
	updateMean(&s.duration, float64(r.Duration))
	if t := tokenTime(r); t > 0 {
		updateMean(&s.tokenTime, t)
	}
}

// tokenTime returns the mean time between tokens in ns, or 0 if it is unknown.
func tokenTime(r Result) float64 {
	if r.Tokens <= 1 || r.Duration <= r.FirstToken {
		return 0
	}
	return float64(r.Duration-r.FirstToken) / float64(r.Tokens)
}

// isSlowFirstToken reports whether a first token took more than slowFactor times the
// usual time.
func (s *usualTimes) isSlowFirstToken(d time.Duration) bool {
	usual := max(s.firstToken, float64(minFirstToken))
	return s.firstToken > 0 && float64(d) > slowFactor*usual
}

// isSlowAnswer reports whether the tokens of an answer took more than slowFactor times
// the usual time.
func (s *usualTimes) isSlowAnswer(r Result) bool {
	usual := max(s.tokenTime, float64(minTokenTime))
	return s.tokenTime > 0 && tokenTime(r) > slowFactor*usual
}
