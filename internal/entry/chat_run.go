package entry

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/wigeonflow/wigeonflow/internal/answer"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/mesh"
	"github.com/wigeonflow/wigeonflow/internal/owner"
	"github.com/wigeonflow/wigeonflow/internal/placement"
	"github.com/wigeonflow/wigeonflow/internal/telemetry"
)

const (
	// verdictTimeout bounds waiting for an owner that may not queue the request.
	verdictTimeout = 2 * time.Second
	// maxResumes and the pauses between them outlast a session lease and the
	// election after it, so that a stream survives the loss of its owner.
	maxResumes     = 10
	minResumePause = 100 * time.Millisecond
	maxResumePause = time.Second
	// maxHops bounds the owners that are asked before the request queues.
	maxHops = 4
)

// chatRun is one chat request on its way to a whole answer.
type chatRun struct {
	course
	key      placement.ChatKey
	req      owner.ChatRequest
	estimate int64

	sink      *sink
	assembler *answer.Assembler
	resumes   int
}

// run tries upstreams until the answer is whole or nothing is left to try.
func (r *chatRun) run(ctx context.Context) *answer.Refusal {
	if refusal := r.place(); refusal != nil {
		return refusal
	}
	r.progress = answer.NewProgress(answer.KindChat, answer.Budget{
		Candidates: maxStops * (maxRounds + 1), Resumes: maxResumes,
	})
	r.newAttempt()
	for {
		end, facts := r.attempt(ctx)
		if ctx.Err() != nil && end != answer.EndWhole {
			end = answer.EndCallerLeft
		}
		decision := r.progress.Next(r.server.cfg.Clock(), end, facts, r.relayed())
		r.countEnd(end)
		switch decision.Action {
		case answer.ActionDone:
			r.succeeded(r.req.Header.Workspace)
			r.note()
			return nil
		case answer.ActionCancel:
			return nil
		case answer.ActionRestart:
			if !r.retry(r.req.Header.Workspace) {
				return retriesSpent(decision)
			}
			if !r.next(ctx) {
				return r.refusal(exhausted(decision))
			}
		case answer.ActionNextCandidate:
			if !r.next(ctx) {
				return r.refusal(exhausted(decision))
			}
		case answer.ActionResume:
			r.req.Resume, r.req.ResumeAfter = true, decision.Offset
			r.pause(ctx)
		case answer.ActionFailStream:
			r.sink.fail(*r.refusal(decision))
			return nil
		default:
			return r.refusal(decision)
		}
	}
}

// place orders the candidates.
func (r *chatRun) place() *answer.Refusal {
	candidates, refusal := r.candidates(r.key, "no upstream of the model's pool takes new work")
	if refusal == nil {
		r.route = newRoute(candidates)
	}
	return refusal
}

// newAttempt names the next attempt; its events are the only ones accepted.
func (r *chatRun) newAttempt() {
	r.attempts++
	attempt := string(r.req.Header.Request) + "-" + strconv.Itoa(r.attempts)
	r.req.Header.Attempt = attempt
	r.req.Resume, r.req.ResumeAfter = false, 0
	if r.assembler == nil {
		r.assembler = answer.NewAssembler(answer.AttemptID(attempt))
		return
	}
	r.assembler.Discard()
	r.sink.completion = answer.Completion{}
	r.assembler.Restart(answer.AttemptID(attempt))
}

// next moves on under a new attempt; false means that no stop is left.
func (r *chatRun) next(ctx context.Context) bool {
	if !r.advance(ctx, r.place) {
		return false
	}
	r.newAttempt()
	return true
}

// pause waits before a stream is resumed, longer each time.
func (r *chatRun) pause(ctx context.Context) {
	wait := min(minResumePause<<r.resumes, maxResumePause)
	r.resumes++
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

func (r *chatRun) relayed() answer.Relay {
	return answer.Relay{Started: r.sink.started, Offset: r.assembler.Offset()}
}

// attempt forwards the request to the candidate's owner and relays the answer.
func (r *chatRun) attempt(ctx context.Context) (answer.End, answer.Facts) {
	stop := r.route.current()
	member, ok := r.head(&r.req.Header)
	if !ok {
		return answer.EndNotConnected, answer.Facts{}
	}
	r.req.Basis, r.req.Firm, r.req.Redirected = uint8(stop.Basis), stop.firm, r.route.redirected
	message, err := r.req.MarshalMsg(nil)
	if err != nil {
		r.last = err
		return answer.EndBadRequest, answer.Facts{}
	}
	stream, verdict, end, facts := r.ask(ctx, member, owner.MethodChat, message, stop.queue)
	if stream == nil {
		r.reroute(verdict)
		return end, facts
	}
	defer stream.Close()
	return r.relay(ctx, stream, stop.Upstream)
}

// relay takes the owner's messages and writes the events that are next to the
// caller.
func (r *chatRun) relay(ctx context.Context, stream *mesh.Stream, id fleet.UpstreamID) (answer.End, answer.Facts) {
	facts := answer.Facts{MayHaveLeft: true}
	var event owner.Event // its Data is used again for the next event
	for {
		message, err := stream.Recv(ctx)
		if err != nil {
			r.last = fleet.At(err, "owner.chat", stream.Peer())
			return answer.EndOwnerLost, facts
		}
		for len(message) > 0 {
			if message, err = event.UnmarshalMsg(message); err != nil {
				r.last = fleet.At(err, "entry.decode", stream.Peer())
				return answer.EndCut, facts
			}
			attempt := answer.AttemptID(r.req.Header.Attempt)
			if event.Closing != nil {
				return r.close(event.Closing, attempt, id)
			}
			facts.Accepted = true
			more := len(message) > 0 || stream.Pending()
			if end, ok := r.accept(attempt, event, id, more); !ok {
				return end, facts
			}
		}
	}
}

// accept relays one event, if it is the next. It reports false where the
// attempt must end.
func (r *chatRun) accept(attempt answer.AttemptID, event owner.Event, id fleet.UpstreamID, more bool) (answer.End, bool) {
	ev := answer.Event{Offset: event.Offset, Data: event.Data}
	verdict := r.assembler.Accept(attempt, ev)
	switch verdict {
	case answer.VerdictRelay:
		if err := r.sink.event(ev, id, more); err != nil {
			r.last = fleet.At(err, "entry.write", "caller")
			return answer.EndCallerLeft, false
		}
		return 0, true
	case answer.VerdictGap:
		return answer.EndCut, false
	case answer.VerdictCrossed, answer.VerdictUnmatched:
		r.countDropped(verdict)
		return answer.EndCrossed, false
	default:
		r.countDropped(verdict)
		return 0, true
	}
}

// close takes the owner's account of how the attempt ended.
func (r *chatRun) close(c *owner.Closing, attempt answer.AttemptID, id fleet.UpstreamID) (answer.End, answer.Facts) {
	end := answer.End(c.End)
	r.askAgainAfter(c.RetryAfterMillis)
	if end != answer.EndWhole {
		r.last = errors.New(c.Message)
		return end, c.Facts()
	}
	if r.assembler.Accept(attempt, answer.Event{Done: true}) != answer.VerdictEnd {
		return answer.EndCut, answer.Facts{MayHaveLeft: true, Accepted: true}
	}
	if err := r.sink.finish(id); err != nil {
		r.last = fleet.At(err, "entry.write", "caller")
		return answer.EndCallerLeft, c.Facts()
	}
	return answer.EndWhole, c.Facts()
}

// reroute follows an owner's word about the chat's cache.
func (r *chatRun) reroute(v owner.Verdict) {
	switch {
	case v.Reason == owner.RefusedAskOthers:
		r.route.askOthers()
	case v.Elsewhere != "":
		r.route.redirect(v.Elsewhere, r.server.cfg.Table().Eligible(v.Elsewhere))
	}
}

// note tells the owner of the chat's first candidate where it was served
// instead, so that it is found there when it returns through any router.
func (r *chatRun) note() {
	if !r.key.Chat() {
		return
	}
	served := r.route.current().Upstream
	member, ok := r.ownerOf(r.route.first)
	if !ok || r.route.first == served {
		return
	}
	note := owner.Note{Chat: uint64(r.key), Upstream: served, Tokens: int(r.tokens())}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), verdictTimeout)
		defer cancel()
		var reply owner.Acknowledged
		if err := r.server.cfg.Pool.Call(ctx, member.Addr, owner.MethodNote, &note, &reply); err != nil {
			r.server.log.Debug("chat's upstream not noted", telemetry.LogPeer, member.Addr, "error", err)
		}
	}()
}

// tokens returns what the request used, the estimate where it is not known.
func (r *chatRun) tokens() int64 {
	if r.sink.usage > 0 {
		return r.sink.usage
	}
	if r.progress == nil || r.progress.Outcome() == fleet.OutcomeNotRun {
		return 0
	}
	return r.estimate
}

func (r *chatRun) refusal(d answer.Decision) *answer.Refusal {
	refusal := &answer.Refusal{
		Status: d.Status, Outcome: d.Outcome, RequestID: r.req.Header.Request,
		Code: "no_capacity", Message: "no upstream could serve the request in time",
	}
	switch d.Status {
	case http.StatusServiceUnavailable:
		refusal.RetryAfter = max(r.retryAfter, time.Second)
	case http.StatusBadRequest:
		refusal.Code, refusal.Message = "upstream_refused", "the model refused the request"
	default:
		refusal.Code, refusal.Message = "answer_incomplete", "the answer broke off and could not be resumed"
	}
	if r.last != nil {
		r.server.log.Info("request failed", telemetry.LogRequest, string(r.req.Header.Request),
			telemetry.LogOutcome, d.Outcome.String(), "error", r.last)
	}
	return refusal
}

func (r *chatRun) countEnd(end answer.End) {
	if end != answer.EndWhole {
		name := telemetry.MetricName("attempt_failures", "end", end.String())
		metrics.GetOrRegisterCounter(name, r.server.cfg.Metrics).Inc(1)
	}
}

func (r *chatRun) countDropped(v answer.Verdict) {
	metrics.GetOrRegisterCounter(telemetry.MetricName("events_dropped", "verdict", v.String()), r.server.cfg.Metrics).Inc(1)
}

// receiveVerdict waits for an owner's verdict, as long as the request may queue.
func receiveVerdict(ctx context.Context, stream *mesh.Stream, mayQueue bool, maxWait time.Duration) (owner.Verdict, error) {
	wait := verdictTimeout
	if mayQueue {
		wait += maxWait
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	var verdict owner.Verdict
	message, err := stream.Recv(ctx)
	if err == nil {
		_, err = verdict.UnmarshalMsg(message)
	}
	return verdict, fleet.At(err, "owner.verdict", stream.Peer())
}
