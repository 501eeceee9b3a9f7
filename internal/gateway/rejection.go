package gateway

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	// retryBase and retrySpread determine the retry delay of rejected callers: they should
	// retry before their deadlines, but not all at once.
	retryBase   = 300 * time.Millisecond
	retrySpread = 500 * time.Millisecond
	// controlBase and controlSpread apply while the router waits for the control group:
	// callers retry after an election, which takes about a second.
	controlBase   = 1200 * time.Millisecond
	controlSpread = time.Second
	// stopBase and stopSpread apply at a router that stops: the caller's next connection leads to
	// another one.
	stopBase   = 50 * time.Millisecond
	stopSpread = 150 * time.Millisecond
	// maxRestSpread bounds the time over which the callers return that were refused while all
	// upstreams of a pool rested. Few callers wait longer.
	maxRestSpread = 10 * time.Second
)

// rejection is an answer that the router itself gives in place of an upstream.
type rejection struct {
	status int
	reason string
	// base and spread set the retry delay of a caller whose request has not run: base and
	// a random part of spread. They are 0 if a retry wouldn't help.
	base, spread time.Duration
	// drain bounds the bytes of an unread body that are read once the answer is written.
	drain int64
}

// unavailable returns the rejection of a request that has not run and may soon find an
// upstream.
func unavailable(reason string) *rejection {
	return &rejection{status: http.StatusServiceUnavailable, reason: reason, base: retryBase, spread: retrySpread}
}

// unserved returns the rejection of a request that has not run since no upstream may get it. If
// all of the pool rest, callers return when the first one takes work again, spread over as
// long as it rested: they then come at the rate at which they were refused.
func (f *forwarder) unserved() *rejection {
	if f.shed != nil {
		return f.shed
	}
	rejected := unavailable(f.failureReason())
	if left, length, ok := f.server.cfg.Balancer.RestLeft(f.server.cfg.Clock(), f.pool.Name, f.server.cfg.SessionState()); ok {
		rejected.base, rejected.spread = left, min(max(length, retrySpread), maxRestSpread)
	} else if f.refused {
		rejected.base, rejected.spread = f.server.dispatch.retryDelay(f)
	}
	return rejected
}

// controlUnavailable returns the rejection of a request that can't be decided until the
// control group answers.
func (s *Server) controlUnavailable(reason string) *rejection {
	base, spread := s.startup.wait.retryDelay(s.cfg.Clock())
	return &rejection{status: http.StatusServiceUnavailable, reason: reason, base: base, spread: spread}
}

// reject answers the caller with the rejection and logs it.
func (f *forwarder) reject(r *rejection) {
	h := f.w.Header()
	if r.base > 0 {
		f.server.cfg.Protocol.RetryAfter(h, r.base+time.Duration(f.newDraw()*float64(r.spread)))
	}
	if r.drain > 0 {
		// net/http would otherwise read the body first, or announce that it closes the connection.
		_ = http.NewResponseController(f.w).EnableFullDuplex()
	}
	body := r.reason + "\n"
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	f.w.WriteHeader(r.status)
	if _, err := io.WriteString(f.w, body); err != nil {
		f.logDecision("cannot write the rejection to the caller", "error", err)
	}
	f.recordOutcome(r.status, r.reason)
	if r.drain > 0 {
		f.drainBody(r.drain)
	}
}
