package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// errPlannedStop is the cause with which a planned stop ends a request.
var errPlannedStop = fleet.Errors.NewType("gateway_planned_stop").New("this router stops and the request has no answer yet")

// stopEndsRequest is the value of the log key no_attempt of a request that a planned stop has ended.
const stopEndsRequest = "planned stop"

// beginStop arranges, once a planned stop has begun, that the requests which are unanswered shortly
// before the end of its grace period are answered by then. Further calls do nothing.
func (s *Server) beginStop() {
	stop := s.cfg.Stop()
	if stop == nil {
		return
	}
	s.dispatch.stop()
	if stop.GraceEnd == 0 {
		return
	}
	s.stopOnce.Do(func() {
		time.AfterFunc(stop.Cap(stop.GraceEnd)-s.cfg.Clock(), s.endUnanswered)
	})
}

// endUnanswered ends the requests whose answers have not begun, also those that arrive later.
func (s *Server) endUnanswered() {
	s.endsUnanswered.Store(true)
	s.inFlight.Range(func(_, value any) bool {
		value.(*answerWriter).end()
		return true
	})
}

// end ends the request because of the planned stop, unless its answer has begun.
func (w *answerWriter) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.claimed {
		return
	}
	w.ended = true
	w.cancel(errPlannedStop)
	if w.reading {
		_ = http.NewResponseController(w.ResponseWriter).SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
	}
}

// claim keeps the planned stop from ending the request, whose answer begins. It returns
// errPlannedStop if the request has been ended.
func (w *answerWriter) claim() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.claimed = true
	return w.endedErr()
}

// readBody calls read, which reads the request's body and fails if the planned stop ends the request
// meanwhile. The error is errPlannedStop in that case, and otherwise that of read.
func (w *answerWriter) readBody(read func() error) error {
	if err := w.setReading(true); err != nil {
		return err
	}
	err := read()
	if stopErr := w.setReading(false); stopErr != nil {
		return stopErr
	}
	return err
}

// setReading records whether the body is being read. Outside of that the read deadline must not be
// set: net/http would take the expired read for the caller's disconnection.
func (w *answerWriter) setReading(reading bool) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reading = reading
	return w.endedErr()
}

// endedErr returns errPlannedStop if the request has been ended. The caller holds w.mu.
func (w *answerWriter) endedErr() error {
	if w.ended {
		return errPlannedStop
	}
	return nil
}

// isStopped reports whether the planned stop has ended the request.
func (f *forwarder) isStopped() bool { return errors.Is(context.Cause(f.ctx), errPlannedStop) }

// rejectStopped returns the rejection of a request that has not run and is ended by the planned stop.
func (f *forwarder) rejectStopped() *rejection {
	f.lastErr, f.noAttempt = errPlannedStop, stopEndsRequest
	return &rejection{status: http.StatusServiceUnavailable, reason: errPlannedStop.Message(), base: stopBase, spread: stopSpread}
}
