package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/wigeonflow/wigeonflow/internal/balance"
	"github.com/wigeonflow/wigeonflow/internal/exchange"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// streamBuffer is the size in bytes of one read from a stream, which holds a few events.
const streamBuffer = 2 << 10

// maxEventBytes bounds one event of a stream, with the bytes before it that serve no caller:
// comments, and events that the caller has.
const maxEventBytes = 1 << 20

// maxIdleBuffer bounds the buffer in bytes that a stream keeps between two events.
const maxIdleBuffer = 16 << 10

var (
	errEventTooLong = fleet.Errors.NewType("gateway_event_too_long")
	errEventGap     = fleet.Errors.NewType("gateway_event_gap")
	errInvalidEvent = fleet.Errors.NewType("gateway_invalid_event")
)

// eventRelay writes a stream's events to the caller. One relay serves all attempts of a
// request.
type eventRelay struct {
	eventSequence
	w         http.ResponseWriter
	flusher   *http.ResponseController
	claim     func() error // is called before the head of an answer that goes on; nil for none
	writeHead func()       // writes the answer's head
	begun     bool         // the head was written
}

// begin writes the answer's head on its first call.
func (r *eventRelay) begin() {
	if !r.begun {
		r.begun = true
		r.writeHead()
	}
}

// eventSequence splits a stream into events and checks that they follow each other.
type eventSequence struct {
	last    *streamPosition // of the newest event
	lastID  int64           // its ID as a number, -1 if it is none
	pending []byte          // bytes that don't yet make an event
	held    *holding        // counts pending; nil for none
	// comments is the length of the comments that findNew has kept at the start of pending.
	comments int
	searched int  // bytes of the event at the start of pending, behind comments, without its end
	resumed  bool // the next new event must have the ID lastID+1
	events   int  // accepted events with data
	idle     int  // bytes since the newest of these
}

// streamPosition is the ID of a stream event. It is safe for concurrent use.
type streamPosition struct {
	mu sync.Mutex
	id string // empty for none
}

func (p *streamPosition) set(id string) {
	p.mu.Lock()
	p.id = id
	p.mu.Unlock()
}

func (p *streamPosition) get() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.id
}

// relayStream relays a stream event by event. An incomplete event never reaches the
// caller, so that another upstream can resume the stream after the last one.
func (f *forwarder) relayStream(a *attempt) (done bool, o balance.Outcome) {
	first, proven := true, false
	buffer := make([]byte, streamBuffer)
	for {
		n, err := a.body.Read(buffer)
		if n > 0 {
			arrived := f.server.cfg.Clock()
			f.openStream(a.resp)
			f.stream.held = a.held
			before := f.stream.events
			a.writing.Store(true)
			relayErr := f.stream.write(buffer[:n])
			now := f.server.cfg.Clock()
			switch {
			case f.stream.events == before:
				a.pick.RecordIdleBytes(now)
			case first:
				a.pick.RecordAnswerHead(now, a.head.Load)
				f.recordFirst(a, now)
				first = false
			default:
				a.pick.RecordBytes(now)
			}
			if f.stream.events > before {
				a.timing.recordEvents(arrived, now)
			}
			a.writing.Store(false)
			if relayErr != nil {
				return f.recordStreamFailure(a, relayErr)
			}
			if !proven && f.attemptEvents() >= provenEvents {
				a.pick.RecordServed(now)
				proven = true
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return f.endStream(a)
		case err != nil:
			return f.recordStreamFailure(a, err)
		}
	}
}

// openStream prepares the relay for an answer. The caller gets the head of the answer from which
// the first event is relayed; until then, any other answer may take its place.
func (f *forwarder) openStream(resp *exchange.Response) {
	if f.stream == nil {
		f.stream = &eventRelay{w: f.w, claim: f.w.claim, flusher: http.NewResponseController(f.w), eventSequence: eventSequence{last: &f.position, lastID: eventNumber(f.call.After)}}
	}
	if f.stream.begun {
		return
	}
	f.stream.writeHead = func() {
		h := f.w.Header()
		for name, values := range f.server.cfg.Protocol.CallerHeader(resp.Header) {
			h[name] = values
		}
		h.Del("Content-Length") // events of several upstreams may follow
		f.limitWrite()          // of all events: the stream ends by the route's timeout
		f.w.WriteHeader(resp.Status)
	}
}

// streamBegun reports whether the caller has got a part of a stream, so that no other answer
// may follow.
func (f *forwarder) streamBegun() bool { return f.stream != nil && f.stream.begun }

// endStream ends the answer after the upstream has ended its stream. The stream is
// incomplete if it ended inside an event, or without any event at the end of a connection
// that alone would tell that it is complete. Only a caller that resumes a stream itself may
// lack no event.
func (f *forwarder) endStream(a *attempt) (bool, balance.Outcome) {
	callerResumes := f.stream == nil && f.call.After != ""
	if !a.resp.Delimited && f.attemptEvents() == 0 && !callerResumes {
		return f.recordStreamFailure(a, io.ErrUnexpectedEOF)
	}
	f.openStream(a.resp)
	if len(f.stream.pending) > 0 {
		return f.recordStreamFailure(a, io.ErrUnexpectedEOF)
	}
	f.stream.begin()
	a.pick.RecordServed(f.server.cfg.Clock())
	f.recordOutcome(a.resp.Status, "")
	return true, balance.OutcomeServed
}

// recordStreamFailure ends an attempt at a stream and discards an incomplete event.
func (f *forwarder) recordStreamFailure(a *attempt, err error) (bool, balance.Outcome) {
	var gone *callerGoneError
	if errors.As(err, &gone) {
		f.callerGone = true
		f.recordOutcome(0, gone.Error())
		return true, balance.OutcomeUnknown
	}
	if f.stream != nil {
		f.stream.pending, f.stream.searched, f.stream.idle = nil, 0, 0
		f.stream.resumed = true
	}
	return false, f.recordIncomplete(a, err, f.attemptEvents())
}

// callerGoneError wraps the error of a write to the caller.
type callerGoneError struct{ cause error }

func (e *callerGoneError) Error() string { return "the caller disconnected: " + e.cause.Error() }
func (e *callerGoneError) Unwrap() error { return e.cause }

// write appends b to the pending bytes and relays all complete events among them, up to the
// first that isn't valid.
func (r *eventRelay) write(b []byte) error {
	if err := r.addPending(b); err != nil {
		return err
	}
	begin, out := 0, 0
	var invalid error
	for invalid == nil {
		end := r.nextEnd(begin)
		if end < 0 {
			break
		}
		var keep bool
		if keep, invalid = r.acceptEvent(r.pending[begin : begin+end]); keep {
			out += copy(r.pending[out:], r.pending[begin:begin+end])
		}
		begin += end
	}
	if out > 0 {
		if !r.begun && r.claim != nil {
			if err := r.claim(); err != nil {
				return err
			}
		}
		r.begin()
		if _, err := r.w.Write(r.pending[:out]); err != nil {
			return &callerGoneError{err}
		}
		if err := r.flusher.Flush(); err != nil {
			return &callerGoneError{err}
		}
	}
	r.pending = r.pending[:copy(r.pending, r.pending[begin:])]
	if len(r.pending) == 0 && cap(r.pending) > maxIdleBuffer {
		r.held.shrink(cap(r.pending))
		r.pending = nil
	}
	if invalid != nil {
		return invalid
	}
	return r.checkLength()
}

// addPending appends b to the pending bytes. It returns an errBudget if there is no room for them.
func (r *eventSequence) addPending(b []byte) (err error) {
	r.idle += len(b)
	r.pending, err = r.held.appendTo(r.pending, b)
	return err
}

// checkLength returns an error if the bytes since the newest accepted event exceed maxEventBytes.
func (r *eventSequence) checkLength() error {
	switch {
	case len(r.pending) > maxEventBytes:
		return errEventTooLong.New("a stream event exceeds %d bytes", maxEventBytes)
	case r.idle > maxEventBytes:
		return errEventTooLong.New("the stream holds no event that the caller lacks within %d bytes", maxEventBytes)
	}
	return nil
}

// nextEnd returns the length of the event at the given byte of pending, or -1 if it is incomplete. It
// doesn't search again what was searched without success.
func (r *eventSequence) nextEnd(begin int) int {
	from := max(r.searched-endBytes, 0)
	end := eventEnd(r.pending[begin+from:])
	if r.searched = 0; end < 0 {
		r.searched = len(r.pending) - begin
		return -1
	}
	return from + end
}

// endBytes is the length of the longest end of an event.
const endBytes = len("\r\n\r\n")

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

// eventNumber returns an event's ID as a number, or -1 if it is none.
func eventNumber(id string) int64 {
	if number, err := strconv.ParseInt(id, 10, 64); err == nil {
		return number
	}
	return -1
}

// findNew reports whether the pending bytes contain an event with data that is new. It removes the
// events before it that the caller has, and keeps comments. It returns readErr, or the error of an
// invalid event.
func (r *eventSequence) findNew(readErr error) (bool, error) {
	for {
		rest := r.pending[r.comments:]
		end := r.nextEnd(r.comments)
		if end < 0 {
			if err := r.checkLength(); err != nil {
				return false, err
			}
			return false, readErr
		}
		isNew, err := r.acceptEvent(rest[:end])
		switch {
		case err != nil || isNew && hasData(rest[:end]):
			return err == nil, err
		case isNew:
			r.comments += end
		default:
			r.pending = append(r.pending[:r.comments], rest[end:]...)
		}
	}
}

// acceptEvent records an event's ID and reports whether the caller still lacks the event.
// After a resumption, the first such event must follow the last one relayed.
func (r *eventSequence) acceptEvent(event []byte) (bool, error) {
	if line, ok := invalidLine(event); ok {
		return false, errInvalidEvent.New("the stream contains the line %.80q, which is no field of an event", line)
	}
	text, ok := eventID(event)
	if !ok {
		if hasData(event) {
			r.countEvent()
		}
		return true, nil
	}
	id := eventNumber(text)
	if id < 0 {
		r.last.set(text)
		r.lastID = -1
		r.countEvent()
		return true, nil
	}
	if r.lastID >= 0 && id <= r.lastID {
		return false, nil
	}
	if r.resumed && r.lastID >= 0 && id != r.lastID+1 {
		return false, errEventGap.New("the resumed stream continues with event %d after event %d", id, r.lastID)
	}
	r.resumed = false
	r.last.set(text)
	r.lastID = id
	r.countEvent()
	return true, nil
}

// countEvent counts an accepted event with data.
func (r *eventSequence) countEvent() {
	r.events++
	r.idle = 0
}

// Names of the fields of an event (HTML, section 9.2.6).
var eventFields = map[string]bool{"data": true, "event": true, "id": true, "retry": true}

// invalidLine returns a line that shows that a block of lines is no event. An event consists of
// comments and fields, at least one of them known unless all are comments. Other fields have a
// value and a name in lower case, unlike the head of an answer.
func invalidLine(event []byte) (line []byte, ok bool) {
	var unknown []byte
	known := false
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		name, _, hasValue := bytes.Cut(line, []byte(":"))
		switch {
		case eventFields[string(name)]:
			known = true
		case len(name) == 0: // a comment, or the end of the event
		case !hasValue, bytes.ContainsFunc(name, func(r rune) bool { return !isFieldNameRune(r) }):
			return line, true
		default:
			unknown = line
		}
	}
	return unknown, unknown != nil && !known
}

// hasData reports whether an event has a data or id field.
func hasData(event []byte) bool {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if bytes.HasPrefix(line, []byte("data")) || bytes.HasPrefix(line, []byte("id")) {
			return true
		}
	}
	return false
}

func isFieldNameRune(r rune) bool {
	return 'a' <= r && r <= 'z' || '0' <= r && r <= '9' || r == '-' || r == '_'
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
