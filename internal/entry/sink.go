package entry

import (
	"net/http"
	"time"

	"github.com/tidwall/gjson"
	"github.com/wigeonflow/wigeonflow/internal/answer"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// sink writes an answer to its caller, either as a stream of events or as one
// completion.
type sink struct {
	w            http.ResponseWriter
	control      *http.ResponseController
	writeTimeout time.Duration
	stream       bool
	wantsUsage   bool

	completion answer.Completion // collects an answer that is not streamed
	started    bool              // the header was written
	usage      int64             // tokens, as the engine reports them
	buf        []byte
	extendedAt time.Time // when the write deadline was last extended
}

func newSink(w http.ResponseWriter, stream, wantsUsage bool, writeTimeout time.Duration) *sink {
	return &sink{w: w, control: http.NewResponseController(w), stream: stream, wantsUsage: wantsUsage, writeTimeout: writeTimeout}
}

// writeEvent writes the next event of the answer. If more is set, another event is already
// available, so that both can be written together.
func (s *sink) writeEvent(ev answer.Event, upstream fleet.UpstreamID, more bool) error {
	if ev.Offset == 0 {
		s.usage = gjson.GetBytes(ev.Data, "usage.total_tokens").Int()
		if s.usage == 0 {
			usage := gjson.GetManyBytes(ev.Data, "usage.prompt_tokens", "usage.completion_tokens")
			s.usage = usage[0].Int() + usage[1].Int()
		}
	}
	if !s.stream {
		return s.completion.Add(ev.Data)
	}
	if ev.Offset == 0 && !s.wantsUsage {
		return nil
	}
	s.start(upstream)
	s.buf = answer.AppendData(s.buf, ev.Data)
	if more && len(s.buf) < flushBytes {
		return nil
	}
	return s.flush()
}

// flushBytes bounds the bytes that are buffered for the next event.
const flushBytes = 16 << 10

// start writes the header of a streamed answer on its first call.
func (s *sink) start(upstream fleet.UpstreamID) {
	if s.started {
		return
	}
	s.started = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set(HeaderUpstream, string(upstream))
	h.Set(answer.HeaderOutcome, fleet.OutcomeRan.String())
	s.w.WriteHeader(http.StatusOK)
}

// flush writes the buffered events to the caller.
func (s *sink) flush() error {
	if len(s.buf) == 0 {
		return nil
	}
	s.extendDeadline(time.Now())
	_, err := s.w.Write(s.buf)
	s.buf = s.buf[:0]
	if err != nil {
		return err
	}
	return s.control.Flush()
}

// extensionsPerTimeout is the maximum number of deadline extensions in one write timeout.
// A caller that reads nothing may exceed the timeout by up to the interval between two of
// them.
const extensionsPerTimeout = 8

// extendDeadline extends the write deadline to at least writeTimeout from now. It does
// so once per writeTimeout/extensionsPerTimeout instead of with every write.
func (s *sink) extendDeadline(now time.Time) {
	slack := s.writeTimeout / extensionsPerTimeout
	if now.Sub(s.extendedAt) < slack {
		return
	}
	s.extendedAt = now
	_ = s.control.SetWriteDeadline(now.Add(s.writeTimeout + slack))
}

// finish writes the end of a complete answer.
func (s *sink) finish(upstream fleet.UpstreamID) error {
	if s.stream {
		s.start(upstream)
		s.buf = answer.AppendDone(s.buf)
		return s.flush()
	}
	body, err := s.completion.Body()
	if err != nil {
		return err
	}
	h := s.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderUpstream, string(upstream))
	h.Set(answer.HeaderOutcome, fleet.OutcomeRan.String())
	s.started = true
	_ = s.control.SetWriteDeadline(time.Now().Add(s.writeTimeout))
	_, err = s.w.Write(body)
	return err
}

// writeError ends a stream that has begun with an error event.
func (s *sink) writeError(r answer.Rejection) {
	s.buf = r.AppendEvent(s.buf)
	_ = s.flush()
}
