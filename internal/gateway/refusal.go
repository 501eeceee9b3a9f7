package gateway

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	// retryBase and retrySpread set when refused callers come back: soon enough for
	// their deadlines, and not all at once.
	retryBase   = 300 * time.Millisecond
	retrySpread = 500 * time.Millisecond
	// controlBase and controlSpread are those of a router that waits for the control
	// group: after an election, which takes about a second.
	controlBase   = 1200 * time.Millisecond
	controlSpread = time.Second
)

// refusal is an answer of the router's own.
type refusal struct {
	status int
	reason string
	// A caller whose request has not run should come back after base and a part of
	// spread; 0 where a wait doesn't help.
	base, spread time.Duration
}

// unavailable refuses a request that has not run and may soon find an upstream.
func unavailable(reason string) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, base: retryBase, spread: retrySpread}
}

// uncontrolled refuses a request at a router that waits for the control group.
func uncontrolled(reason string) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, base: controlBase, spread: controlSpread}
}

// refuse writes the refusal.
func (c *course) refuse(f *refusal) {
	h := c.w.Header()
	if f.base > 0 {
		c.server.cfg.Dialect.RetryAfter(h, f.base+time.Duration(c.random()*float64(f.spread)))
	}
	body := f.reason + "\n"
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	c.w.WriteHeader(f.status)
	if _, err := io.WriteString(c.w, body); err != nil {
		c.note("caller left before the refusal", "error", err)
	}
	c.finish(f.status, f.reason)
}
