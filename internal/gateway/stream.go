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

// streamBuffer is the size of the reads of a stream in bytes: some events.
const streamBuffer = 2 << 10

// maxEvent bounds one event in bytes.
const maxEvent = 1 << 20

var (
	errEventTooLong = fleet.Errors.NewType("gateway_event_too_long")
	errEventGap     = fleet.Errors.NewType("gateway_event_gap")
)

// relay passes a stream's events on. It outlives the attempts at upstreams.
type relay struct {
	w       http.ResponseWriter
	flusher *http.ResponseController
	last    string // ID of the last event that was passed on
	lastID  int64  // last as a number, -1 where it is none
	pending []byte // the beginning of an event
	resumed bool   // the next event must follow lastID
	events  int
}

// relayStream passes a stream on, event by event. An event that is cut off never
// reaches the caller, so that another upstream can go on after the last one.
func (c *course) relayStream(ctx context.Context, pick *balance.Pick, resp *exchange.Response, head Head) (done bool, o balance.Outcome) {
	first := true
	buffer := make([]byte, streamBuffer)
	for {
		n, err := resp.Read(buffer)
		if n > 0 {
			now := c.server.cfg.Clock()
			if first {
				pick.Answered(now, head.Load)
				first = false
			} else {
				pick.Heard(now)
			}
			c.beginStream(resp)
			if failed := c.stream.take(buffer[:n]); failed != nil {
				return c.streamFailed(ctx, failed)
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return c.endStream(ctx, resp)
		case err != nil:
			return c.streamFailed(ctx, err)
		}
	}
}

// beginStream writes the answer's header, once.
func (c *course) beginStream(resp *exchange.Response) {
	if c.stream != nil {
		return
	}
	h := c.w.Header()
	for name, values := range c.server.cfg.Dialect.Return(resp.Header) {
		h[name] = values
	}
	h.Del("Content-Length") // events of several upstreams may follow
	c.stream = &relay{w: c.w, flusher: http.NewResponseController(c.w), lastID: -1}
	if id, err := strconv.ParseInt(c.call.After, 10, 64); err == nil {
		c.stream.last, c.stream.lastID = c.call.After, id
	}
	c.w.WriteHeader(resp.Status)
}

func (c *course) endStream(ctx context.Context, resp *exchange.Response) (bool, balance.Outcome) {
	c.beginStream(resp)
	if len(c.stream.pending) > 0 {
		return c.streamFailed(ctx, io.ErrUnexpectedEOF)
	}
	c.finish(resp.Status, "")
	return true, balance.OutcomeServed
}

// streamFailed ends an attempt at a stream. What had come of an event is dropped.
func (c *course) streamFailed(ctx context.Context, err error) (bool, balance.Outcome) {
	var gone *callerGoneError
	if errors.As(err, &gone) {
		c.finish(0, gone.Error())
		return true, balance.OutcomeUnknown
	}
	if c.stream != nil {
		c.stream.pending = nil
		c.stream.resumed = true
	}
	return false, c.broken(ctx, err)
}

// callerGoneError is a failed write to the caller.
type callerGoneError struct{ cause error }

func (e *callerGoneError) Error() string { return "the caller left: " + e.cause.Error() }
func (e *callerGoneError) Unwrap() error { return e.cause }

// take passes on the whole events of what has come so far.
func (r *relay) take(b []byte) error {
	r.pending = append(r.pending, b...)
	begin, out := 0, 0
	for {
		end := eventEnd(r.pending[begin:])
		if end < 0 {
			break
		}
		keep, err := r.accept(r.pending[begin : begin+end])
		if err != nil {
			return err
		}
		if keep {
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
	r.pending = r.pending[:copy(r.pending, r.pending[begin:])]
	if len(r.pending) > maxEvent {
		return errEventTooLong.New("an event is longer than %d bytes", maxEvent)
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

// accept notes an event's ID and tells whether the caller lacks the event. After a
// resumption the first one must follow the last that was passed on.
func (r *relay) accept(event []byte) (bool, error) {
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
		return false, errEventGap.New("event %d follows event %d", id, r.lastID)
	}
	r.resumed = false
	r.last, r.lastID = text, id
	r.events++
	return true, nil
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
