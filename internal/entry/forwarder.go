package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/answer"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/mesh"
	"github.com/wigeonflow/wigeonflow/internal/owner"
	"github.com/wigeonflow/wigeonflow/internal/placement"
)

// forwarder holds the state of a request's attempts at the owners of its candidates. It
// is common to requests to engines and to services.
type forwarder struct {
	server   *Server
	pool     fleet.PoolID
	deadline time.Duration // for the admission of a chat, and for the answer of a call

	progress   *answer.Progress
	route      *route
	rounds     rounds
	attempts   int           // started so far; part of their IDs
	retryAfter time.Duration // see raiseRetryAfter
	lastErr    error         // of the latest failed attempt
}

// candidates returns the upstreams for a key in order of preference; none is the
// message of the rejection if there are none.
func (f *forwarder) candidates(key placement.ChatKey, none string) ([]placement.Candidate, *answer.Rejection) {
	table := f.server.cfg.Table()
	if err := f.server.cfg.Serving(); err != nil || table == nil {
		return nil, unavailable("this router cannot serve yet", 0)
	}
	candidates := table.Candidates(key, f.pool, f.server.cfg.Zone, make([]placement.Candidate, 0, maxCandidates))
	if len(candidates) == 0 {
		return nil, unavailable(none, 0)
	}
	return candidates, nil
}

// advance moves to the next target of the route, or to the first one of another round
// over the candidates, and reports whether there is one.
func (f *forwarder) advance(ctx context.Context, reorder func() *answer.Rejection) bool {
	if f.route.advance() {
		return true
	}
	return f.rounds.startNext(ctx, f.deadline-f.server.cfg.Clock()) && reorder() == nil
}

// takeRetry takes one retry from the budgets of the workspace and the pool, and reports
// whether both allow it.
func (f *forwarder) takeRetry(workspace fleet.WorkspaceID) bool {
	return f.server.retries.takeRetry(f.server.cfg.Clock(), workspace, f.pool)
}

// countSuccess counts an answered request, which adds to the retry budgets.
func (f *forwarder) countSuccess(workspace fleet.WorkspaceID) {
	f.server.retries.recordSuccess(f.server.cfg.Clock(), workspace, f.pool)
}

// ownerOf returns the current owner of an upstream, which may have changed since the
// candidates were ordered.
func (f *forwarder) ownerOf(id fleet.UpstreamID) (fleet.Member, bool) {
	return f.server.cfg.Member(f.server.cfg.Table().Owner(id))
}

// setHeader sets the header fields that differ between targets, and returns the owner
// of the current target.
func (f *forwarder) setHeader(h *owner.Header) (fleet.Member, bool) {
	target := f.route.current()
	h.Upstream, h.MayQueue = target.Upstream, target.queue
	h.BudgetMillis = remainingMillis(f.server.cfg.Clock(), f.deadline)
	member, ok := f.ownerOf(target.Upstream)
	f.rounds.ownerMissing = f.rounds.ownerMissing || !ok
	return member, ok
}

// requestAdmission opens a stream to an owner and waits for its verdict. If the request
// was not admitted, the stream is nil, and the end and the facts describe the failure.
func (f *forwarder) requestAdmission(ctx context.Context, member fleet.Member, method string, message []byte, mayQueue bool) (*mesh.Stream, owner.Verdict, answer.End, answer.Facts) {
	stream, err := f.server.cfg.Pool.Open(ctx, member.Addr, method, message)
	if err != nil {
		f.lastErr, f.rounds.ownerMissing = err, true
		return nil, owner.Verdict{}, answer.EndNotConnected, answer.Facts{}
	}
	verdict, err := receiveVerdict(ctx, stream, mayQueue, f.server.cfg.MaxWait)
	if err != nil {
		stream.Close()
		f.lastErr = err
		return nil, verdict, answer.EndOwnerLost, answer.Facts{MayHaveBeenSent: true}
	}
	if !verdict.Admitted {
		stream.Close()
		f.lastErr = fleet.At(errors.New(verdict.Reason.String()), "owner.admit", member.Addr)
		f.raiseRetryAfter(verdict.RetryAfterMillis)
		f.rounds.recordRejection(verdict.Reason)
		return nil, verdict, answer.EndRejected, answer.Facts{}
	}
	return stream, verdict, 0, answer.Facts{}
}

// raiseRetryAfter records the longest retry delay that any owner has asked for.
func (f *forwarder) raiseRetryAfter(millis uint32) {
	f.retryAfter = max(f.retryAfter, time.Duration(millis)*time.Millisecond)
}

// notAdmitted returns the decision on a request that no owner has admitted.
func notAdmitted(d answer.Decision) answer.Decision {
	d.Status = http.StatusServiceUnavailable
	return d
}
