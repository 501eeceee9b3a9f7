package gateway

import (
	"errors"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/joomcode/errorx"

	"github.com/wigeonflow/wigeonflow/internal/balance"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/routes"
)

var (
	errReplacedVersion = fleet.Errors.NewType("gateway_replaced_version").New("the upstream's version is replaced and about to be stopped")
	errGrantLapsed     = fleet.Errors.NewType("gateway_grant_lapsed").New("the share of the new version has lapsed since the upstream was chosen")
	// errOtherWeights is the type of errors of attempts whose answer would continue a stream with
	// other weights than it has begun with.
	errOtherWeights = fleet.Errors.NewType("gateway_other_weights")
)

// versionTrail is what a request has met of versions. It is safe for concurrent use.
type versionTrail struct {
	chosen  atomic.Bool // a version was chosen before
	refused atomic.Bool // an upstream is gone: the connection was refused, or another one has answered
	unfit   atomic.Bool // an upstream of another version has other weights than the stream
	bound   atomic.Pointer[boundVersion]
}

// boundVersion is the version that the caller has events of, or is about to get them.
type boundVersion struct {
	version string
	weights string // empty if the upstream doesn't tell
	isNew   bool
}

// answerTiming measures an answer.
type answerTiming struct {
	done   time.Duration // the first event of a stream, or the end of a complete answer, has arrived; 0 for not yet
	latest time.Duration // when the newest event was passed on; 0 for never
	pause  time.Duration // the longest
}

// recordEvents records that events of a stream have arrived, and until when they were written to the
// caller, whose pace is no pause of the upstream.
func (t *answerTiming) recordEvents(arrived, written time.Duration) {
	if t.done == 0 {
		t.done = arrived
	}
	if t.latest > 0 {
		t.pause = max(t.pause, arrived-t.latest)
	}
	t.latest = written
}

// choose takes a slot at an upstream of a version that may get the request, or returns nil.
func (f *forwarder) choose(request *balance.Request, session balance.SessionState) *balance.Pick {
	b, now, r := f.server.cfg.Balancer, f.server.cfg.Clock(), f.server.cfg.Rollouts
	if r == nil {
		return b.Choose(now, request, session)
	}
	of := sideRequest{first: !f.versions.chosen.Load(), refused: f.versions.refused.Load()}
	if n := len(request.Parts); n > 0 {
		of.key = request.Parts[max(n-2, 0)].ID
	}
	if bound := f.boundVersion(); bound != nil {
		of.bound, of.boundNew = true, bound.isNew
		if bound.weights == "" || f.versions.unfit.Load() {
			request.Version = &bound.version
		}
	}
	pick := r.choose(request, of, func(request *balance.Request) *balance.Pick { return b.Choose(now, request, session) })
	if pick != nil {
		f.versions.chosen.Store(true)
	}
	return pick
}

// boundVersion returns the version that a stream's caller has events of; nil for none.
func (f *forwarder) boundVersion() *boundVersion {
	if f.position.get() == f.call.After {
		return nil
	}
	return f.versions.bound.Load()
}

// bindVersion records the version of an attempt whose stream is about to be relayed, unless the
// caller has events of another one.
func (f *forwarder) bindVersion(a *attempt) {
	if f.server.cfg.Rollouts != nil && f.boundVersion() == nil {
		f.versions.bound.Store(&boundVersion{a.pick.Upstream.Version, a.head.Weights, a.rollout.isNew})
	}
}

// conflicts reports whether the caller has events that the attempt's answer can't continue.
func (f *forwarder) conflicts(a *attempt) bool {
	return f.server.cfg.Rollouts != nil && a.head.Stream && f.hasOtherWeights(a)
}

// expectedWeights returns the weights that an attempt resumes a stream with; empty if unknown or if
// it resumes none.
func (f *forwarder) expectedWeights(a *attempt) string {
	if bound := f.boundVersion(); bound != nil && a.resumes {
		return bound.weights
	}
	return ""
}

// hasOtherWeights reports whether the attempt's answer can't continue the stream that the caller has
// a part of. Upstreams of the same version that don't tell their weights have the same.
func (f *forwarder) hasOtherWeights(a *attempt) bool {
	bound := f.boundVersion()
	switch {
	case bound == nil:
		return false
	case a.head.Weights != "" && bound.weights != "":
		return a.head.Weights != bound.weights
	default:
		return a.pick.Upstream.Version != bound.version
	}
}

// recordOtherWeights fails an attempt whose answer can't continue the stream, and reports whether it
// did. An upstream that has rejected the request for its weights is still at its address.
func (f *forwarder) recordOtherWeights(a *attempt) bool {
	if f.server.cfg.Rollouts == nil || !a.resumes || !f.hasOtherWeights(a) || a.head.NotRun && !a.head.Misdirected {
		return false
	}
	a.head.Misdirected = false
	f.versions.unfit.Store(true)
	a.err = errOtherWeights.New("upstream %s of version %.80q has other weights than the stream", a.pick.Upstream.ID, a.pick.Upstream.Version)
	f.logDecision("stream not continued: the upstream has other weights", "upstream", string(a.pick.Upstream.ID), "version", a.pick.Upstream.Version, "weights", a.head.Weights)
	return true
}

// mustMove reports whether the attempt's stream is to be moved to a new version.
func (f *forwarder) mustMove(a *attempt) bool {
	return f.route.Kind == routes.KindStream && f.server.cfg.Rollouts.movesFrom(&a.pick.Upstream)
}

// beginRollout counts the attempt for its upstream's version.
func (f *forwarder) beginRollout(a *attempt) {
	a.rollout = f.server.cfg.Rollouts.begin(&a.pick.Upstream)
}

// endRollout counts the end of the attempt for its upstream's version.
func (f *forwarder) endRollout(a *attempt, now time.Duration) {
	if f.server.cfg.Rollouts == nil {
		return
	}
	gone := a.head.Misdirected || !a.sent && errors.Is(a.err, syscall.ECONNREFUSED)
	if gone {
		f.versions.refused.Store(true)
	}
	f.server.cfg.Rollouts.end(&a.pick.Upstream, a.rollout, a.sent, gone, f.rolloutSample(a, now))
}

// rolloutSample returns what the attempt says about its upstream's version; nil for nothing: it was not
// run, or was ended by this router, or by its caller before the first event. An answer that did not
// come in time counts as one of the time that it took until then, and the silence before a caller left
// as a pause.
func (f *forwarder) rolloutSample(a *attempt, now time.Duration) *answerSample {
	s := &answerSample{countKey: countKey{route: f.route.Name, zone: a.pick.Upstream.Zone}, latency: now - a.began, pause: -1}
	if a.timing.done > 0 {
		s.latency = a.timing.done - a.began
		if a.head.Stream {
			s.pause = a.timing.pause
		}
	}
	switch late := errors.Is(a.err, errIdleTimeout) || errors.Is(a.err, errSlow) || errors.Is(a.err, errDeadline); {
	case !a.sent || !a.ran:
		return nil
	case a.timing.latest > 0 && (late || f.callerLeft(a)):
		s.pause = max(s.pause, now-a.timing.latest)
	case late:
	case a.outcome == balance.OutcomeUnknown, errorx.IsOfType(a.err, errBudget):
		return nil
	default:
		s.failed = a.outcome != balance.OutcomeServed
	}
	if a.resumes {
		s.latency = -1 // the prompt and what was sent of the answer are read again
	}
	return s
}

// callerLeft reports whether the attempt has ended because its caller left.
func (f *forwarder) callerLeft(a *attempt) bool {
	return a.outcome == balance.OutcomeUnknown && f.r.Context().Err() != nil && !errors.Is(a.err, errNotNeeded) && !errors.Is(a.err, errReplacedVersion)
}
