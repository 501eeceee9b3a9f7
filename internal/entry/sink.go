package entry

import (
	"net/http"
	"time"

	"github.com/tidwall/gjson"
	"github.com/wigeonflow/wigeonflow/internal/answer"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// sink writes an answer to its caller: event by event, or gathered to a whole.
type sink struct {
	w            http.ResponseWriter
	control      *http.ResponseController
	writeTimeout time.Duration
	stream       bool
	wantsUsage   bool

	completion answer.Completion // of an answer that is not streamed
	started    bool              // a byte of the body went to the caller
	usage      int64             // tokens that the engine counted
	buf        []byte
	renewed    time.Time // when the write deadline was last moved
}

func newSink(w http.ResponseWriter, stream, wantsUsage bool, writeTimeout time.Duration) *sink {
	return &sink{w: w, control: http.NewResponseController(w), stream: stream, wantsUsage: wantsUsage, writeTimeout: writeTimeout}
}

// event takes one event that is the next of the answer. more tells that another
// follows at once, so that writing can wait for it.
func (s *sink) event(ev answer.Event, upstream fleet.UpstreamID, more bool) error {
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

// flushBytes bounds what is held back for the next event.
const flushBytes = 16 << 10

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

func (s *sink) flush() error {
	if len(s.buf) == 0 {
		return nil
	}
	s.renewDeadline(time.Now())
	_, err := s.w.Write(s.buf)
	s.buf = s.buf[:0]
	if err != nil {
		return err
	}
	return s.control.Flush()
}

// renewFraction is the part of the write timeout by which a caller that reads
// nothing may be found out later.
const renewFraction = 8

// renewDeadline moves the write deadline to at least writeTimeout from now, once
// in a part of it rather than with every write.
func (s *sink) renewDeadline(now time.Time) {
	slack := s.writeTimeout / renewFraction
	if now.Sub(s.renewed) < slack {
		return
	}
	s.renewed = now
	_ = s.control.SetWriteDeadline(now.Add(s.writeTimeout + slack))
}

// finish ends the answer once its explicit end was received.
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

// fail ends a stream that has begun with an error event.
func (s *sink) fail(r answer.Refusal) {
	s.buf = r.AppendEvent(s.buf)
	_ = s.flush()
}
