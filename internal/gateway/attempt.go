package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/joomcode/errorx"

	"github.com/wigeonflow/wigeonflow/internal/balance"
	"github.com/wigeonflow/wigeonflow/internal/exchange"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/routes"
	"github.com/wigeonflow/wigeonflow/internal/telemetry"
)

// Causes with which an attempt is canceled.
var (
	errDeadline    = fleet.Errors.NewType("gateway_deadline").New("the request's time limit has passed")
	errIdleTimeout = fleet.Errors.NewType("gateway_silent").New("nothing that serves the request received from the upstream within the idle timeout")
	errSlow        = fleet.Errors.NewType("gateway_slow").New("no complete answer within the timeout derived from the route's latency target")
	errNotNeeded   = fleet.Errors.NewType("gateway_not_needed").New("another attempt serves the request")
	errNoEvent     = fleet.Errors.NewType("gateway_no_event").New("no event received within the time for which two upstreams may run a request")
)

// maxOverlap bounds the time for which an upstream that has begun to run a stream's request may
// be waited for while the one before it still runs it, too. Operators allow 400 ms.
const maxOverlap = 250 * time.Millisecond

// errFailedAnswer is the type of errors of attempts with a complete answer that doesn't serve
// the request.
var errFailedAnswer = fleet.Errors.NewType("gateway_failed_answer")

// attempt is one exchange of a request with an upstream. It is opened by the request's
// forwarder, or as a replacement by the watcher of the attempt before it.
type attempt struct {
	pick     *balance.Pick
	after    string // ID of the event after which a stream resumes; empty for the start
	resumes  bool   // after is an event that this router has relayed
	began    time.Duration
	span     telemetry.Span
	trace    string
	retry    bool // a retry was taken for it out of the budget
	again    bool // the upstream may have run the request before
	isReturn bool // an earlier attempt at the upstream was canceled for another one; it may be asked again

	answering atomic.Bool // the answer has begun
	writing   atomic.Bool // the answer, or a part of it, is being written to the caller
	overlap   overlapTimer

	ctx      context.Context
	cancel   context.CancelCauseFunc
	deadline *time.Timer

	// opened is closed once a replacement has been opened; nil for other attempts.
	opened chan struct{}

	// The fields below are set when the attempt is opened.

	sent bool // the request may have been sent to the upstream
	ran  bool // the upstream may have run it
	resp *exchange.Response
	head Head
	body io.Reader // of resp
	err  error     // why there is no answer to relay
	// complete is an answer that was read to its end, of a replacement.
	complete *answer
	// held counts what this attempt holds of its answer.
	held *holding
	// failedAnswer is a complete answer that only serves the caller if there is no better one.
	failedAnswer *answer
	outcome      balance.Outcome // for the upstream's health

	rollout rolloutAttempt
	timing  answerTiming
}

// newAttempt returns an attempt that holds the slot of pick, and records it in the history.
func (f *forwarder) newAttempt(pick *balance.Pick) *attempt {
	a := &attempt{pick: pick, after: f.position.get(), began: f.server.cfg.Clock(), outcome: balance.OutcomeUnknown}
	a.resumes = a.after != f.call.After
	a.ctx, a.cancel = context.WithCancelCause(f.ctx)
	a.deadline = time.AfterFunc(f.deadline-a.began, func() { a.cancel(errDeadline) })
	a.held = f.server.held.open(heldStream, a.cancel)
	a.span, a.trace = f.server.cfg.Tracer.Start("gateway.attempt", f.trace)
	a.span.Set("upstream", string(pick.Upstream.ID))
	f.history.begin(a)
	f.beginRollout(a)
	return a
}

// endAttempt releases what the attempt holds, and gives its retry back if nothing was sent.
func (f *forwarder) endAttempt(a *attempt) {
	now := f.server.cfg.Clock()
	if a.retry && !a.sent {
		f.server.cfg.Balancer.ReturnRetry(now, f.pool.Name)
	}
	a.deadline.Stop()
	if a.resp != nil {
		a.resp.Close() // keeps the connection, unlike a canceled context
	}
	a.cancel(nil)
	a.held.release()
	a.pick.End(now, a.outcome)
	f.endRollout(a, now)
	a.span.End(a.err)
}

// runAttempt opens the attempt unless it is a replacement, and relays its answer. It returns
// true if the caller has received its final answer.
func (f *forwarder) runAttempt(a *attempt) (done bool) {
	f.pick = a.pick
	f.eventsBefore += f.attemptEvents()
	w := f.watch(a)
	defer func() {
		f.replacements = w.stop(done)
		if errors.Is(a.err, errIdleTimeout) || errors.Is(a.err, errSlow) {
			f.history.recordReplaced(a)
		}
		f.endAttempt(a)
	}()
	if a.opened != nil {
		a.overlap.stop()
		<-a.opened
		if a.complete == nil {
			a.held.move(heldStream, a.cancel)
		}
	} else {
		f.open(a)
	}
	f.history.settle(a, a.wasNeeded())
	f.keepFailedAnswer(a)
	if f.lastErr = a.err; a.err != nil {
		return false
	}
	a.answering.Store(true)
	switch {
	case f.hasMovedOn(a), f.conflicts(a):
		a.err = errNotNeeded
	case a.head.Stream:
		f.bindVersion(a)
		done, a.outcome = f.relayStream(a)
	case f.streamBegun():
		a.outcome = f.recordFailedAnswer(a)
	default:
		done, a.outcome = f.relayComplete(a)
	}
	f.lastErr = a.err
	return done
}

// wasNeeded reports whether an attempt that was opened has failed or answered, rather than been
// canceled in favor of another one.
func (a *attempt) wasNeeded() bool {
	return !errors.Is(a.err, errNotNeeded) && !errors.Is(a.err, errNoEvent)
}

// hasMovedOn reports whether events were relayed since a replacement was opened that can't be
// told from those it will send, because their IDs aren't numbers.
func (f *forwarder) hasMovedOn(a *attempt) bool {
	return a.opened != nil && f.stream != nil && f.stream.lastID < 0 && f.position.get() != a.after
}

// keepFailedAnswer keeps an attempt's failed answer, if there is one, for a request that no upstream
// serves, in place of the former one.
func (f *forwarder) keepFailedAnswer(a *attempt) {
	failed := a.failedAnswer
	if failed == nil {
		return
	}
	f.failedMu.Lock()
	defer f.failedMu.Unlock()
	if !failed.held.move(heldFailed, func(err error) { f.dropFailedAnswer(failed, err) }) {
		return
	}
	a.held = nil // failed has it
	f.failedAnswer.release()
	f.failedAnswer = failed
}

// takeFailedAnswer removes and returns the failed answer that was kept; nil if there is none.
func (f *forwarder) takeFailedAnswer() *answer {
	f.failedMu.Lock()
	defer f.failedMu.Unlock()
	failed := f.failedAnswer
	f.failedAnswer = nil
	return failed
}

// dropFailedAnswer gives up a failed answer, if it is still kept, because of err.
func (f *forwarder) dropFailedAnswer(failed *answer, err error) {
	f.failedMu.Lock()
	kept := f.failedAnswer == failed
	if kept {
		f.failedAnswer = nil
	}
	f.failedMu.Unlock()
	if kept {
		failed.release()
		f.logDecision("upstream's failure not kept", "status", failed.status, "error", err)
	}
}

// open sends the request and reads the head of the answer. It changes nothing of the
// forwarder and may run beside another attempt.
func (f *forwarder) open(a *attempt) {
	s := f.server
	if a.err = s.cfg.Rollouts.checkGrant(&a.pick.Upstream, a.rollout); a.err != nil {
		return
	}
	resp, err := s.cfg.Pool.Do(a.ctx, a.pick.Upstream.Addr, f.upstreamRequest(a))
	if err != nil {
		f.recordNoAnswer(a, err)
		return
	}
	a.resp, a.body, a.sent = resp, resp, true
	a.head = s.cfg.Protocol.Head(resp.Status, resp.Header)
	otherWeights := f.recordOtherWeights(a)
	a.pick.RecordNotice(s.cfg.Clock(), a.head.notice())
	a.ran = !a.head.NotRun
	if otherWeights || a.ran && !promisesNotRun(resp.Status) {
		return
	}
	a.pick.RecordAnswerHead(s.cfg.Clock(), a.head.Load)
	if a.ran { // the status says otherwise, but the upstream did not mark it
		if !a.head.turnsAway(resp.Status) {
			a.outcome = balance.OutcomeError
		}
		a.err = errUnmarked.New("upstream %s answered with status %d without reporting that it did not run the request", a.pick.Upstream.ID, resp.Status)
		f.logDecision("upstream's rejection not relayed: it may have run the request", "upstream", string(a.pick.Upstream.ID), "status", resp.Status)
		return
	}
	if a.head.Misdirected {
		a.pick.MarkReplaced(s.cfg.Clock())
	}
	resp.Discard() // a rejection must not cost a connection
	a.err = errNotRun.New("upstream %s did not run the request: status %d", a.pick.Upstream.ID, resp.Status)
	f.logDecision("upstream did not run the request", "upstream", string(a.pick.Upstream.ID), "status", resp.Status)
}

// upstreamRequest builds the request to an upstream.
func (f *forwarder) upstreamRequest(a *attempt) *exchange.Request {
	header := AttemptHeader{
		Upstream: a.pick.Upstream, Remaining: f.deadline - f.server.cfg.Clock(), Priority: f.priority,
		Source: a.pick.Source, After: a.after, Workspace: f.workspaceID(), Weights: f.expectedWeights(a),
	}
	fields := f.server.cfg.Protocol.UpstreamHeader(f.r.Header, header)
	if a.trace != "" {
		fields.Set(telemetry.HeaderTraceparent, a.trace)
	}
	open, kept := balance.ConnectionLimits(f.pool.MaxConnections, f.server.cfg.SessionState().Routers)
	return &exchange.Request{
		Method: f.r.Method, Target: f.r.RequestURI, Host: f.r.Host, Body: f.body,
		Header: fields, Trail: &f.trail, Once: !f.route.Repeatable(),
		Limit:   exchange.ConnLimit{Open: open, Kept: kept, Group: string(f.pool.Name)},
		Matches: func(h http.Header) bool { return f.server.cfg.Protocol.Matches(f.call.ID, h) },
	}
}

// recordNoAnswer records an attempt that got no answer.
func (f *forwarder) recordNoAnswer(a *attempt, err error) {
	a.err = err
	var failure *exchange.Error
	if errors.As(err, &failure) && failure.Phase == exchange.PhaseConnect {
		f.logDecision("cannot connect to upstream", "error", err)
		if context.Cause(a.ctx) == nil && !exchange.ConnectionsSpent(err) {
			a.outcome = balance.OutcomeBroken
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			a.pick.RecordEnd(f.server.cfg.Clock())
		}
		return
	}
	a.sent, a.ran = true, true
	a.outcome = f.recordIncomplete(a, err, 0)
}

// recordIncomplete records a missing or incomplete answer, of which the given number of events
// was relayed, and returns its outcome for the upstream's health.
func (f *forwarder) recordIncomplete(a *attempt, err error, events int) balance.Outcome {
	cause := context.Cause(a.ctx)
	a.err = err
	switch {
	case f.r.Context().Err() != nil:
		a.err = f.r.Context().Err()
		return balance.OutcomeUnknown
	case errors.Is(cause, errNotNeeded), errors.Is(cause, errNoEvent), errors.Is(cause, errReplacedVersion):
		a.err = cause
		return balance.OutcomeUnknown
	case errors.Is(cause, errDeadline), errors.Is(cause, errIdleTimeout), errors.Is(cause, errSlow), errors.Is(cause, errPlannedStop), errorx.IsOfType(cause, errBudget):
		a.err = cause
	}
	f.logDecision("attempt failed", "error", a.err, "upstream", string(a.pick.Upstream.ID), "boot", string(a.pick.Upstream.Boot),
		"reused", onIdleConnection(err), "events", events, "fingerprint", formatHash(f.fingerprint), "parts", formatParts(f.call.Parts))
	if errors.Is(cause, errPlannedStop) {
		return balance.OutcomeUnknown
	}
	if errors.Is(cause, errDeadline) {
		return balance.OutcomeError
	}
	if cause == nil && endedConnection(err) {
		a.recordBreak(f.server.cfg.Clock(), err, events)
	}
	return balance.OutcomeBroken
}

// recordBreak records that the upstream broke off after the given number of events.
func (a *attempt) recordBreak(now time.Duration, err error, events int) {
	switch {
	case events >= provenEvents:
		a.pick.RecordLateBreak(now)
	case onIdleConnection(err):
		a.pick.RecordIdleBreak(now)
	default:
		a.pick.RecordBreak(now)
	}
}

// endedConnection reports whether an exchange failed because the upstream ended the
// connection.
func endedConnection(err error) bool {
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// onIdleConnection reports whether an exchange failed without an answer on a connection that
// had been idle. The upstream may have closed it before the request arrived.
func onIdleConnection(err error) bool {
	var failure *exchange.Error
	return errors.As(err, &failure) && failure.Reused
}

// openReplacement opens an attempt and reads as much of its answer as shows that the attempt
// before it can be canceled: the first event of a stream that the caller lacks, or a complete
// answer that isn't a failure. Otherwise a.err is set.
func (f *forwarder) openReplacement(a *attempt) {
	f.open(a)
	switch {
	case a.err != nil:
		return
	case a.head.Stream:
		f.readStart(a)
	default:
		f.readComplete(a)
	}
}

// readStart reads a stream until its first event that the caller lacks.
func (f *forwarder) readStart(a *attempt) {
	if a.head.Started {
		a.overlap.start(func() { a.cancel(errNoEvent) })
		defer a.overlap.stop()
	}
	sequence := eventSequence{last: new(streamPosition), lastID: eventNumber(a.after), resumed: a.resumes, held: a.held}
	buffer := make([]byte, streamBuffer)
	for found := false; !found; {
		n, err := a.body.Read(buffer)
		if budgetErr := sequence.addPending(buffer[:n]); budgetErr != nil {
			a.outcome = f.recordIncomplete(a, budgetErr, 0)
			return
		}
		if found, err = sequence.findNew(err); n > 0 && !found {
			a.pick.RecordIdleBytes(f.server.cfg.Clock())
		}
		if errors.Is(err, io.EOF) && len(sequence.pending) == sequence.comments && a.resp.Delimited && a.resumes {
			break // nothing follows the last event
		}
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil && !found {
			a.outcome = f.recordIncomplete(a, err, 0)
			return
		}
	}
	a.timing.done = f.server.cfg.Clock()
	start := &heldReader{inner: bytes.NewReader(sequence.pending), held: a.held, size: cap(sequence.pending)}
	a.body = io.MultiReader(start, a.body)
	if a.overlap.stop(); a.ctx.Err() != nil { // canceled at the last moment
		a.outcome = f.recordIncomplete(a, a.ctx.Err(), 0)
	}
}

// overlapTimer limits the time for which two upstreams run a request. It is safe for concurrent
// use.
type overlapTimer struct {
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// start calls expired after maxOverlap unless stop was called before.
func (t *overlapTimer) start(expired func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.stopped {
		t.timer = time.AfterFunc(maxOverlap, expired)
	}
}

// stop ends the limit, since only one upstream is left or is to be chosen.
func (t *overlapTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	if t.timer != nil {
		t.timer.Stop()
	}
}

// readComplete reads a complete answer. One that is a failure, or that isn't a stream although
// the route's answers are, doesn't replace an attempt that goes on.
func (f *forwarder) readComplete(a *attempt) {
	complete, err := f.readAnswer(a)
	switch {
	case err != nil:
		a.outcome = f.recordIncomplete(a, err, 0)
	case f.route.Kind == routes.KindStream || complete.status >= http.StatusInternalServerError:
		a.failedAnswer = complete
		a.outcome = f.recordFailedAnswer(a)
	default:
		a.complete = complete
	}
}

// recordFailedAnswer records a complete answer that doesn't serve the request, and returns its
// outcome for the upstream's health.
func (f *forwarder) recordFailedAnswer(a *attempt) balance.Outcome {
	a.err = errFailedAnswer.New("upstream %s answered with status %d", a.pick.Upstream.ID, a.resp.Status)
	if a.resp.Status < http.StatusInternalServerError {
		f.logDecision("upstream answered a stream's request with a complete answer", "upstream", string(a.pick.Upstream.ID), "status", a.resp.Status)
		return balance.OutcomeServed
	}
	f.logDecision("upstream answered with a server error", "upstream", string(a.pick.Upstream.ID), "status", a.resp.Status)
	return balance.OutcomeError
}
