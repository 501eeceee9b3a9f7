package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/wigeonflow/wigeonflow/internal/balance"
	"github.com/wigeonflow/wigeonflow/internal/exchange"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// maxAnswer bounds an answer that is passed on whole, in bytes.
const maxAnswer = 16 << 20

var errTooLong = fleet.Errors.NewType("gateway_answer_too_long")

// relayWhole reads an answer to its end before it passes it on, so that a cut one
// never reaches the caller.
func (c *course) relayWhole(ctx context.Context, pick *balance.Pick, resp *exchange.Response, head Head) (done bool, o balance.Outcome) {
	pick.Answered(c.server.cfg.Clock(), head.Load)
	body, err := io.ReadAll(io.LimitReader(resp, maxAnswer+1))
	if err == nil && len(body) > maxAnswer {
		err = errTooLong.New("the answer is longer than %d bytes", maxAnswer)
	}
	if err != nil {
		return false, c.broken(ctx, err)
	}
	whole := &answer{status: resp.Status, header: resp.Header, body: body}
	if resp.Status < http.StatusInternalServerError {
		c.writeWhole(whole)
		return true, balance.OutcomeServed
	}
	c.held = whole
	c.note("upstream failed", "upstream", string(pick.Upstream.ID), "status", resp.Status)
	return false, balance.OutcomeError
}

// writeWhole passes an answer on.
func (c *course) writeWhole(a *answer) {
	h := c.w.Header()
	for name, values := range c.server.cfg.Dialect.Return(a.header) {
		h[name] = values
	}
	if h["Content-Type"] == nil {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
	if c.r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	c.w.WriteHeader(a.status)
	if _, err := c.w.Write(a.body); err != nil {
		c.finish(a.status, "the caller left: "+err.Error())
		return
	}
	reason := ""
	if a.status >= http.StatusInternalServerError {
		reason = "the upstream failed"
	}
	c.finish(a.status, reason)
}
