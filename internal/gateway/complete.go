package gateway

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/wigeonflow/wigeonflow/internal/balance"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

const (
	// maxAnswerBytes bounds an answer that is read completely before it is relayed.
	maxAnswerBytes = 16 << 20
	// minPartBytes and maxPartBytes bound the parts in which it is read. Each is as long as
	// those before it, so that no byte is copied and at most half of them is empty.
	minPartBytes = 1 << 10
	maxPartBytes = 256 << 10
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
	f.recordFirst(a, f.server.cfg.Clock())
	f.leavePlace(true) // before it is written to a caller that may read slowly
	if complete.status >= http.StatusInternalServerError {
		a.failedAnswer = complete
		f.keepFailedAnswer(a)
		return false, f.recordFailedAnswer(a)
	}
	if complete.status < http.StatusBadRequest {
		a.pick.RecordServed(f.server.cfg.Clock())
	}
	a.writing.Store(true)
	complete.held.move(heldAnswer, nil)
	f.writeAnswer(complete)
	return true, balance.OutcomeServed
}

// readAnswer reads the attempt's answer to its end.
func (f *forwarder) readAnswer(a *attempt) (*answer, error) {
	if a.opened == nil {
		a.held.move(heldAnswer, a.cancel)
	}
	complete := &answer{status: a.resp.Status, header: a.resp.Header, held: a.held}
	if err := complete.readBody(a.resp); err != nil {
		return nil, err
	}
	a.timing.done = f.server.cfg.Clock()
	return complete, nil
}

// readBody reads the body to its end.
func (a *answer) readBody(r io.Reader) error {
	for {
		part, err := a.readPart(r)
		a.length += len(part)
		if len(part) > 0 {
			a.parts = append(a.parts, part)
		}
		switch {
		case a.length > maxAnswerBytes:
			return errTooLong.New("the upstream's answer exceeds %d bytes", maxAnswerBytes)
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// readPart reads the next part of the answer. The error is io.EOF at the end, and nil if the part is
// full.
func (a *answer) readPart(r io.Reader) (part []byte, err error) {
	size := min(max(a.length, minPartBytes), maxPartBytes)
	if err := a.held.grow(size); err != nil {
		return nil, err
	}
	part = make([]byte, 0, size)
	for len(part) < size && err == nil {
		var n int
		n, err = r.Read(part[len(part):size])
		part = part[:len(part)+n]
	}
	return part, err
}

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
		h.Set("Content-Length", strconv.Itoa(a.length))
	}
	f.w.WriteHeader(a.status)
	if err := a.writeTo(boundedWriter{f}); err != nil {
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

// writeTo writes the body and releases each part that was written.
func (a *answer) writeTo(w io.Writer) error {
	for i, part := range a.parts {
		if _, err := w.Write(part); err != nil {
			return err
		}
		a.parts[i] = nil
		a.held.shrink(cap(part))
	}
	return nil
}

// release ends the count of an answer that is not needed, which may be nil.
func (a *answer) release() {
	if a != nil {
		a.held.release()
	}
}
