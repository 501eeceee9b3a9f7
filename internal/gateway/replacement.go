package gateway

import (
	"errors"
	"runtime/debug"
	"slices"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/balance"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/routes"
)

const (
	// attemptPoll is the interval at which a pending attempt is checked for a stalled or
	// slow upstream.
	attemptPoll = 200 * time.Millisecond
	// minSlowTimeout is the shortest time that an upstream gets to complete its answer
	// before an idempotent request is sent to another one as well.
	minSlowTimeout = 200 * time.Millisecond
	// slowTargetFactor times a route's latency target is the time after which an
	// idempotent request is sent to another upstream as well.
	slowTargetFactor = 2
)

// watcher opens replacements for an attempt whose upstream has stalled or is slow. It cancels
// the attempt only once a replacement answers: until then the first upstream, which may be
// sound, may still be the one that serves the request.
type watcher struct {
	f       *forwarder
	attempt *attempt
	cause   error // for which the attempt is to be replaced
	logged  bool  // a missing replacement was logged
	alike   bool  // a replacement has begun without an event in time, like the attempt

	done   chan struct{} // closed by stop
	exited chan struct{} // closed when the goroutine has ended, which owns pending until then
	opened chan *attempt // replacements that have been opened
	// pending are the replacements that are being opened, or that have answered once the
	// watcher has exited; the oldest first.
	pending []*attempt
}

// watch starts a watcher of an attempt that is about to be opened, with the replacements that
// are left of the attempt before it. It returns nil if the request may not be sent to a further
// upstream even if this one has run it.
func (f *forwarder) watch(a *attempt) *watcher {
	if len(f.replacements) == 0 && (!f.route.Repeatable() || f.history.limitReached(f.route) != "") {
		return nil
	}
	w := &watcher{
		f: f, attempt: a, done: make(chan struct{}), exited: make(chan struct{}),
		opened: make(chan *attempt, maxSends), pending: f.replacements,
	}
	f.replacements = nil
	for _, p := range w.pending {
		go func() { <-p.opened; w.opened <- p }()
	}
	go w.run()
	return w
}

// stop ends the watcher and returns the replacements that are left, which may not have been
// opened yet. If the request is done, it cancels them. The watcher may be nil.
func (w *watcher) stop(done bool) []*attempt {
	if w == nil {
		return nil
	}
	close(w.done)
	<-w.exited
	if done {
		w.abandon()
	}
	return w.pending
}

// dropReplacements ends the replacements that are left of the latest attempt.
func (f *forwarder) dropReplacements() {
	w := &watcher{f: f, pending: f.replacements}
	f.replacements = nil
	w.abandon()
}

func (w *watcher) run() {
	defer close(w.exited)
	defer w.f.recoverPanic(nil)
	ticker := time.NewTicker(attemptPoll)
	defer ticker.Stop()
	for {
		select {
		case <-w.done:
			return
		case next := <-w.opened:
			if w.accept(next) {
				return
			}
		case <-ticker.C:
			w.check()
		}
	}
}

// accept cancels the attempt if the replacement has answered and the attempt hasn't gone on
// meanwhile. It reports whether it did.
func (w *watcher) accept(next *attempt) bool {
	if !slices.Contains(w.pending, next) {
		return false // abandoned
	}
	if next.err == nil && w.f.conflicts(next) {
		next.err = errNotNeeded
	}
	if next.err != nil {
		w.alike = w.alike || errors.Is(next.err, errNoEvent)
		w.drop(next, next.wasNeeded())
		return false
	}
	if cause := w.f.replaceCause(w.attempt); cause == nil && w.attempt.answering.Load() {
		w.abandon()
		return false
	}
	if w.cause == nil { // next was opened for the attempt before
		w.cause = errNotNeeded
	}
	w.f.logDecision("request moved to another upstream", "from", string(w.attempt.pick.Upstream.ID), "to", string(next.pick.Upstream.ID), "cause", w.cause)
	w.pending = slices.DeleteFunc(w.pending, func(a *attempt) bool { return a == next })
	w.abandon()
	w.pending = []*attempt{next}
	w.attempt.cancel(w.cause)
	return true
}

// check opens a replacement if the attempt, and the latest replacement, have stalled or are
// slow. It abandons the replacements once the attempt goes on.
func (w *watcher) check() {
	f := w.f
	cause := f.replaceCause(w.attempt)
	if cause == nil {
		w.abandon()
		return
	}
	if n := len(w.pending); n > 0 && f.replaceCause(w.pending[n-1]) == nil {
		return
	}
	if w.isSlowAlike() {
		return
	}
	if cause == errSlow && f.server.dispatch.isPressed(f.pool) {
		w.logMissing("the pool is under pressure") // where all are slow, a second request adds to the cause
		return
	}
	w.cause = cause
	if w.attempt.ctx.Err() == nil && f.history.limitReached(f.route) == "" {
		w.open()
	}
}

// moveRetry tells which retry opens a replacement. A stream is taken from its upstream before the other
// one has completed it, and may have to return; any other request is moved with its complete
// answer.
func (f *forwarder) moveRetry() balance.Retry {
	switch {
	case f.route.Kind != routes.KindStream:
		return balance.RetryUnanswered
	case len(f.history.movedFrom()) > 0: // this is the return
		return balance.RetryContinued
	default:
		return balance.RetryMove
	}
}

// isSlowAlike reports whether the attempt goes on sending what serves nothing as yet, and so does a
// replacement, or it did within its time: further ones would begin alike.
func (w *watcher) isSlowAlike() bool {
	now := w.f.server.cfg.Clock()
	if !w.attempt.pick.SendsIdleBytes(now) {
		return false
	}
	n := len(w.pending)
	return w.alike || n > 0 && w.pending[n-1].pick.SendsIdleBytes(now)
}

// open chooses another upstream and starts an attempt at it, if there is a sound one and the
// retry budget allows it.
func (w *watcher) open() {
	f := w.f
	s := f.server
	if _, err := f.quarantine(); err != nil {
		w.logMissing(err.Error())
		return
	}
	session, retry := s.cfg.SessionState(), f.moveRetry()
	if !s.cfg.Balancer.MayRetry(s.cfg.Clock(), f.pool.Name, session.Routers, retry) { // before a choice, which takes from a cold upstream's rate
		w.logMissing("the retry budget is spent")
		return
	}
	request := f.balancerRequest()
	request.SoundOnly = true
	pick := f.choose(request, session)
	if pick == nil {
		w.logMissing(errNoUpstream.Error())
		return
	}
	if !s.cfg.Balancer.TakeRetry(s.cfg.Clock(), f.pool.Name, session.Routers, retry) {
		pick.End(s.cfg.Clock(), balance.OutcomeUnknown)
		return
	}
	a := f.newAttempt(pick)
	a.retry = true
	a.opened = make(chan struct{})
	a.held.move(heldReplacement, a.cancel)
	w.pending = append(w.pending, a)
	go func() {
		defer func() { w.opened <- a }()
		defer close(a.opened)
		defer f.recoverPanic(a)
		f.openReplacement(a)
	}()
}

// logMissing logs once for each attempt that it goes on without a replacement.
func (w *watcher) logMissing(reason string) {
	if !w.logged {
		w.f.logDecision("request not moved from a stalled or slow upstream", "upstream", string(w.attempt.pick.Upstream.ID), "cause", w.cause, "reason", reason)
		w.logged = true
	}
}

// abandon cancels the replacements, which aren't needed, and waits for their end.
func (w *watcher) abandon() {
	for _, a := range slices.Clone(w.pending) {
		a.cancel(errNotNeeded)
		<-a.opened
		w.drop(a, false)
	}
}

// drop ends a replacement that has been opened.
func (w *watcher) drop(a *attempt, needed bool) {
	w.pending = slices.DeleteFunc(w.pending, func(p *attempt) bool { return p == a })
	w.f.keepFailedAnswer(a)
	w.f.endAttempt(a)
	w.f.history.settle(a, needed)
}

// replaceCause returns the cause for which an attempt should be replaced, or nil. An attempt
// that waits for its caller to read is not to be replaced.
func (f *forwarder) replaceCause(a *attempt) error {
	if a.writing.Load() {
		return nil
	}
	now := f.server.cfg.Clock()
	if a.pick.Stalled(now) {
		return errIdleTimeout
	}
	if f.mustMove(a) {
		return errReplacedVersion
	}
	if f.route.Kind == routes.KindIdempotent && now-a.began > max(slowTargetFactor*f.route.Target, minSlowTimeout) {
		return errSlow
	}
	return nil
}

// recoverPanic ends a panic of a goroutine that works for the request, so that it doesn't end
// the process, and logs it. The attempt that was being opened, if any, fails.
func (f *forwarder) recoverPanic(a *attempt) {
	value := recover()
	if value == nil {
		return
	}
	f.logPanic(value, debug.Stack())
	if a != nil {
		a.sent, a.ran = true, true
		a.err = errPanic
	}
}

// errPanic is the error of an attempt whose opening has panicked.
var errPanic = fleet.Errors.NewType("gateway_panic").New("the attempt has panicked")
