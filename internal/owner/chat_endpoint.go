package owner

import (
	"context"
	"errors"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/admission"
	"github.com/wigeonflow/wigeonflow/internal/answer"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/mesh"
	"github.com/wigeonflow/wigeonflow/internal/upstream"
)

const (
	// maxEngineResumes bounds the resumptions of one attempt by its owner.
	maxEngineResumes = 3
	// engineResumePause precedes each of these resumptions, so that a restarting engine
	// is not overloaded.
	engineResumePause = 100 * time.Millisecond
)

// chat serves MethodChat.
func (s *Server) chat(ctx context.Context, st *mesh.Stream, message []byte) error {
	var req ChatRequest
	if err := mesh.Decode(message, &req); err != nil {
		return fleet.At(err, "owner.chat", st.Peer())
	}
	span, trace := s.cfg.Tracer.Start("owner.chat", req.Header.Trace)
	req.Header.Trace = trace
	defer func() { span.End(st.Err()) }()
	if req.Resume {
		s.orphans.resume(req.Header.Attempt)
	}
	s.running.Add(1)
	defer s.running.Add(-1)
	slot, verdict := s.admitChat(ctx, &req)
	if admitted, err := sendVerdict(ctx, st, slot, verdict); !admitted {
		return err
	}
	t, ok := s.target(req.Header.Upstream)
	if !ok {
		slot.cancel()
		return send(ctx, st, &Event{Closing: &AttemptResult{End: uint8(answer.EndNotConnected), Message: "upstream left the list"}})
	}
	run := &chatRun{owner: s, stream: st, req: &req, slot: slot, engine: t.engine, accepted: req.Resume, offset: req.ResumeAfter}
	return run.run(ctx)
}

// admitChat redirects a chat that another upstream has cached, and otherwise decides on
// its admission.
func (s *Server) admitChat(ctx context.Context, req *ChatRequest) (*slot, Verdict) {
	request := admission.Request{WorkspaceLimit: req.Share, Resume: req.Resume}
	if !request.Resume {
		reason, cachedAt, cached := s.cache.checkCached(req)
		if reason != RejectionNone {
			return nil, s.countVerdict(Verdict{Reason: reason, Elsewhere: cachedAt, Epoch: s.cfg.Authority().Membership().Epoch})
		}
		if !req.Firm {
			request.Yield = admission.YieldFor(cached)
		}
	}
	return s.admit(ctx, &req.Header, request)
}

// chatRun is one admitted attempt at an engine.
type chatRun struct {
	owner    *Server
	stream   *mesh.Stream
	req      *ChatRequest
	slot     *slot
	engine   upstream.Engine
	accepted bool   // the engine has accepted the attempt, which can only be resumed
	offset   uint64 // of the last token event sent to the entry
	tokens   int    // token events sent to the entry
}

// errEntryLost ends the relay of an answer whose entry can no longer receive it. It does
// not count as a failure of the engine.
var errEntryLost = errors.New("the entry has canceled the attempt, or its connection was lost")

// run relays the engine's answer, and resumes it at the engine if it breaks.
func (r *chatRun) run(ctx context.Context) error {
	for resumes := 0; ; resumes++ {
		err := r.relay(ctx)
		if err == nil {
			r.slot.release(r.tokens, false)
			r.owner.cache.recordServed(r.req, r.tokens)
			return r.close(ctx, answer.EndComplete, answer.Facts{MayHaveBeenSent: true, Accepted: true, Complete: true}, nil)
		}
		if errors.Is(err, errEntryLost) {
			return nil // handleLostEntry settles the slot
		}
		end, facts := upstream.EndOf(err)
		retry := end == answer.EndCut && facts.Accepted && resumes < maxEngineResumes
		if !retry || !sleep(ctx, engineResumePause) {
			r.slot.release(r.tokens, end != answer.EndBadRequest)
			return r.close(ctx, end, facts, err)
		}
	}
}

// relay opens the attempt at the engine after offset and sends its events to
// the entry. It returns nil after the engine's explicit end.
func (r *chatRun) relay(ctx context.Context) error {
	h := &r.req.Header
	chat, err := r.engine.Chat(ctx, upstream.ChatRequest{
		Attempt: answer.AttemptID(h.Attempt), Body: r.req.Body,
		Resume: r.accepted, Offset: r.offset, Priority: h.Priority,
		MaxStall: r.owner.cfg.MaxStall, BeforeWrite: r.owner.beforeWrite(h.Upstream),
	})
	if err != nil {
		return err
	}
	r.accepted = true
	r.owner.recordBoot(h.Upstream, chat.BootID())
	batch := newBatch(r.owner.cfg.GatherInterval)
	defer batch.stop()
	for {
		event, err := chat.Next(ctx)
		if err != nil {
			if r.stream.Err() != nil {
				return r.handleLostEntry(chat)
			}
			_ = chat.Detach()
			return err
		}
		if err := batch.fill(chat, event); err != nil {
			_ = chat.Close()
			return err
		}
		if err := r.sendBatch(ctx, batch); err != nil {
			return r.handleLostEntry(chat)
		}
		if batch.done {
			_ = chat.Close()
			return nil
		}
		batch.wait(ctx)
	}
}

// sendBatch sends a batch as one message, and then advances offset past its events.
func (r *chatRun) sendBatch(ctx context.Context, b *batch) error {
	if len(b.buf) == 0 {
		return nil
	}
	r.slot.recordFirstToken()
	if err := r.stream.Send(ctx, b.buf); err != nil {
		return err
	}
	r.offset = max(r.offset, b.offset)
	r.tokens += b.tokens
	return nil
}

// handleLostEntry ends an attempt that its entry has canceled. If the entry's connection is
// lost, the attempt is kept for orphanGrace, within which the entry may resume it.
func (r *chatRun) handleLostEntry(chat upstream.ChatStream) error {
	if !errors.Is(r.stream.Err(), mesh.ErrConnectionLost) {
		_ = chat.Close()
		r.slot.cancel()
		return errEntryLost
	}
	_ = chat.Detach()
	attempt := answer.AttemptID(r.req.Header.Attempt)
	r.owner.orphans.keep(r.req.Header.Attempt, func() {
		ctx, cancel := context.WithTimeout(context.Background(), upstream.CancelTimeout)
		defer cancel()
		_ = r.engine.Cancel(ctx, attempt)
		r.slot.cancel()
	}, r.slot.cancel)
	return errEntryLost
}

// close sends the entry the result of the attempt.
func (r *chatRun) close(ctx context.Context, end answer.End, facts answer.Facts, err error) error {
	result := &AttemptResult{
		End: uint8(end), MayHaveLeft: facts.MayHaveBeenSent, Whole: facts.Complete,
		Declined: facts.Declined, Accepted: facts.Accepted,
	}
	if err != nil {
		result.Message = fleet.At(err, "engine.chat", string(r.req.Header.Upstream)).Error()
		var failed *upstream.AttemptError
		if errors.As(err, &failed) {
			result.Status = failed.Status
			result.RetryAfterMillis = uint32(failed.RetryAfter.Milliseconds())
		}
	}
	return send(ctx, r.stream, &Event{Closing: result})
}

// Facts returns the facts that are certain about the attempt.
func (c *AttemptResult) Facts() answer.Facts {
	return answer.Facts{MayHaveBeenSent: c.MayHaveLeft, Complete: c.Whole, Declined: c.Declined, Accepted: c.Accepted}
}

type marshaler interface {
	MarshalMsg([]byte) ([]byte, error)
}

// send sends one message on a stream.
func send(ctx context.Context, st *mesh.Stream, m marshaler) error {
	encoded, err := m.MarshalMsg(nil)
	if err != nil {
		return fleet.At(err, "owner.encode", st.Peer())
	}
	return fleet.At(st.Send(ctx, encoded), "owner.send", st.Peer())
}

// sleep waits for d, and reports whether d has passed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
