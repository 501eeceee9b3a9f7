package gateway

import "time"

const (
	// timeoutWindow is the time over which the longest timeout of a route's callers counts as the one
	// of a first attempt. Operators change it seldom.
	timeoutWindow = 10 * time.Second
	// minSpent is the least difference that tells a caller that has been here or elsewhere before.
	// Requests that are on their way for some milliseconds differ by less.
	minSpent = 50 * time.Millisecond
	// maxTimeoutRoutes bounds the routes of a pool whose callers' timeouts are kept.
	maxTimeoutRoutes = 1024
)

// callerTimeouts tells how long the callers of a pool's routes have been waiting when their requests
// arrive: a caller that was rejected comes back with less of its time left, and its target counts
// from its first attempt. It is not safe for concurrent use.
type callerTimeouts struct {
	began   time.Duration // of the present window
	longest map[string]routeTimeouts
}

// routeTimeouts holds the longest timeout of the present and of the former window.
type routeTimeouts struct{ present, former time.Duration }

// spent returns the time that a request's caller has spent before it arrived at now, and records its
// timeout; 0 for none.
func (c *callerTimeouts) spent(now time.Duration, route string, timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return 0
	}
	if c.longest == nil || now-c.began >= timeoutWindow {
		c.turn(now)
	}
	t, known := c.longest[route]
	if !known && len(c.longest) >= maxTimeoutRoutes {
		return 0
	}
	t.present = max(t.present, timeout)
	c.longest[route] = t
	if spent := max(t.present, t.former) - timeout; spent >= minSpent {
		return spent
	}
	return 0
}

// turn begins a new window.
func (c *callerTimeouts) turn(now time.Duration) {
	next := make(map[string]routeTimeouts, len(c.longest))
	for route, t := range c.longest {
		if t.present > 0 {
			next[route] = routeTimeouts{former: t.present}
		}
	}
	c.began, c.longest = now, next
}
