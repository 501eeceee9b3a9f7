package gateway

import (
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

// watcher opens a replacement for an attempt whose upstream has stalled or is slow. It cancels
// the attempt only once the replacement answers: until then the first upstream, which may be
// sound, may still be the one that serves the request.
type watcher struct {
	f       *forwarder
	attempt *attempt
	cause   error // for which the attempt is to be replaced
	tried   []fleet.UpstreamID
	// sendsLeft and runsLeft are the numbers of further upstreams that the request may be sent
	// to and that may run it.
	sendsLeft, runsLeft int
	refused             bool // a missing replacement was logged

	done   chan struct{} // closed by stop
	exited chan struct{} // closed when the goroutine has ended, which owns the fields below until then
	next   *attempt      // the replacement; nil for none
	failed []*attempt    // replacements that did not answer, and those that weren't needed
}

// watch starts a watcher of an attempt that is about to be opened. It returns nil if the request
// may not be sent to a further upstream even if this one has run it.
func (f *forwarder) watch(a *attempt) *watcher {
	w := &watcher{
		f: f, attempt: a, tried: f.tried[:len(f.tried):len(f.tried)],
		sendsLeft: maxSends - f.sends - 1, runsLeft: f.route.MaxAttempts - f.runs - 1,
		done: make(chan struct{}), exited: make(chan struct{}),
	}
	if !f.route.Repeatable() || !w.mayOpen() {
		return nil
	}
	go w.run()
	return w
}

// mayOpen reports whether the request may be sent to a further upstream.
func (w *watcher) mayOpen() bool { return w.sendsLeft > 0 && w.runsLeft > 0 }

// stop ends the watcher and returns the replacement, which may not have been opened yet, or
// nil. If the request is done, the replacement is abandoned. The watcher may be nil.
func (w *watcher) stop(done bool) *attempt {
	if w == nil {
		return nil
	}
	close(w.done)
	<-w.exited
	if done && w.next != nil {
		w.abandon()
	}
	for _, a := range w.failed {
		w.f.recordReplacement(a)
	}
	return w.next
}

// recordReplacement records a replacement that was not used.
func (f *forwarder) recordReplacement(a *attempt) {
	err := f.lastErr
	f.recordAttempt(a)
	f.lastErr = err
	f.tried = append(f.tried, a.pick.Upstream.ID)
}

// dropReplacement ends the replacement that was opened during the latest attempt, if any.
func (f *forwarder) dropReplacement() {
	if a := f.replacement; a != nil {
		f.replacement = nil
		a.cancel(errNotNeeded)
		<-a.opened
		a.end(f.server.cfg.Clock())
	}
}

func (w *watcher) run() {
	defer close(w.exited)
	ticker := time.NewTicker(attemptPoll)
	defer ticker.Stop()
	for {
		var opened chan struct{}
		if w.next != nil {
			opened = w.next.opened
		}
		select {
		case <-w.done:
			return
		case <-opened:
			if w.next.err == nil {
				w.f.logDecision("request moved to another upstream", "from", string(w.attempt.pick.Upstream.ID),
					"to", string(w.next.pick.Upstream.ID), "cause", w.cause)
				w.attempt.cancel(w.cause)
				return
			}
			w.drop()
		case <-ticker.C:
			w.check()
		}
	}
}

// check opens a replacement if the attempt needs one, and abandons it if the attempt no longer
// does.
func (w *watcher) check() {
	cause := w.f.replaceCause(w.attempt)
	switch {
	case cause == nil && w.next != nil:
		w.abandon()
	case cause != nil && w.next == nil && w.mayOpen():
		w.cause = cause
		w.open()
	}
}

// open chooses another upstream and starts an attempt at it, if there is a sound one and the
// retry budget allows it.
func (w *watcher) open() {
	f := w.f
	s := f.server
	if _, err := f.quarantine(); err != nil {
		w.logRefusal(err.Error())
		return
	}
	request := f.balancerRequest()
	request.Tried, request.SoundOnly = w.tried, true
	session := s.cfg.SessionState()
	pick := s.cfg.Balancer.Choose(s.cfg.Clock(), request, session)
	if pick == nil {
		w.logRefusal(errNoUpstream.Error())
		return
	}
	if !s.cfg.Balancer.TakeRetry(s.cfg.Clock(), f.pool.Name, session.Routers) {
		pick.End(s.cfg.Clock(), balance.OutcomeUnknown)
		w.logRefusal("the retry budget is spent")
		return
	}
	a := f.newAttempt(pick, f.position.get())
	a.opened = make(chan struct{})
	w.next = a
	go func() {
		defer close(a.opened)
		f.openReplacement(a)
	}()
}

// logRefusal logs once for each attempt that it goes on without a replacement.
func (w *watcher) logRefusal(reason string) {
	if !w.refused {
		w.f.logDecision("request not moved from a silent or slow upstream", "upstream", string(w.attempt.pick.Upstream.ID), "cause", w.cause, "reason", reason)
		w.refused = true
	}
}

// abandon cancels the replacement, since the first attempt goes on, and waits for its end.
func (w *watcher) abandon() {
	w.next.cancel(errNotNeeded)
	<-w.next.opened
	w.drop()
}

// drop ends the replacement, which has been opened.
func (w *watcher) drop() {
	a := w.next
	w.next = nil
	a.end(w.f.server.cfg.Clock())
	w.failed = append(w.failed, a)
	w.tried = append(w.tried, a.pick.Upstream.ID)
	if a.sent {
		w.sendsLeft--
	}
	if a.ran {
		w.runsLeft--
	}
}

// replaceCause returns the cause for which an attempt should be replaced, or nil.
func (f *forwarder) replaceCause(a *attempt) error {
	now := f.server.cfg.Clock()
	if a.pick.Stalled(now) {
		return errIdleTimeout
	}
	if f.route.Kind == routes.KindIdempotent && now-a.began > max(slowTargetFactor*f.route.Target, minSlowTimeout) {
		return errSlow
	}
	return nil
}
