package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// FaultKind names a way to fail.
type FaultKind string

// The ways to fail. For a service, "token" reads "byte of the answer".
const (
	// FaultStall stops after a number of tokens, for Millis or for good. A
	// service stalls before it runs the request.
	FaultStall FaultKind = "stall"
	// FaultCut ends the connection after a number of tokens.
	FaultCut FaultKind = "cut"
	// FaultLate delays the first byte of the answer by Millis. A service has run
	// the request by then.
	FaultLate FaultKind = "late"
	// FaultCross answers with another request's id and text after a number of tokens.
	FaultCross FaultKind = "cross"
	// FaultCold turns the upstream cold for Millis at once.
	FaultCold FaultKind = "cold"
	// FaultSlow delays each token by Millis.
	FaultSlow FaultKind = "slow"
)

// Fault tells a stand-in to fail.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// After is the number of whole tokens before the fault.
	After int `json:"after"`
	// Count is how many requests fail; 0 means 1.
	Count int `json:"count"`
	// Millis is the duration of the fault in milliseconds.
	Millis int64 `json:"millis"`
}

func (f Fault) duration() time.Duration { return time.Duration(f.Millis) * time.Millisecond }

func (f Fault) valid() bool {
	switch f.Kind {
	case FaultStall, FaultCut, FaultLate, FaultCross, FaultCold, FaultSlow:
		return f.After >= 0 && f.Count >= 0 && f.Millis >= 0
	}
	return false
}

// faultQueue hands its faults to requests in the order of their arrival.
type faultQueue struct {
	mu     sync.Mutex
	faults []Fault
}

func (q *faultQueue) put(f Fault) {
	if f.Count == 0 {
		f.Count = 1
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.faults = append(q.faults, f)
}

// take returns the next request's fault; the zero Fault means none.
func (q *faultQueue) take() Fault {
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

// handler serves POST /standin/faults. Cold faults go to cold at once.
func (q *faultQueue) handler(cold func(time.Duration)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var f Fault
		err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)).Decode(&f)
		if err != nil || !f.valid() {
			writeError(w, http.StatusBadRequest, "a fault needs a known kind and no negative numbers")
			return
		}
		if f.Kind == FaultCold {
			cold(f.duration())
		} else {
			q.put(f)
		}
		w.WriteHeader(http.StatusNoContent)
	}
}
