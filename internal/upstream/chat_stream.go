package upstream

import (
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/answer"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// chatStream is a ChatStream over HTTP.
type chatStream struct {
	engine  *HTTPEngine
	attempt answer.AttemptID
	resp    *http.Response
	parser  answer.Parser
	facts   answer.Facts
	failed  error // returned by Next from now on; nil while the stream is read

	openCtx context.Context // with which the stream was opened; parent of ctx
	ctx     context.Context
	cancel  context.CancelFunc
	stall   *stallTimer // cancels ctx

	mu       sync.Mutex
	ended    bool // the stream ended or failed; there is no generation to cancel
	complete bool // the stream was read to its end
	closed   bool
}

// startChat sends one attempt and reads the answer's header.
func (e *HTTPEngine) startChat(ctx context.Context, req ChatRequest) (*chatStream, error) {
	s := &chatStream{engine: e, attempt: req.Attempt, openCtx: ctx}
	s.ctx, s.cancel = context.WithCancel(ctx)
	s.stall = newStallTimer(req.MaxStall, s.cancel)
	if err := s.open(req); err != nil {
		s.release(false)
		return nil, err
	}
	return s, nil
}

// open sends the request and checks the header of the answer.
func (s *chatStream) open(req ChatRequest) error {
	if err := req.beforeWrite(); err != nil {
		return s.fail(answer.EndRejected, err)
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	out, err := s.engine.newChat(httptrace.WithClientTrace(s.ctx, trace), req)
	if err != nil {
		return s.fail(answer.EndBadRequest, err)
	}
	s.resp, err = roundTrip(s.engine.base.transport, out)
	s.facts.MayHaveBeenSent = connected.Load()
	if err != nil {
		return s.failRoundTrip(err)
	}
	return s.checkHeaders(req)
}

// failRoundTrip ends the stream after a request without an answer, and returns its error.
func (s *chatStream) failRoundTrip(err error) error {
	if !s.facts.MayHaveBeenSent {
		return s.fail(answer.EndNotConnected, err)
	}
	return s.fail(answer.EndCut, s.incompleteCause(err))
}

// checkHeaders accepts the answer only if its request ID names the attempt. An error
// answer may omit the ID, but must not name another attempt.
func (s *chatStream) checkHeaders(req ChatRequest) error {
	got := s.resp.Header.Get(answer.HeaderRequestID)
	failed := s.resp.StatusCode != http.StatusOK
	if got != string(req.Attempt) && (got != "" || !failed) {
		return s.fail(answer.EndMisdelivered, ErrMisdelivered.New("misdelivered answer: it names attempt %q instead of %q", got, req.Attempt))
	}
	if failed {
		return s.failStatus(req)
	}
	kind, _, err := mime.ParseMediaType(s.resp.Header.Get("Content-Type"))
	if err != nil || kind != "text/event-stream" {
		return s.fail(answer.EndCut, ErrBadAnswer.New("the answer's content type is %q instead of text/event-stream", kind))
	}
	s.facts.Accepted = true
	return nil
}

// failStatus reads an error answer and returns its error. The status is only relied on
// if the answer is complete.
func (s *chatStream) failStatus(req ChatRequest) error {
	body, err := readBounded(s.resp.Body, maxErrorBodyBytes)
	if err != nil {
		return s.fail(answer.EndCut, s.incompleteCause(err))
	}
	status := s.resp.StatusCode
	end := answer.EndBadRequest
	switch {
	case status == http.StatusConflict && req.Resume:
		end = answer.EndResumeDeclined
	case declined(status):
		end = answer.EndDeclined
		s.facts.Declined = true
	case status >= http.StatusInternalServerError:
		end = answer.EndCut
	}
	s.facts.Complete = end == answer.EndBadRequest || end == answer.EndDeclined
	failure := s.fail(end, ErrUnexpectedStatus.New("the engine answered with status %d", status))
	failure.Status, failure.Body = status, body
	failure.RetryAfter = retryAfter(s.resp.Header)
	return failure
}

// Next implements ChatStream.
func (s *chatStream) Next(ctx context.Context) (answer.Event, error) {
	if s.failed != nil {
		return answer.Event{}, s.failed
	}
	if ctx.Done() != nil && ctx != s.openCtx {
		stop := context.AfterFunc(ctx, s.cancel)
		defer stop()
	}
	for {
		ev, ok, err := s.parser.Next()
		if err == nil && ok {
			s.stall.reset()
			return s.recordEvent(ev), nil
		}
		if err == nil {
			err = s.read()
		}
		if err != nil {
			s.failed = s.fail(answer.EndCut, s.incompleteCause(err))
			return answer.Event{}, s.failed
		}
	}
}

// Buffered implements ChatStream.
func (s *chatStream) Buffered() (answer.Event, bool) {
	if s.failed != nil {
		return answer.Event{}, false
	}
	ev, ok, err := s.parser.Next()
	if err != nil {
		s.failed = s.fail(answer.EndCut, err)
		return answer.Event{}, false
	}
	if !ok {
		return answer.Event{}, false
	}
	return s.recordEvent(ev), true
}

// recordEvent ends the stream if ev is the end event, and returns ev.
func (s *chatStream) recordEvent(ev answer.Event) answer.Event {
	if ev.Done {
		s.facts.Complete = true
		s.failed = io.EOF
		s.markEnded(true)
	}
	return ev
}

// read reads the available bytes from the connection. It returns an error only if there
// are none, so that events received before the error are not lost.
func (s *chatStream) read() error {
	space, err := s.parser.Space()
	if err != nil {
		return err
	}
	n, err := s.resp.Body.Read(space)
	s.parser.Advance(n)
	if n > 0 {
		return nil
	}
	if errors.Is(err, io.EOF) {
		return ErrIncomplete.New("the stream ended without an end event")
	}
	return err
}

// incompleteCause returns the cause of an incomplete answer: an ErrStalled that wraps err
// if the stall timer has canceled the answer, and err otherwise.
func (s *chatStream) incompleteCause(err error) error {
	if s.stall.fired() {
		return ErrStalled.Wrap(err, "no event received for %s", s.stall.limit)
	}
	return err
}

// fail ends the stream and returns its error.
func (s *chatStream) fail(end answer.End, cause error) *AttemptError {
	s.markEnded(false)
	return &AttemptError{End: end, Facts: s.facts, Cause: fleet.At(cause, "engine.chat", s.engine.base.addr)}
}

// markEnded marks the stream as ended; complete is set if it was read to its end.
func (s *chatStream) markEnded(complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended, s.complete = true, complete
}

// BootID implements ChatStream.
func (s *chatStream) BootID() fleet.BootID {
	return fleet.BootID(s.resp.Header.Get(headerEngineBoot))
}

// Facts implements ChatStream.
func (s *chatStream) Facts() answer.Facts { return s.facts }

// Close implements ChatStream.
func (s *chatStream) Close() error {
	state := s.markClosed()
	if state.closed {
		return nil
	}
	s.release(state.complete)
	if state.ended {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), CancelTimeout)
	defer cancel()
	return s.engine.Cancel(ctx, s.attempt)
}

// Detach implements ChatStream.
func (s *chatStream) Detach() error {
	if state := s.markClosed(); !state.closed {
		s.release(state.complete)
	}
	return nil
}

// streamState is the state of a stream before markClosed.
type streamState struct{ ended, complete, closed bool }

// markClosed marks the stream as closed and returns its previous state.
func (s *chatStream) markClosed() streamState {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := streamState{ended: s.ended, complete: s.complete, closed: s.closed}
	s.closed = true
	return state
}

// release returns the connection to the pool if the answer was read to its end, and
// closes it otherwise.
func (s *chatStream) release(complete bool) {
	s.stall.stop()
	if s.resp != nil {
		if complete {
			_, _ = io.CopyN(io.Discard, s.resp.Body, maxDrainBytes)
		}
		_ = s.resp.Body.Close()
	}
	s.cancel()
}

// stallTimer cancels a stream that pauses for longer than a limit.
type stallTimer struct {
	limit   time.Duration
	timer   *time.Timer
	expired atomic.Bool
}

// newStallTimer starts a timer that calls cancel after limit; 0 means no timer.
func newStallTimer(limit time.Duration, cancel context.CancelFunc) *stallTimer {
	t := &stallTimer{limit: limit}
	if limit > 0 {
		t.timer = time.AfterFunc(limit, func() {
			t.expired.Store(true)
			cancel()
		})
	}
	return t
}

func (t *stallTimer) reset() {
	if t.timer != nil {
		t.timer.Reset(t.limit)
	}
}

func (t *stallTimer) stop() {
	if t.timer != nil {
		t.timer.Stop()
	}
}

// fired reports whether the timer has canceled the stream.
func (t *stallTimer) fired() bool { return t.expired.Load() }
