package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// FaultKind is the kind of an injected fault.
type FaultKind string

// The kinds of fault. Services use Fault.After only for FaultCut, where it counts
// bytes of the answer instead of tokens.
const (
	// FaultStall stops sending after Fault.After tokens, for Millis or, if Millis
	// is 0, until the caller disconnects. A service stalls before it runs the
	// request.
	FaultStall FaultKind = "stall"
	// FaultCut closes the connection after Fault.After tokens.
	FaultCut FaultKind = "cut"
	// FaultLate delays the first byte of the answer by Millis. A service delays it
	// after it has run the request.
	FaultLate FaultKind = "late"
	// FaultCross misdelivers an answer: after Fault.After tokens it carries
	// another request's ID and text. A service misdelivers the whole answer.
	FaultCross FaultKind = "cross"
	// FaultCold makes the upstream cold for Millis, starting at once. If Millis is 0,
	// a service is cold for 5 s, and an engine for ColdTime but at least 5 s.
	FaultCold FaultKind = "cold"
	// FaultSlow delays each token by Millis. A service handles it like FaultLate.
	FaultSlow FaultKind = "slow"
)

// Fault is a fault to inject into a stand-in.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// After is the number of tokens sent before the fault, or of bytes from a service.
	After int `json:"after"`
	// Count is the number of requests that the fault applies to; 0 means 1.
	Count int `json:"count"`
	// Millis is the duration of the fault in milliseconds.
	Millis int64 `json:"millis"`
}

func (f Fault) duration() time.Duration { return time.Duration(f.Millis) * time.Millisecond }

// valid reports whether the kind is known and no number is negative.
func (f Fault) valid() bool {
	switch f.Kind {
	case FaultStall, FaultCut, FaultLate, FaultCross, FaultCold, FaultSlow:
		return f.After >= 0 && f.Count >= 0 && f.Millis >= 0
	}
	return false
}

// faultQueue assigns its faults to requests in the order of their arrival.
type faultQueue struct {
	mu     sync.Mutex
	faults []Fault
}

// push adds f for the next requests, f.Count of them.
func (q *faultQueue) push(f Fault) {
	if f.Count == 0 {
		f.Count = 1
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.faults = append(q.faults, f)
}

// next returns the fault of the next request; the zero Fault means none.
func (q *faultQueue) next() Fault {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.faults) == 0 {
		return Fault{}
	}
	f := q.faults[0]
	q.faults[0].Count--
	if q.faults[0].Count == 0 {
		q.faults = q.faults[1:]
	}
	return f
}

// handler serves POST /standin/faults. It queues a fault for the next requests,
// except that a cold fault calls turnCold at once.
func (q *faultQueue) handler(turnCold func(time.Duration)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var f Fault
		err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)).Decode(&f)
		if err != nil || !f.valid() {
			writeError(w, http.StatusBadRequest, "malformed fault: kind must be stall, cut, late, cross, cold or slow; after, count and millis must not be negative")
			return
		}
		if f.Kind == FaultCold {
			turnCold(f.duration())
		} else {
			q.push(f)
		}
		w.WriteHeader(http.StatusNoContent)
	}
}
