package operator

// maxFullReads is how many full configurations a member sends at a time. One of
// 1,200 routes takes half a second on a slow link; several at once would all
// exceed their readers' timeouts and delay heartbeats.
const maxFullReads = 1

// ReadLimit is a semaphore that bounds how many full configurations are sent at a
// time. Create it with NewReadLimit.
type ReadLimit chan struct{}

// NewReadLimit returns a ReadLimit with all slots free.
func NewReadLimit() ReadLimit { return make(ReadLimit, maxFullReads) }

// Acquire takes a slot without waiting. If it reports false, all slots are in
// use and the reader should retry later; otherwise Release must be called.
func (l ReadLimit) Acquire() (ok bool) {
	select {
	case l <- struct{}{}:
		return true
	default:
		return false
	}
}

// Release frees the slot that Acquire took.
func (l ReadLimit) Release() { <-l }
