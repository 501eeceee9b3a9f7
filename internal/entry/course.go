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

// course is what requests to engines and to services have in common on their way
// over the owners of their candidates.
type course struct {
	server   *Server
	pool     fleet.PoolID
	deadline time.Duration

	progress   *answer.Progress
	route      *route
	rounds     rounds
	attempts   int
	retryAfter time.Duration
	last       error // the newest failure
}

// candidates orders the upstreams for a key; none is the refusal's text where
// there are none.
func (c *course) candidates(key placement.ChatKey, none string) ([]placement.Candidate, *answer.Refusal) {
	table := c.server.cfg.Table()
	if err := c.server.cfg.Serving(); err != nil || table == nil {
		return nil, unavailable("this router cannot serve yet", 0)
	}
	candidates := table.Candidates(key, c.pool, c.server.cfg.Zone, make([]placement.Candidate, 0, maxHops))
	if len(candidates) == 0 {
		return nil, unavailable(none, 0)
	}
	return candidates, nil
}

// advance moves to the next stop of the route, or to the first one of another
// round over the candidates; false means that none is left.
func (c *course) advance(ctx context.Context, place func() *answer.Refusal) bool {
	if c.route.advance() {
		return true
	}
	return c.rounds.another(ctx, c.deadline-c.server.cfg.Clock()) && place() == nil
}

// retry takes one retry out of the budgets of the workspace and the pool.
func (c *course) retry(workspace fleet.WorkspaceID) bool {
	return c.server.retries.allow(c.server.cfg.Clock(), workspace, c.pool)
}

// succeeded counts an answered request for the budgets.
func (c *course) succeeded(workspace fleet.WorkspaceID) {
	c.server.retries.succeeded(c.server.cfg.Clock(), workspace, c.pool)
}

// ownerOf returns the present owner of an upstream: it may have changed since
// the candidates were ordered.
func (c *course) ownerOf(id fleet.UpstreamID) (fleet.Member, bool) {
	return c.server.cfg.Member(c.server.cfg.Table().Owner(id))
}

// head fills in what changes from stop to stop, and returns the stop's owner.
func (c *course) head(h *owner.Header) (fleet.Member, bool) {
	stop := c.route.current()
	h.Upstream, h.MayQueue = stop.Upstream, stop.queue
	h.BudgetMillis = budgetMillis(c.server.cfg.Clock(), c.deadline)
	member, ok := c.ownerOf(stop.Upstream)
	c.rounds.moved = c.rounds.moved || !ok
	return member, ok
}

// ask opens a stream to an owner and waits for its verdict. Where the request
// was not admitted the stream is nil, and the end and the facts say why.
func (c *course) ask(ctx context.Context, member fleet.Member, method string, message []byte, mayQueue bool) (*mesh.Stream, owner.Verdict, answer.End, answer.Facts) {
	stream, err := c.server.cfg.Pool.Open(ctx, member.Addr, method, message)
	if err != nil {
		c.last, c.rounds.moved = err, true
		return nil, owner.Verdict{}, answer.EndNotConnected, answer.Facts{}
	}
	verdict, err := receiveVerdict(ctx, stream, mayQueue, c.server.cfg.MaxWait)
	if err != nil {
		stream.Close()
		c.last = err
		return nil, verdict, answer.EndOwnerLost, answer.Facts{MayHaveLeft: true}
	}
	if !verdict.Admitted {
		stream.Close()
		c.last = fleet.At(errors.New(verdict.Reason.String()), "owner.admit", member.Addr)
		c.askAgainAfter(verdict.RetryAfterMillis)
		c.rounds.refused(verdict.Reason)
		return nil, verdict, answer.EndRefused, answer.Facts{}
	}
	return stream, verdict, 0, answer.Facts{}
}

func (c *course) askAgainAfter(millis uint32) {
	c.retryAfter = max(c.retryAfter, time.Duration(millis)*time.Millisecond)
}

// exhausted is the decision on a request that every owner has refused.
func exhausted(d answer.Decision) answer.Decision {
	d.Status = http.StatusServiceUnavailable
	return d
}
