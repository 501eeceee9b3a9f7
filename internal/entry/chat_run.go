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
	// verdictTimeout bounds the wait for the verdict of an owner that may not queue the
	// request, and the notification of the first candidate's owner.
	verdictTimeout = 2 * time.Second
	// maxResumes resumptions with their pauses take longer than a session lease and the
	// election after it, so that a stream survives the loss of its owner.
	maxResumes     = 10
	minResumePause = 100 * time.Millisecond
	maxResumePause = time.Second
	// maxCandidates bounds the candidates whose owners are asked before the request
	// queues.
	maxCandidates = 4
)

// chatRun drives one chat request through its attempts until its answer is complete.
type chatRun struct {
	forwarder
	key      placement.ChatKey
	req      owner.ChatRequest
	estimate int64

	sink      *sink
	assembler *answer.Assembler
	resumes   int
}

// run makes attempts until the answer is complete or no candidate is left. The rejection
// is nil if the caller has been answered or has disconnected.
func (r *chatRun) run(ctx context.Context) *answer.Rejection {
	if rejection := r.orderCandidates(); rejection != nil {
		return rejection
	}
	r.progress = answer.NewProgress(answer.KindChat, answer.Budget{
		Candidates: maxTargets * (maxRounds + 1), Resumes: maxResumes,
	})
	r.startAttempt()
	for {
		end, facts := r.attempt(ctx)
		if ctx.Err() != nil && end != answer.EndComplete {
			end = answer.EndCallerLeft
		}
		decision := r.progress.Next(r.server.cfg.Clock(), end, facts, r.relayState())
		r.countEnd(end)
		switch decision.Action {
		case answer.ActionDone:
			r.countSuccess(r.req.Header.Workspace)
			r.notifyFirstOwner()
			return nil
		case answer.ActionCancel:
			return nil
		case answer.ActionRestart:
			if !r.takeRetry(r.req.Header.Workspace) {
				return retryBudgetSpent(decision)
			}
			if !r.nextAttempt(ctx) {
				return r.rejection(notAdmitted(decision))
			}
		case answer.ActionNextCandidate:
			if !r.nextAttempt(ctx) {
				return r.rejection(notAdmitted(decision))
			}
		case answer.ActionResume:
			r.req.Resume, r.req.ResumeAfter = true, decision.Offset
			r.pause(ctx)
		case answer.ActionFailStream:
			r.sink.writeError(*r.rejection(decision))
			return nil
		default:
			return r.rejection(decision)
		}
	}
}

// orderCandidates starts a route over the candidates. It returns a rejection if there
// are none.
func (r *chatRun) orderCandidates() *answer.Rejection {
	candidates, rejection := r.candidates(r.key, "no upstream of the model's pool takes new work")
	if rejection == nil {
		r.route = newRoute(candidates)
	}
	return rejection
}

// startAttempt starts an attempt with a new ID. Events of earlier attempts are dropped
// from then on.
func (r *chatRun) startAttempt() {
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

// nextAttempt starts an attempt at the next target of the route, and reports whether there
// is one.
func (r *chatRun) nextAttempt(ctx context.Context) bool {
	if !r.advance(ctx, r.orderCandidates) {
		return false
	}
	r.startAttempt()
	return true
}

// pause waits before a stream is resumed, with exponential backoff.
func (r *chatRun) pause(ctx context.Context) {
	wait := min(minResumePause<<r.resumes, maxResumePause)
	r.resumes++
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// relayState returns what the caller has received of the answer.
func (r *chatRun) relayState() answer.RelayState {
	return answer.RelayState{Started: r.sink.started, Offset: r.assembler.Offset()}
}

// attempt forwards the request to the candidate's owner and relays the answer.
func (r *chatRun) attempt(ctx context.Context) (answer.End, answer.Facts) {
	target := r.route.current()
	member, ok := r.setHeader(&r.req.Header)
	if !ok {
		return answer.EndNotConnected, answer.Facts{}
	}
	r.req.Basis, r.req.Firm, r.req.Redirected = uint8(target.Basis), target.firm, r.route.redirected
	message, err := r.req.MarshalMsg(nil)
	if err != nil {
		r.lastErr = err
		return answer.EndBadRequest, answer.Facts{}
	}
	stream, verdict, end, facts := r.requestAdmission(ctx, member, owner.MethodChat, message, target.queue)
	if stream == nil {
		r.reroute(verdict)
		return end, facts
	}
	defer stream.Close()
	return r.relay(ctx, stream, target.Upstream)
}

// relay receives the owner's messages and writes their events to the caller, until
// the attempt ends.
func (r *chatRun) relay(ctx context.Context, stream *mesh.Stream, id fleet.UpstreamID) (answer.End, answer.Facts) {
	facts := answer.Facts{MayHaveBeenSent: true}
	var event owner.Event // Data is reused for the next event
	for {
		message, err := stream.Recv(ctx)
		if err != nil {
			r.lastErr = fleet.At(err, "owner.chat", stream.Peer())
			return answer.EndOwnerLost, facts
		}
		for len(message) > 0 {
			if message, err = event.UnmarshalMsg(message); err != nil {
				r.lastErr = fleet.At(err, "entry.decode", stream.Peer())
				return answer.EndCut, facts
			}
			attempt := answer.AttemptID(r.req.Header.Attempt)
			if event.Closing != nil {
				return r.close(event.Closing, attempt, id)
			}
			facts.Accepted = true
			more := len(message) > 0 || stream.Pending()
			if end, ok := r.relayEvent(attempt, event, id, more); !ok {
				return end, facts
			}
		}
	}
}

// relayEvent relays an event if it is the next one of the answer. It reports false if the
// attempt must end.
func (r *chatRun) relayEvent(attempt answer.AttemptID, event owner.Event, id fleet.UpstreamID, more bool) (answer.End, bool) {
	ev := answer.Event{Offset: event.Offset, Data: event.Data}
	verdict := r.assembler.Accept(attempt, ev)
	switch verdict {
	case answer.VerdictRelay:
		if err := r.sink.writeEvent(ev, id, more); err != nil {
			r.lastErr = fleet.At(err, "entry.write", "caller")
			return answer.EndCallerLeft, false
		}
		return 0, true
	case answer.VerdictGap:
		return answer.EndCut, false
	case answer.VerdictMisdelivered, answer.VerdictUnmatched:
		r.countDropped(verdict)
		return answer.EndMisdelivered, false
	default:
		r.countDropped(verdict)
		return 0, true
	}
}

// close ends the attempt with the result that the owner reports, and returns its
// end and facts.
func (r *chatRun) close(c *owner.AttemptResult, attempt answer.AttemptID, id fleet.UpstreamID) (answer.End, answer.Facts) {
	end := answer.End(c.End)
	r.raiseRetryAfter(c.RetryAfterMillis)
	if end != answer.EndComplete {
		r.lastErr = errors.New(c.Message)
		return end, c.Facts()
	}
	if r.assembler.Accept(attempt, answer.Event{Done: true}) != answer.VerdictEnd {
		return answer.EndCut, answer.Facts{MayHaveBeenSent: true, Accepted: true}
	}
	if err := r.sink.finish(id); err != nil {
		r.lastErr = fleet.At(err, "entry.write", "caller")
		return answer.EndCallerLeft, c.Facts()
	}
	return answer.EndComplete, c.Facts()
}

// reroute changes the route if an owner's verdict names the upstream that has the chat
// cached, or asks to try the other candidates first.
func (r *chatRun) reroute(v owner.Verdict) {
	switch {
	case v.Reason == owner.RejectionAskOthers:
		r.route.askOthers()
	case v.Elsewhere != "":
		r.route.redirect(v.Elsewhere, r.server.cfg.Table().Eligible(v.Elsewhere))
	}
}

// notifyFirstOwner notifies the owner of the chat's first candidate if another upstream
// has served the chat, so that later requests of the chat find that upstream through
// any router.
func (r *chatRun) notifyFirstOwner() {
	if !r.key.Chat() {
		return
	}
	served := r.route.current().Upstream
	member, ok := r.ownerOf(r.route.first)
	if !ok || r.route.first == served {
		return
	}
	notice := owner.ServedNotice{Chat: uint64(r.key), Upstream: served, Tokens: int(r.tokens())}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), verdictTimeout)
		defer cancel()
		var reply owner.Empty
		if err := r.server.cfg.Pool.Call(ctx, member.Addr, owner.MethodServedNotice, &notice, &reply); err != nil {
			r.server.log.Debug("cannot notify the first candidate's owner of the chat's upstream", telemetry.LogPeer, member.Addr, "error", err)
		}
	}()
}

// tokens returns the tokens that the request used: the engine's count if it is known,
// otherwise 0 if the request did not run, and the estimate if it may have run.
func (r *chatRun) tokens() int64 {
	if r.sink.usage > 0 {
		return r.sink.usage
	}
	if r.progress == nil || r.progress.Outcome() == fleet.OutcomeNotRun {
		return 0
	}
	return r.estimate
}

// rejection returns the rejection of a failed request for the given decision, and logs the
// latest failure.
func (r *chatRun) rejection(d answer.Decision) *answer.Rejection {
	rejection := &answer.Rejection{
		Status: d.Status, Outcome: d.Outcome, RequestID: r.req.Header.Request,
		Code: "no_capacity", Message: "no upstream could serve the request in time",
	}
	switch d.Status {
	case http.StatusServiceUnavailable:
		rejection.RetryAfter = max(r.retryAfter, time.Second)
	case http.StatusBadRequest:
		rejection.Code, rejection.Message = "upstream_refused", "the model refused the request"
	default:
		rejection.Code, rejection.Message = "answer_incomplete", "the answer broke off and could not be resumed"
	}
	if r.lastErr != nil {
		r.server.log.Info("request failed", telemetry.LogRequest, string(r.req.Header.Request),
			telemetry.LogOutcome, d.Outcome.String(), "error", r.lastErr)
	}
	return rejection
}

// countEnd counts a failed attempt by its end.
func (r *chatRun) countEnd(end answer.End) {
	if end != answer.EndComplete {
		name := telemetry.MetricName("attempt_failures", "end", end.String())
		metrics.GetOrRegisterCounter(name, r.server.cfg.Metrics).Inc(1)
	}
}

// countDropped counts an event that was not relayed.
func (r *chatRun) countDropped(v answer.Verdict) {
	metrics.GetOrRegisterCounter(telemetry.MetricName("events_dropped", "verdict", v.String()), r.server.cfg.Metrics).Inc(1)
}

// receiveVerdict waits for an owner's verdict for verdictTimeout, and for maxWait more
// if the owner may queue the request.
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
		err = mesh.Decode(message, &verdict)
	}
	return verdict, fleet.At(err, "owner.verdict", stream.Peer())
}
