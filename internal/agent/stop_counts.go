package agent

import (
	"net"
	"net/http"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"github.com/wigeonflow/wigeonflow/internal/telemetry"
)

// dropCause tells how far a request had come whose connection was closed before it was read.
type dropCause string

const (
	// droppedUnread is a connection whose caller had sent bytes that nobody had read.
	droppedUnread dropCause = "unread"
	// droppedHead is a connection of which a part of a request's head had been read.
	droppedHead dropCause = "head"
)

// stopCounts are numbers of callers' connections since a stop began.
type stopCounts struct {
	// accepted connections were taken from the listener's queue after the notice.
	accepted int
	// answered connections were closed behind an answer that ended after the stop had begun, idle
	// ones later between two requests, and unused ones before their first.
	answered, idle, unused int
	// dropped connections were closed although a part of a request had been received.
	dropped map[dropCause]int
}

// newDropCounters returns the counters of callerServer.dropped, registered in a registry.
func newDropCounters(registry metrics.Registry) map[dropCause]metrics.Counter {
	counters := make(map[dropCause]metrics.Counter)
	for _, cause := range []dropCause{droppedUnread, droppedHead} {
		counters[cause] = metrics.GetOrRegisterCounter(telemetry.MetricName("callers_connections_dropped", "cause", string(cause)), registry)
	}
	return counters
}

// countClosed counts a connection that was closed in a state. s.mu must be held.
func (s *callerServer) countClosed(c net.Conn, last *callerState) {
	if last.ConnState == http.StateActive {
		return // its request has lines of its own
	}
	conn := callerConnOf(c)
	switch {
	case conn == nil:
	case conn.unreadAtClose.Load():
		s.countDropped(droppedUnread)
		return
	case conn.expired.Load() && last.hasPartOfHead(c):
		s.countDropped(droppedHead)
		return
	}
	switch {
	case !s.stopping:
	case last.ended:
		s.stop.answered++
	case last.ConnState == http.StateNew:
		s.stop.unused++
	default:
		s.stop.idle++
	}
}

// countDropped counts a connection that was closed for a cause. s.mu must be held.
func (s *callerServer) countDropped(cause dropCause) {
	s.dropped[cause].Inc(1)
	if !s.stopping {
		return
	}
	if s.stop.dropped == nil {
		s.stop.dropped = make(map[dropCause]int)
	}
	s.stop.dropped[cause]++
}

// logStop logs what became of the connections since the stop began, those left included. A
// connection with requests that run is in use.
func (s *callerServer) logStop(log hclog.Logger) {
	s.mu.Lock()
	defer s.mu.Unlock()
	inUse, unreadLeft := 0, 0
	for c, state := range s.conns {
		if state.ConnState == http.StateActive {
			inUse++
		} else if unread(c) {
			unreadLeft++
		}
	}
	log.Info("callers' connections drained", "accepted", s.stop.accepted, "closed_answered", s.stop.answered, "closed_idle", s.stop.idle, "closed_unused", s.stop.unused,
		"closed_unread", s.stop.dropped[droppedUnread], "closed_in_head", s.stop.dropped[droppedHead],
		"left", len(s.conns), "left_in_use", inUse, "left_unread", unreadLeft)
}
