package gateway

import (
	"io"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/wigeonflow/wigeonflow/internal/balance"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

const (
	// maxAnswerBytes bounds an answer that is read completely before it is relayed.
	maxAnswerBytes = 16 << 20
	// maxBufferedBytes bounds all such answers of a router that are being read at a time.
	// Answers of up to smallAnswerBytes are read beyond it.
	maxBufferedBytes = 48 << 20
	smallAnswerBytes = 256 << 10
)

var (
	errTooLong  = fleet.Errors.NewType("gateway_answer_too_long")
	errUnmarked = fleet.Errors.NewType("gateway_unmarked_rejection")
)

// promisesNotRun reports whether callers take a status as a promise that their request did not
// run and will not.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// relayComplete reads an answer to its end before it relays it, so that a truncated one
// never reaches the caller.
func (f *forwarder) relayComplete(a *attempt) (done bool, o balance.Outcome) {
	a.pick.RecordAnswerHead(f.server.cfg.Clock(), a.head.Load)
	complete, err := a.complete, error(nil)
	if complete == nil {
		complete, err = f.readAnswer(a)
	}
	if err != nil {
		return false, f.recordIncomplete(a, err, 0)
	}
	if complete.status >= http.StatusInternalServerError {
		f.keepFailedAnswer(complete)
		return false, f.recordFailedAnswer(a)
	}
	if complete.status < http.StatusBadRequest {
		a.pick.RecordServed(f.server.cfg.Clock())
	}
	a.writing.Store(true)
	f.writeAnswer(complete)
	return true, balance.OutcomeServed
}

// readAnswer reads the attempt's answer to its end. Its memory counts until the attempt's end.
func (f *forwarder) readAnswer(a *attempt) (*answer, error) {
	a.buffered = &answerReader{inner: a.resp, buffered: &f.server.buffered}
	body, err := io.ReadAll(a.buffered)
	if err != nil {
		return nil, err
	}
	return &answer{status: a.resp.Status, header: a.resp.Header, body: body}, nil
}

// answerReader reads an answer that is kept in memory. It fails if the answer exceeds
// maxAnswerBytes, or if all answers being read exceed maxBufferedBytes.
type answerReader struct {
	inner    io.Reader
	buffered *atomic.Int64 // bytes of all answers being read
	read     int64
}

// Read implements io.Reader.
func (r *answerReader) Read(b []byte) (int, error) {
	n, err := r.inner.Read(b)
	r.read += int64(n)
	total := r.buffered.Add(int64(n))
	switch {
	case r.read > maxAnswerBytes:
		return n, errTooLong.New("the upstream's answer exceeds %d bytes", maxAnswerBytes)
	case r.read > smallAnswerBytes && total > maxBufferedBytes:
		return n, errTooLong.New("the answers being read exceed %d bytes, this one has %d so far", maxBufferedBytes, r.read)
	}
	return n, err
}

// release ends the count of the answer.
func (r *answerReader) release() { r.buffered.Add(-r.read) }

// writeAnswer sends a complete answer to the caller.
func (f *forwarder) writeAnswer(a *answer) {
	h := f.w.Header()
	for name, values := range f.server.cfg.Protocol.CallerHeader(a.header) {
		h[name] = values
	}
	if h["Content-Type"] == nil {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
	if f.r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	f.w.WriteHeader(a.status)
	if _, err := f.w.Write(a.body); err != nil {
		f.callerGone = true
		f.recordOutcome(a.status, "the caller disconnected: "+err.Error())
		return
	}
	reason := ""
	if a.status >= http.StatusInternalServerError {
		reason = "the upstream answered with a server error"
	}
	f.recordOutcome(a.status, reason)
}
