package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/wigeonflow/wigeonflow/internal/balance"
	"github.com/wigeonflow/wigeonflow/internal/exchange"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/routes"
)

const (
	// maxSends bounds the upstreams that one request is sent to, including those that
	// report that they did not run it: after a zone has lost power, most addresses
	// there may belong to other upstreams until the upstream list is updated. Failed
	// connections don't count.
	maxSends = 6
	// provenEvents is the number of events after which a prompt counts as served for the
	// quarantine of its parts, and a break under the request as late. An upstream that breaks
	// off before them may have ended by the prompt.
	provenEvents = 3
	// minUpstreamWait is the first time for which a stream that has begun waits if no upstream
	// takes it; each further one is twice as long, up to maxUpstreamWait.
	minUpstreamWait = 200 * time.Millisecond
	maxUpstreamWait = 800 * time.Millisecond
)

// forwarder drives one request through its attempts at upstreams until the caller has
// an answer.
type forwarder struct {
	server *Server
	w      *answerWriter
	r      *http.Request
	ctx    context.Context // of the attempts: ends with that of r, or by the planned stop
	start  time.Duration
	held   time.Duration // for which the request has waited, see awaitStartup

	place    place         // at the pool
	freeOnly bool          // engines without a free slot are not asked
	waited   time.Duration // for a place
	ahead    int           // requests that waited when it began to wait
	again    bool          // it has had a place and could not use it
	refused  bool          // by an upstream, for want of room
	shed     *rejection    // of a request that gets no place; nil for none

	call        Call
	table       *routes.Index
	confirmedAt time.Duration // see ServerConfig.ConfirmedAt
	route       *routes.Route
	pool        *routes.Pool
	workspace   *routes.Workspace
	priority    int
	body        []byte
	bodyHeld    *bodyHolding // counts body; nil until it is read
	fingerprint uint64       // see the function
	draw        uint64       // the random number that newDraw has set
	deadline    time.Duration

	history      history
	versions     versionTrail
	trail        exchange.Trail
	lastErr      error         // of the latest attempt
	noAttempt    string        // why no further upstream is asked; empty as long as one may be
	pick         *balance.Pick // of the latest attempt
	replacements []*attempt    // opened during the latest attempt and not yet used; the oldest first
	upstreamWait time.Duration // latest wait for an upstream; 0 for none
	failedMu     sync.Mutex
	failedAnswer *answer // an upstream's failure, returned if no other one serves the request

	stream       *eventRelay    // set once bytes of a stream were received
	position     streamPosition // of the last event that the caller has
	callerGone   bool           // writing the answer has failed
	eventsBefore int            // events that earlier attempts have relayed

	quarantineLeft time.Duration // until the end of the quarantine of the request or a part of its prompt; 0 for none

	trace   string // traceparent of the request's span
	failure error  // with which the span ends; nil if the caller was served
}

// answer is a complete answer of an upstream.
type answer struct {
	status int
	header http.Header
	parts  [][]byte // of the body
	length int      // of the body
	held   *holding // counts parts
}

// forward sends the request to one upstream after the other until one serves it, and
// answers the caller.
func (f *forwarder) forward() {
	if rejected := f.admit(); rejected != nil {
		f.reject(rejected)
		return
	}
	f.server.cfg.Balancer.CountRequest(f.server.cfg.Clock(), f.pool.Name)
	f.position.set(f.call.After)
	defer func() { f.takeFailedAnswer().release() }()
	defer f.dropReplacements()
	defer f.leavePlace(false)
	for a := f.nextAttempt(); a != nil; a = f.nextAttempt() {
		if done := f.runAttempt(a); done {
			f.leavePlace(!f.callerGone)
			if f.callerGone {
				f.abort()
			}
			return
		}
		f.recordRefusal(a)
	}
	f.answerFailure()
}

// nextAttempt returns a replacement that was opened during the latest attempt, or else a new
// attempt at an upstream. It returns nil if there is to be none. A stream that has begun can't be
// rejected any more and waits until an upstream takes it.
func (f *forwarder) nextAttempt() *attempt {
	if len(f.replacements) > 0 {
		a := f.replacements[0]
		f.replacements = f.replacements[1:]
		return a
	}
	for {
		a := f.placedAttempt()
		if a != nil || !f.mayWait() || !f.awaitUpstream() {
			return a
		}
	}
}

// Reasons for which no further upstream is asked, and that may pass.
const (
	reasonNoUpstream   = "no upstream"
	reasonBudgetSpent  = "retry budget spent"
	reasonTooManySends = "too many upstreams asked"
)

// placedAttempt takes a place at the pool, unless the request has one, and returns a new attempt, or
// nil if there is to be none now.
func (f *forwarder) placedAttempt() *attempt {
	for f.mayAttempt() && !f.isQuarantined() {
		if !f.holdsPlace() {
			if !f.takePlace() {
				return nil
			}
			continue // time has passed if the request has waited
		}
		f.freeOnly = f.freeOnly && !f.streamBegun() // a stream that has begun doesn't wait for a place
		a := f.chooseAttempt()
		if a != nil || !f.isLimitedToFree() {
			return a
		}
		if !f.hasFullEngine() {
			f.freeOnly = false
			return f.chooseAttempt()
		}
		f.server.dispatch.block(f)
	}
	return nil
}

// chooseAttempt returns a new attempt at an upstream, or nil if none takes the request now or the
// retry budget is spent.
func (f *forwarder) chooseAttempt() *attempt {
	b, now, session := f.server.cfg.Balancer, f.server.cfg.Clock(), f.server.cfg.SessionState()
	sends, _ := f.history.counts()
	retry := f.retrySort()
	if sends > 0 && !b.MayRetry(now, f.pool.Name, session.Routers, retry) { // before a choice, which takes from a cold upstream's rate
		f.recordSpentBudget()
		return nil
	}
	pick := f.chooseUpstream(session)
	if pick == nil {
		f.noAttempt = reasonNoUpstream
		if f.lastErr == nil {
			f.lastErr = errNoUpstream
		}
		return nil
	}
	if sends > 0 && !b.TakeRetry(now, f.pool.Name, session.Routers, retry) {
		pick.End(now, balance.OutcomeUnknown)
		f.recordSpentBudget()
		return nil
	}
	f.server.dispatch.unblock(f)
	a := f.newAttempt(pick)
	a.retry = sends > 0
	return a
}

// chooseUpstream takes a slot at an upstream that may get the request, or returns nil. One that a
// stream was moved from holds the stream's prompt and is preferred while it is sound.
func (f *forwarder) chooseUpstream(session balance.SessionState) *balance.Pick {
	request := f.balancerRequest()
	if former := f.history.formerUpstreams(); len(former) > 0 {
		back := *request
		back.Only, back.SoundOnly = former, true
		if pick := f.choose(&back, session); pick != nil {
			return pick
		}
	}
	return f.choose(request, session)
}

// retrySort tells what a further attempt is for.
func (f *forwarder) retrySort() balance.Retry {
	if f.streamBegun() {
		return balance.RetryContinued
	}
	return balance.RetryUnanswered
}

func (f *forwarder) recordSpentBudget() {
	f.noAttempt = reasonBudgetSpent
	f.logDecision("request not retried: the retry budget is spent")
}

// mayWait reports whether a stream that has begun may be sent to an upstream later, though not now.
func (f *forwarder) mayWait() bool {
	switch f.noAttempt {
	case reasonNoUpstream, reasonBudgetSpent, reasonTooManySends:
		return f.streamBegun()
	default:
		return false
	}
}

// awaitUpstream waits a while for an upstream that takes the stream, longer each time, but not beyond
// the request's time limit. It reports false if the caller leaves.
func (f *forwarder) awaitUpstream() bool {
	if f.upstreamWait == 0 {
		f.logDecision("stream waits for an upstream", "last_error", f.lastErr, "no_attempt", f.noAttempt, "moved_from", f.history.movedFrom())
	}
	f.upstreamWait = min(max(2*f.upstreamWait, minUpstreamWait), maxUpstreamWait)
	f.history.forgetRejections()
	return fleet.Pause(f.r.Context(), min(f.upstreamWait, f.deadline-f.server.cfg.Clock()))
}

// errNotRun is the type of errors of attempts that the upstream reports as not run.
var errNotRun = fleet.Errors.NewType("gateway_not_run")

// errQuarantined is the type of errors of requests that are quarantined or have a quarantined
// prompt part.
var errQuarantined = fleet.Errors.NewType("gateway_quarantined")

var errNoUpstream = fleet.Errors.NewType("gateway_no_upstream").New("no upstream of the pool is available for the request")

// mayAttempt reports whether the request may be sent to a further upstream.
func (f *forwarder) mayAttempt() bool {
	switch {
	case f.r.Context().Err() != nil:
		f.noAttempt = "caller disconnected"
	case f.isStopped():
		f.noAttempt = stopEndsRequest
	case f.server.cfg.Clock() >= f.deadline:
		f.noAttempt = "deadline reached"
	default:
		f.noAttempt = f.history.limitReached(f.route)
	}
	return f.noAttempt == ""
}

// isQuarantined reports whether the request or a part of its prompt is quarantined, because
// upstreams break off under it. The request is then not sent to any further one.
func (f *forwarder) isQuarantined() bool {
	left, err := f.quarantine()
	if err == nil {
		return false
	}
	f.quarantineLeft, f.lastErr = left, err
	f.noAttempt = "quarantined"
	return true
}

// quarantine returns an error if the request or a part of its prompt is quarantined, and for how
// much longer.
func (f *forwarder) quarantine() (left time.Duration, err error) {
	b, now := f.server.cfg.Balancer, f.server.cfg.Clock()
	of := "the request"
	until, ok := b.RequestQuarantined(now, f.fingerprint)
	if !ok {
		var part uint64
		if part, until, ok = b.Quarantined(now, f.call.Parts); !ok {
			return 0, nil
		}
		of = "prompt part " + formatHash(part)
	}
	left = until - now
	return left, errQuarantined.New("%s is quarantined for %v: upstreams break off under it", of, left.Round(time.Second))
}

// balancerRequest describes the request for the choice of an upstream.
func (f *forwarder) balancerRequest() *balance.Request {
	tried, only := f.history.candidates(f.route)
	return &balance.Request{
		Pool: f.pool, Parts: f.call.Parts, PromptTokens: f.call.PromptTokens, OutputTokens: f.call.OutputTokens, Fingerprint: f.fingerprint, Draw: f.draw,
		MayProbe: f.route.Repeatable(), FreeOnly: f.freeOnly, Tried: tried, Only: only,
	}
}

// attemptEvents returns the number of events that the latest attempt has relayed.
func (f *forwarder) attemptEvents() int {
	if f.stream == nil {
		return 0
	}
	return f.stream.events - f.eventsBefore
}

// answerFailure answers a request that no upstream has served: with an upstream's own
// failure if there is one, and otherwise with a status that says whether the
// request may have run.
func (f *forwarder) answerFailure() {
	_, runs := f.history.counts()
	failed := f.takeFailedAnswer()
	defer failed.release()
	switch {
	case f.r.Context().Err() != nil:
		f.recordOutcome(0, "the caller disconnected")
		f.abort()
	case f.streamBegun():
		f.recordOutcome(0, "stream not completed")
		f.abort()
	case failed != nil:
		failed.held.move(heldAnswer, nil)
		f.writeAnswer(failed)
	case runs == 0 && f.noAttempt == stopEndsRequest:
		f.reject(f.rejectStopped())
	case runs == 0 && f.quarantineLeft > 0:
		f.reject(&rejection{status: http.StatusServiceUnavailable, reason: f.failureReason(), base: f.quarantineLeft})
	case runs == 0:
		f.reject(f.unserved())
	case errors.Is(f.lastErr, errDeadline), f.noAttempt == stopEndsRequest:
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

// abort closes the caller's connection without an answer, or without the rest of one, so that
// net/http doesn't complete it. It doesn't return.
func (f *forwarder) abort() {
	cause := f.endCause()
	f.logUnanswered(cause)
	f.server.countUnanswered(cause)
	panic(http.ErrAbortHandler)
}

// endCause returns what ended the latest attempt, as a label of gateway_unanswered.
func (f *forwarder) endCause() string {
	switch {
	case f.callerGone, f.r.Context().Err() != nil:
		return causeCallerGone
	case errors.Is(f.lastErr, errDeadline):
		return "deadline"
	case errors.Is(f.lastErr, errIdleTimeout):
		return "stalled"
	case errors.Is(f.lastErr, errSlow):
		return "slow"
	case errorx.IsOfType(f.lastErr, errBudget):
		return "byte_budget"
	case errorx.IsOfType(f.lastErr, errEventGap), errorx.IsOfType(f.lastErr, errEventTooLong), errorx.IsOfType(f.lastErr, errInvalidEvent),
		errorx.IsOfType(f.lastErr, errFailedAnswer):
		return "invalid_stream"
	default:
		return "broken_off"
	}
}
