package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/wigeonflow/wigeonflow/internal/balance"
	"github.com/wigeonflow/wigeonflow/internal/exchange"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// streamBuffer is the size in bytes of one read from a stream, which holds a few events.
const streamBuffer = 2 << 10

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

var (
	errEventTooLong  = fleet.Errors.NewType("gateway_event_too_long")
	errEventGap      = fleet.Errors.NewType("gateway_event_gap")
	errForeignAnswer = fleet.Errors.NewType("gateway_foreign_answer")
)

// eventRelay writes a stream's events to the caller. One relay serves all attempts of a
// request.
type eventRelay struct {
	w       http.ResponseWriter
	flusher *http.ResponseController
	last    string // ID of the last event relayed; empty for none
	lastID  int64  // last as a number, -1 if it is none
	pending []byte // the start of an incomplete event
	resumed bool   // the next new event must have the ID lastID+1
	events  int
}

// relayStream relays a stream event by event. An incomplete event never reaches the
// caller, so that another upstream can resume the stream after the last one.
func (f *forwarder) relayStream(ctx context.Context, pick *balance.Pick, resp *exchange.Response, head Head) (done bool, o balance.Outcome) {
	first, proven := true, false
	buffer := make([]byte, streamBuffer)
	for {
		n, err := resp.Read(buffer)
		if n > 0 {
			now := f.server.cfg.Clock()
			if first {
				pick.RecordAnswerHead(now, head.Load)
				first = false
			} else {
				pick.RecordBytes(now)
			}
			f.beginStream(resp)
			if relayErr := f.stream.write(buffer[:n]); relayErr != nil {
				return f.recordStreamFailure(ctx, relayErr)
			}
			if !proven && f.attemptEvents() >= provenEvents {
				pick.RecordServed(now)
				proven = true
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return f.endStream(ctx, pick, resp)
		case err != nil:
			return f.recordStreamFailure(ctx, err)
		}
	}
}

// beginStream writes the answer's header on the first call for a request.
func (f *forwarder) beginStream(resp *exchange.Response) {
	if f.stream != nil {
		return
	}
	h := f.w.Header()
	for name, values := range f.server.cfg.Protocol.CallerHeader(resp.Header) {
		h[name] = values
	}
	h.Del("Content-Length") // events of several upstreams may follow
	f.stream = &eventRelay{w: f.w, flusher: http.NewResponseController(f.w), lastID: -1}
	if id, err := strconv.ParseInt(f.call.After, 10, 64); err == nil {
		f.stream.last, f.stream.lastID = f.call.After, id
	}
	f.w.WriteHeader(resp.Status)
}

// endStream ends the answer after the upstream has ended its stream. The stream is
// incomplete if it ended inside an event, or without any event at the end of a connection
// that alone would tell that it is complete.
func (f *forwarder) endStream(ctx context.Context, pick *balance.Pick, resp *exchange.Response) (bool, balance.Outcome) {
	if !resp.Delimited && f.stream == nil && f.call.After == "" {
		return f.recordStreamFailure(ctx, io.ErrUnexpectedEOF)
	}
	f.beginStream(resp)
	if len(f.stream.pending) > 0 {
		return f.recordStreamFailure(ctx, io.ErrUnexpectedEOF)
	}
	pick.RecordServed(f.server.cfg.Clock())
	f.recordOutcome(resp.Status, "")
	return true, balance.OutcomeServed
}

// recordStreamFailure ends an attempt at a stream and discards an incomplete event.
func (f *forwarder) recordStreamFailure(ctx context.Context, err error) (bool, balance.Outcome) {
	var gone *callerGoneError
	if errors.As(err, &gone) {
		f.recordOutcome(0, gone.Error())
		return true, balance.OutcomeUnknown
	}
	if f.stream != nil {
		f.stream.pending = nil
		f.stream.resumed = true
	}
	return false, f.recordIncomplete(ctx, err)
}

// callerGoneError wraps the error of a write to the caller.
type callerGoneError struct{ cause error }

func (e *callerGoneError) Error() string { return "the caller disconnected: " + e.cause.Error() }
func (e *callerGoneError) Unwrap() error { return e.cause }

// write appends b to the pending bytes and relays all complete events among them, up to the
// first that isn't acceptable.
func (r *eventRelay) write(b []byte) error {
	r.pending = append(r.pending, b...)
	begin, out := 0, 0
	var rejected error
	for rejected == nil {
		end := eventEnd(r.pending[begin:])
		if end < 0 {
			break
		}
		var keep bool
		if keep, rejected = r.acceptEvent(r.pending[begin : begin+end]); keep {
			out += copy(r.pending[out:], r.pending[begin:begin+end])
		}
		begin += end
	}
	if out > 0 {
		if _, err := r.w.Write(r.pending[:out]); err != nil {
			return &callerGoneError{err}
		}
		if err := r.flusher.Flush(); err != nil {
			return &callerGoneError{err}
		}
	}
	if rejected != nil {
		return rejected
	}
	r.pending = r.pending[:copy(r.pending, r.pending[begin:])]
	if len(r.pending) > maxEventBytes {
		return errEventTooLong.New("a stream event exceeds %d bytes", maxEventBytes)
	}
	return nil
}

// eventEnd returns the length of the first event with its blank line, or -1.
func eventEnd(b []byte) int {
	i := bytes.Index(b, []byte("\n\n"))
	j := bytes.Index(b, []byte("\r\n\r\n"))
	switch {
	case i >= 0 && (j < 0 || i < j):
		return i + 2
	case j >= 0:
		return j + 4
	default:
		return -1
	}
}

// acceptEvent records an event's ID and reports whether the caller still lacks the event.
// After a resumption, the first such event must follow the last one relayed.
func (r *eventRelay) acceptEvent(event []byte) (bool, error) {
	if holdsAnswer(event) {
		return false, errForeignAnswer.New("the stream holds the head of another answer")
	}
	text, ok := eventID(event)
	if !ok {
		return true, nil
	}
	id, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		r.last, r.lastID = text, -1
		return true, nil
	}
	if r.lastID >= 0 && id <= r.lastID {
		return false, nil
	}
	if r.resumed && r.lastID >= 0 && id != r.lastID+1 {
		return false, errEventGap.New("the resumed stream continues with event %d after event %d", id, r.lastID)
	}
	r.resumed = false
	r.last, r.lastID = text, id
	r.events++
	return true, nil
}

// statusLine starts the line of an answer's status, after that before it.
var statusLine = []byte("\nHTTP/1.")

// holdsAnswer reports whether a line of an event is the status line of an HTTP answer. It then
// belongs to another request: a stream that ends with its connection has no frame that would
// keep it out.
func holdsAnswer(event []byte) bool {
	return bytes.HasPrefix(event, statusLine[1:]) || bytes.Contains(event, statusLine)
}

// eventID returns the value of an event's id field.
func eventID(event []byte) (string, bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}
