package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/balance"
	"github.com/wigeonflow/wigeonflow/internal/exchange"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/routes"
	"github.com/wigeonflow/wigeonflow/internal/telemetry"
)

const (
	// maxSends bounds the upstreams that one request is sent to, including those that
	// report that they did not run it: after a zone has lost power, most addresses
	// there may belong to other upstreams until the upstream list is updated. Failed
	// connections don't count.
	maxSends = 6
	// attemptPoll is the interval at which a pending attempt is checked for a stalled or
	// slow upstream.
	attemptPoll = 200 * time.Millisecond
	// minSlowTimeout is the shortest time that an upstream gets to complete its answer
	// before an idempotent request is retried on another one.
	minSlowTimeout = 200 * time.Millisecond
	// slowTargetFactor times a route's latency target is the time after which an
	// idempotent request is retried on another upstream.
	slowTargetFactor = 2
	// provenEvents is the number of events after which a prompt counts as served for the
	// quarantine of its parts, and a break under the request as late. An upstream that breaks
	// off before them may have ended by the prompt.
	provenEvents = 3
)

// Causes with which an attempt is canceled.
var (
	errDeadline    = fleet.Errors.NewType("gateway_deadline").New("the request's time limit has passed")
	errIdleTimeout = fleet.Errors.NewType("gateway_silent").New("no bytes received from the upstream within the idle timeout")
	errSlow        = fleet.Errors.NewType("gateway_slow").New("no complete answer within the timeout derived from the route's latency target")
)

// forwarder drives one request through its attempts at upstreams until the caller has
// an answer.
type forwarder struct {
	server *Server
	w      http.ResponseWriter
	r      *http.Request
	start  time.Duration

	call        Call
	table       *routes.Index
	confirmedAt time.Duration // see ServerConfig.ConfirmedAt
	route       *routes.Route
	pool        *routes.Pool
	workspace   *routes.Workspace
	priority    int
	body        []byte
	fingerprint uint64 // see the function
	draw        uint64 // the random number that newDraw has set
	deadline    time.Duration

	sends        int                // upstreams that the request, or a part of it, may have been sent to
	runs         int                // of these, upstreams that may have run the request
	tried        []fleet.UpstreamID // excluded from further choices
	lastErr      error              // of the latest attempt
	failedAnswer *answer            // an upstream's failure, returned if no other one serves the request
	pick         *balance.Pick      // of the latest attempt

	stream       *eventRelay // set once the answer's header was written
	eventsBefore int         // events that earlier attempts have relayed

	quarantineLeft time.Duration // until the end of the quarantine of the request or a part of its prompt; 0 for none

	trace   string // traceparent of the request's span
	failure error  // with which the span ends; nil if the caller was served
}

// answer is a complete answer of an upstream.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// forward sends the request to one upstream after the other until one serves it, and
// answers the caller.
func (f *forwarder) forward() {
	if rejected := f.admit(); rejected != nil {
		f.reject(rejected)
		return
	}
	s := f.server
	s.cfg.Balancer.CountRequest(s.cfg.Clock(), f.pool.Name)
	for f.mayAttempt() && !f.isQuarantined() {
		session := s.cfg.SessionState()
		pick := s.cfg.Balancer.Choose(s.cfg.Clock(), f.balancerRequest(), session)
		if pick == nil {
			f.lastErr = errNoUpstream
			break
		}
		if f.sends > 0 && !s.cfg.Balancer.TakeRetry(s.cfg.Clock(), f.pool.Name, session.Routers) {
			pick.End(s.cfg.Clock(), balance.OutcomeUnknown)
			f.logDecision("request not retried: the retry budget is spent")
			break
		}
		if done := f.attempt(pick); done {
			return
		}
	}
	f.answerFailure()
}

// errNotRun is the type of errors of attempts that the upstream reports as not run.
var errNotRun = fleet.Errors.NewType("gateway_not_run")

// errQuarantined is the type of errors of requests that are quarantined or have a quarantined
// prompt part.
var errQuarantined = fleet.Errors.NewType("gateway_quarantined")

var errNoUpstream = fleet.Errors.NewType("gateway_no_upstream").New("no upstream of the pool is available for the request")

// mayAttempt reports whether the request may be sent to a further upstream.
func (f *forwarder) mayAttempt() bool {
	if f.server.cfg.Clock() >= f.deadline || f.r.Context().Err() != nil || f.sends >= maxSends {
		return false
	}
	if f.runs == 0 {
		return true
	}
	return f.route.Repeatable() && f.runs < max(f.route.MaxAttempts, 1)
}

// isQuarantined reports whether the request or a part of its prompt is quarantined, because
// upstreams break off under it. The request is then not sent to any further one.
func (f *forwarder) isQuarantined() bool {
	b, now := f.server.cfg.Balancer, f.server.cfg.Clock()
	if until, ok := b.RequestQuarantined(now, f.fingerprint); ok {
		f.recordQuarantine("the request", until-now)
		return true
	}
	part, until, ok := b.Quarantined(now, f.call.Parts)
	if ok {
		f.recordQuarantine("prompt part "+formatHash(part), until-now)
	}
	return ok
}

// recordQuarantine records that the request isn't sent because of a quarantine.
func (f *forwarder) recordQuarantine(of string, left time.Duration) {
	f.quarantineLeft = left
	f.lastErr = errQuarantined.New("%s is quarantined for %v: upstreams break off under it", of, left.Round(time.Second))
}

// balancerRequest describes the request for the choice of an upstream.
func (f *forwarder) balancerRequest() *balance.Request {
	return &balance.Request{
		Pool: f.pool, Parts: f.call.Parts, PromptTokens: f.call.PromptTokens, Fingerprint: f.fingerprint, Draw: f.draw,
		MayProbe: f.route.Repeatable(), Tried: f.tried,
	}
}

// attempt sends the request to one upstream. It returns true if the caller has
// received its final answer.
func (f *forwarder) attempt(pick *balance.Pick) (done bool) {
	s := f.server
	ctx, cancel := context.WithCancelCause(f.r.Context())
	defer cancel(nil)
	stop := f.watchAttempt(pick, cancel)
	defer stop()
	outcome := balance.OutcomeUnknown
	defer func() { pick.End(s.cfg.Clock(), outcome) }()

	f.tried = append(f.tried, pick.Upstream.ID)
	f.pick = pick
	f.eventsBefore += f.attemptEvents()
	span, trace := s.cfg.Tracer.Start("gateway.attempt", f.trace)
	span.Set("upstream", string(pick.Upstream.ID))
	f.lastErr = nil
	defer func() { span.End(f.lastErr) }()
	resp, err := s.cfg.Pool.Do(ctx, pick.Upstream.Addr, f.upstreamRequest(pick, trace))
	if err != nil {
		outcome = f.recordNoAnswer(ctx, err)
		return false
	}
	defer resp.Close()
	head := s.cfg.Protocol.Head(resp.Status, resp.Header)
	f.sends++
	if head.NotRun {
		pick.RecordAnswerHead(s.cfg.Clock(), head.Load)
		if head.Misdirected {
			pick.MarkReplaced(s.cfg.Clock())
		}
		f.lastErr = errNotRun.New("upstream %s did not run the request: status %d", pick.Upstream.ID, resp.Status)
		f.logDecision("upstream did not run the request", "upstream", string(pick.Upstream.ID), "status", resp.Status)
		return false
	}
	f.runs++
	if head.Stream {
		done, outcome = f.relayStream(ctx, pick, resp, head)
	} else {
		done, outcome = f.relayComplete(ctx, pick, resp, head)
	}
	return done
}

// upstreamRequest builds the request to an upstream. trace is the attempt's traceparent.
func (f *forwarder) upstreamRequest(pick *balance.Pick, trace string) *exchange.Request {
	attempt := AttemptHeader{
		Upstream: pick.Upstream, Remaining: f.deadline - f.server.cfg.Clock(), Priority: f.priority,
		Source: pick.Source, After: f.call.After, Workspace: f.workspaceID(),
	}
	if f.stream != nil && f.stream.last != "" {
		attempt.After = f.stream.last
	}
	header := f.server.cfg.Protocol.UpstreamHeader(f.r.Header, attempt)
	if trace != "" {
		header.Set(telemetry.HeaderTraceparent, trace)
	}
	return &exchange.Request{
		Method: f.r.Method, Target: f.r.RequestURI, Host: f.r.Host, Body: f.body,
		Header:  header,
		Matches: func(h http.Header) bool { return f.server.cfg.Protocol.Matches(f.call.ID, h) },
	}
}

// recordNoAnswer records an attempt that got no answer and returns its outcome for the
// upstream's health.
func (f *forwarder) recordNoAnswer(ctx context.Context, err error) balance.Outcome {
	f.lastErr = err
	var failure *exchange.Error
	if errors.As(err, &failure) && failure.Phase == exchange.PhaseConnect {
		f.logDecision("cannot connect to upstream", "error", err)
		if f.r.Context().Err() != nil {
			return balance.OutcomeUnknown
		}
		return balance.OutcomeBroken
	}
	f.sends++
	f.runs++
	return f.recordIncomplete(ctx, err)
}

// recordIncomplete records a missing or incomplete answer and returns its outcome for the
// upstream's health.
func (f *forwarder) recordIncomplete(ctx context.Context, err error) balance.Outcome {
	cause := context.Cause(ctx)
	switch {
	case f.r.Context().Err() != nil:
		f.lastErr = f.r.Context().Err()
		return balance.OutcomeUnknown
	case errors.Is(cause, errDeadline), errors.Is(cause, errIdleTimeout), errors.Is(cause, errSlow):
		f.lastErr = cause
	default:
		f.lastErr = err
	}
	f.logDecision("attempt failed", "error", f.lastErr, "upstream", string(f.pick.Upstream.ID), "boot", string(f.pick.Upstream.Boot),
		"reused", onIdleConnection(err), "events", f.attemptEvents(), "fingerprint", formatHash(f.fingerprint), "parts", formatParts(f.call.Parts))
	if errors.Is(cause, errDeadline) {
		return balance.OutcomeError
	}
	if cause == nil && endedConnection(err) {
		f.recordBreak(err)
	}
	return balance.OutcomeBroken
}

// recordBreak records that the upstream broke off.
func (f *forwarder) recordBreak(err error) {
	now, late := f.server.cfg.Clock(), f.attemptEvents() >= provenEvents
	if late || onIdleConnection(err) {
		f.pick.RecordRequestBreak(now, late)
		return
	}
	f.pick.RecordBreak(now)
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

// attemptEvents returns the number of events that the latest attempt has relayed.
func (f *forwarder) attemptEvents() int {
	if f.stream == nil {
		return 0
	}
	return f.stream.events - f.eventsBefore
}

// watchAttempt cancels an attempt at the request's deadline, and earlier if the request
// can be retried and the upstream sends nothing or is too slow. The caller calls stop at
// the end of the attempt.
func (f *forwarder) watchAttempt(pick *balance.Pick, cancel context.CancelCauseFunc) (stop func()) {
	clock := f.server.cfg.Clock
	deadline := time.AfterFunc(f.deadline-clock(), func() { cancel(errDeadline) })
	if !f.canRetry() {
		return func() { deadline.Stop() }
	}
	began := clock()
	done := make(chan struct{})
	go func() {
		ticker := time.NewTicker(attemptPoll)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
			}
			if cause := f.cancelCause(pick, began); cause != nil {
				cancel(cause)
				return
			}
		}
	}()
	return func() {
		deadline.Stop()
		close(done)
	}
}

// canRetry reports whether the request may be retried on another upstream after the
// attempt that starts now, even if that upstream has run it.
func (f *forwarder) canRetry() bool {
	return f.route.Repeatable() && f.runs+1 < f.route.MaxAttempts && f.sends+1 < maxSends
}

// cancelCause returns the cause for which an attempt should be canceled, or nil.
func (f *forwarder) cancelCause(pick *balance.Pick, began time.Duration) error {
	now := f.server.cfg.Clock()
	if pick.Stalled(now) {
		return errIdleTimeout
	}
	if f.route.Kind == routes.KindIdempotent && now-began > max(slowTargetFactor*f.route.Target, minSlowTimeout) {
		return errSlow
	}
	return nil
}

// answerFailure answers a request that no upstream has served: with an upstream's own
// failure if there is one, and otherwise with a status that says whether the
// request may have run.
func (f *forwarder) answerFailure() {
	switch {
	case f.r.Context().Err() != nil:
		f.recordOutcome(0, "the caller disconnected")
	case f.stream != nil:
		f.abort("stream not completed")
	case f.failedAnswer != nil:
		f.writeAnswer(f.failedAnswer)
	case f.runs == 0 && f.quarantineLeft > 0:
		f.reject(&rejection{status: http.StatusServiceUnavailable, reason: f.failureReason(), base: f.quarantineLeft})
	case f.runs == 0:
		f.reject(unavailable(f.failureReason()))
	case errors.Is(f.lastErr, errDeadline):
		f.reject(&rejection{status: http.StatusGatewayTimeout, reason: f.failureReason()})
	default:
		f.reject(&rejection{status: http.StatusBadGateway, reason: f.failureReason()})
	}
}

// failureReason returns the reason for which no upstream has served the request.
func (f *forwarder) failureReason() string {
	if f.lastErr == nil {
		return errDeadline.Message()
	}
	return f.lastErr.Error()
}

// abort closes the connection of an answer that has begun, so that it doesn't look
// complete to the caller.
func (f *forwarder) abort(reason string) {
	f.recordOutcome(0, reason)
	panic(http.ErrAbortHandler)
}
