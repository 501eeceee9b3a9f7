package operator

// maxWholeReads is how many whole configurations a member sends at a time. One of
// 1,200 routes takes half a second of a slow link; more of them at once would all
// pass their readers' time-outs, and heartbeats would wait behind them.
const maxWholeReads = 1

// ReadLimit bounds the whole configurations that are being sent. Use NewReadLimit.
type ReadLimit chan struct{}

// NewReadLimit returns a limit with nothing being sent.
func NewReadLimit() ReadLimit { return make(ReadLimit, maxWholeReads) }

// Begin takes a place; ok is false where all are taken, and the reader should come
// back later. End gives it back.
func (l ReadLimit) Begin() (ok bool) {
	select {
	case l <- struct{}{}:
		return true
	default:
		return false
	}
}

// End gives a place back.
func (l ReadLimit) End() { <-l }
