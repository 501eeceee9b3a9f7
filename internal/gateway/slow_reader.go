package gateway

import (
	"io"
	"net/http"
	"time"
)

const (
	// minWriteTime is the time for which a part of an answer may wait for its caller at least: an answer
	// that is ready when the route's timeout ends is still delivered.
	minWriteTime = 2 * time.Second
	// writingDivisor makes the bytes out of the budget of held bytes from which on new requests are
	// rejected, if they are held of answers that are being written. These can't be given up for others,
	// unlike answers that are still being read.
	writingDivisor = 2
)

// limitWrite bounds the time for which the next write may wait for the caller: until the end of the
// route's timeout, and at least for minWriteTime. A caller that reads nothing would otherwise hold the
// rest of its answer for as long as its connection lives.
func (f *forwarder) limitWrite() {
	left := max(f.start+f.route.Timeout-f.server.cfg.Clock(), minWriteTime)
	if err := http.NewResponseController(f.w).SetWriteDeadline(time.Now().Add(left)); err != nil {
		f.logDecision("write deadline not set; a caller that doesn't read may hold its answer", "error", err)
	}
}

// boundedWriter writes to the caller, each write within limitWrite.
type boundedWriter struct{ f *forwarder }

// Write implements io.Writer.
func (w boundedWriter) Write(b []byte) (int, error) {
	w.f.limitWrite()
	return w.f.w.Write(b)
}

var _ io.Writer = boundedWriter{}

// rejectSlowReaders returns the rejection of a new request while callers that read slowly hold a large
// part of the budget, or nil. Without it, answers under way would be broken off in its favor.
func (f *forwarder) rejectSlowReaders() *rejection {
	held := f.server.held
	writing, budget := held.writing(), held.budget
	if writing < budget/writingDivisor {
		return nil
	}
	return &rejection{
		status: http.StatusServiceUnavailable, reason: "this router holds too many answers for callers that read slowly",
		base: overloadBase, spread: overloadSpread,
	}
}
