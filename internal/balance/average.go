package balance

import "math"

const (
	// averageMemory is the number of samples that an average remembers: the newest one weighs
	// the averageMemory-th part.
	averageMemory = 256
	// averageClip is the factor by which one sample may differ from an average that has seen
	// averageTrust samples; a larger difference counts as this one.
	averageClip  = 4.0
	averageTrust = 8
	// minSamples is the least number of samples from which an average counts as known.
	minSamples = 4
)

// average is an exponential moving average of positive samples that are clipped, so that one odd
// sample moves it little.
type average struct {
	value float64
	count int // of samples, up to averageMemory
}

// add adds a sample, which must be above 0.
func (a *average) add(sample float64) {
	if !(sample > 0) || math.IsInf(sample, 1) { // NaN too
		return
	}
	if a.count >= averageTrust {
		sample = min(max(sample, a.value/averageClip), a.value*averageClip)
	}
	a.count = min(a.count+1, averageMemory)
	a.value += (sample - a.value) / float64(a.count)
}

// known returns the average; ok is false if it has seen too few samples.
func (a *average) known() (value float64, ok bool) { return a.value, a.count >= minSamples }

const (
	// lineMemory is the number of samples that a line remembers: some ten seconds of events.
	lineMemory = 8192.0
	// lineTrust is the number of samples from which a line counts as known and bounds the next
	// sample to averageClip times what it predicts.
	lineTrust = 1024.0
	// slopeTrust is the number of samples from which its slope counts as known.
	slopeTrust = 6000.0
	// minSpread is the least standard deviation of the x of a line's samples, as a fraction of their
	// mean, from which its slope counts as known.
	minSpread = 0.1
)

// line is a linear regression y = base + slope * x over the latest samples. Its parameters are
// at least 0.
type line struct {
	n, x, y, xx, xy float64 // decaying sums
}

// add adds a sample with a y above 0.
func (l *line) add(x, y float64) {
	if !(y > 0) || math.IsInf(y, 1) {
		return
	}
	if predicted, ok := l.at(x); ok {
		y = min(max(y, predicted/averageClip), predicted*averageClip)
	}
	const keep = 1 - 1/lineMemory
	l.n, l.x, l.y = l.n*keep+1, l.x*keep+x, l.y*keep+y
	l.xx, l.xy = l.xx*keep+x*x, l.xy*keep+x*y
}

// slope returns the increase of y with x; ok is false while the samples don't tell it.
func (l *line) slope() (slope float64, ok bool) {
	mean := l.x / max(l.n, 1)
	variance := l.xx/max(l.n, 1) - mean*mean
	if l.n < slopeTrust || variance <= minSpread*minSpread*mean*mean || variance <= 0 {
		return 0, false
	}
	return max((l.xy/l.n-mean*l.y/l.n)/variance, 0), true
}

// at returns the prediction for x; ok is false while there are too few samples.
func (l *line) at(x float64) (y float64, ok bool) {
	if l.n < lineTrust {
		return 0, false
	}
	slope, _ := l.slope()
	mean := l.y / l.n
	return max(mean+slope*(x-l.x/l.n), mean/averageClip), true
}

const (
	// medianStep is the relative step of a median with each sample.
	medianStep = 0.025
	// medianTrust is the number of samples from which a median counts as known.
	medianTrust = 256
)

// median estimates the median of positive samples. Each sample moves it by one step, however far
// off it is.
type median struct {
	value float64
	count int // of samples, up to medianTrust
}

// add adds a sample, which must be above 0.
func (m *median) add(sample float64) {
	switch {
	case !(sample > 0) || math.IsInf(sample, 1): // NaN too
		return
	case m.count == 0:
		m.value = sample
	case sample > m.value:
		m.value *= 1 + medianStep
	default:
		m.value /= 1 + medianStep
	}
	m.count = min(m.count+1, medianTrust)
}
