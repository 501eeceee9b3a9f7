package gateway

import (
	"bytes"
	"io"
	"sync/atomic"
	"time"
)

const (
	// startupWindow is the time after a router's start in which requests wait until it can serve
	// them. It covers an election that has to wait for a lost leader's lease, and the joint start of
	// several hundred routers.
	startupWindow = 2500 * time.Millisecond
	// maxStartupWait bounds how long one request waits.
	maxStartupWait = time.Second
	// startupShare is the part of a caller's time that a request may wait. The rest leaves
	// room for a retry.
	startupShare = 4
	// maxHeld bounds the requests that wait at a router, and maxHeldBody their bodies in bytes.
	maxHeld     = 512
	maxHeldBody = 64 << 10
)

// startupWait decides which requests wait at a router that has just started, until the control
// group confirms the routing table and the upstream list is read for the first time, and when
// callers that are rejected meanwhile return. A router keeps nothing over a restart, so after all
// processes were killed every request that arrives before the next election would be rejected,
// and a caller that returns only once is lost to a second rejection.
type startupWait struct {
	start time.Duration // when the router started
}

// limit returns how long a request may wait that arrives at now, whose caller waits for timeout
// (0 if it doesn't say) and beside which held others wait. 0 means that it is rejected at once.
func (w startupWait) limit(now, timeout time.Duration, held int64) time.Duration {
	if held >= maxHeld {
		return 0
	}
	wait := min(maxStartupWait, w.start+startupWindow-now)
	if timeout > 0 {
		wait = min(wait, timeout/startupShare)
	}
	return max(wait, 0)
}

// retryDelay returns the base and the spread of a rejected caller's delay. Within the window a
// confirmation may follow at any time; after it, the group lacks a majority or can't be reached.
func (w startupWait) retryDelay(now time.Duration) (base, spread time.Duration) {
	if now < w.start+startupWindow {
		return retryBase, retrySpread
	}
	return controlBase, controlSpread
}

// startupGate holds requests back until the router can serve them. It is safe for concurrent use.
type startupGate struct {
	wait    startupWait
	started <-chan struct{} // see ServerConfig.Started
	held    atomic.Int64
}

// isOpen reports whether the router has been able to serve requests since its start.
func (g *startupGate) isOpen() bool {
	select {
	case <-g.started:
		return true
	default:
		return false
	}
}

// awaitStartup holds the request until the router can serve it, for as long as startupWait allows.
// The body is read before, because a caller may abandon a request that
// isn't read. The error is that of reading it, or errPlannedStop.
func (f *forwarder) awaitStartup() error {
	gate := &f.server.startup
	if gate.isOpen() {
		return nil
	}
	complete, err := f.bufferBody()
	if err != nil || !complete {
		return err
	}
	now := f.server.cfg.Clock()
	limit := gate.wait.limit(now, f.call.Timeout, gate.held.Add(1)-1)
	defer gate.held.Add(-1)
	if limit == 0 {
		return nil
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-gate.started:
	case <-f.ctx.Done():
	case <-timer.C:
	}
	f.held = f.server.cfg.Clock() - now
	if f.isStopped() {
		return errPlannedStop
	}
	return nil
}

// bufferBody reads a body of up to maxHeldBody bytes and reports whether that is all of it. The
// body can be read as before.
func (f *forwarder) bufferBody() (complete bool, err error) {
	body := f.r.Body
	var read []byte
	err = f.w.readBody(func() (err error) {
		read, err = io.ReadAll(io.LimitReader(body, maxHeldBody+1))
		return err
	})
	if err != nil {
		return false, err
	}
	f.r.Body = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(read), body), body}
	return len(read) <= maxHeldBody, nil
}
