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
)

// refusal is an answer of the router's own.
type refusal struct {
	status int
	reason string
	// retry is set where a wait helps. The request has not run.
	retry bool
}

// unavailable refuses a request that has not run and may come back.
func unavailable(reason string) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, retry: true}
}

// refuse writes the refusal.
func (c *course) refuse(f *refusal) {
	h := c.w.Header()
	if f.retry {
		wait := retryBase + time.Duration(c.random()*float64(retrySpread))
		c.server.cfg.Dialect.RetryAfter(h, wait)
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
