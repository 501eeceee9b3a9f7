package mesh

import (
	"context"
	"maps"
	"slices"
	"time"
)

// A connection can stop delivering bytes without TCP noticing: a proxy or firewall on the
// path may acknowledge bytes that it never forwards. So each side sends a ping if streams
// are open and no bytes are received, and closes the connection if no pong follows. Both
// sides must ping, because during a long answer only one of them receives bytes.

// Defaults of Config.
const (
	// DefaultPingAfter equals the routers' renewal interval, so that pings are rarely
	// needed.
	DefaultPingAfter = time.Second
	// DefaultIdleTimeout equals the lease, which leaves a slow instance enough time to
	// answer. A peer that is down is detected sooner by TCP keep-alive probes.
	DefaultIdleTimeout = 3 * time.Second
)

var processStart = time.Now()

func monotonicNow() time.Duration { return time.Since(processStart) }

// idleTime returns the time since the last received frame, or 0 if no stream is open.
func (c *connection) idleTime(now time.Duration) time.Duration {
	if !c.hasStreams() {
		c.lastReceived.Store(int64(now)) // the next stream gets the full timeout
		return 0
	}
	return now - time.Duration(c.lastReceived.Load())
}

func (c *connection) hasStreams() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.streams) > 0
}

// pingOrClose sends a ping on a connection that has been idle for PingAfter. It closes the
// connection after IdleTimeout if the previous check has sent a ping too. It reports
// whether it has sent a ping.
func (c *connection) pingOrClose(now time.Duration, pinged bool) (sent bool) {
	idle := c.idleTime(now)
	switch {
	case idle > c.cfg.IdleTimeout && pinged:
		c.cfg.Logger.Info("mesh connection lost", "peer", c.peer, "error", "silent", "quiet", idle.Round(time.Millisecond).String())
		c.terminate()
	case idle > c.cfg.PingAfter:
		c.writer.write(framePing, 0, nil)
		return true
	}
	return false
}

// watchIdle checks connections until ctx ends. A connection is closed only if the previous
// check has pinged it, so that a process that was paused itself pings before it closes.
func watchIdle(ctx context.Context, cfg *Config, conns func() []*connection) {
	pinged := make(map[*connection]bool)
	cfg.Guard.Every(ctx, "mesh idle check", cfg.PingAfter/2, func(context.Context) {
		now := monotonicNow()
		next := make(map[*connection]bool)
		for _, c := range conns() {
			if c.pingOrClose(now, pinged[c]) {
				next[c] = true
			}
		}
		pinged = next
	})
}

// liveConnections returns the established connections that are not lost.
func (p *Pool) liveConnections() []*connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*connection
	for _, entry := range p.conns {
		if entry.finished() && entry.alive() {
			out = append(out, entry.conn)
		}
	}
	return out
}

// liveConnections returns the accepted connections.
func (s *Server) liveConnections() []*connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.conns))
}
