package gateway

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonflow/wigeonflow/internal/balance"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/mesh"
	"github.com/wigeonflow/wigeonflow/internal/session"
)

//go:generate go tool msgp -tests=false -io=false -file suspicions.go

// Suspicion is a balance.Suspicion.
type Suspicion struct {
	// ID is that of a prompt part or, if Request is set, the fingerprint of a request.
	ID      uint64 `msg:"p"`
	Request bool   `msg:"r,omitempty"`
	// SinceServed is in milliseconds; -1 if the suspect was not served.
	SinceServed int64          `msg:"s"`
	Breaks      []RequestBreak `msg:"b,omitempty"`
}

// RequestBreak is a balance.Break.
type RequestBreak struct {
	Upstream uint64 `msg:"u"`
	Next     uint64 `msg:"n,omitempty"`
	Last     uint64 `msg:"z,omitempty"`
	Sound    bool   `msg:"o,omitempty"` // Break.NextSound
	Late     bool   `msg:"l,omitempty"`
	// Age is in milliseconds.
	Age int64 `msg:"a"`
}

// encodeSuspicions returns suspicions in the form of a report.
func encodeSuspicions(suspicions []balance.Suspicion) []Suspicion {
	var out []Suspicion
	for _, s := range suspicions {
		e := Suspicion{ID: s.Key.ID, Request: s.Key.Kind == balance.SuspectRequest, SinceServed: -1}
		if s.Served {
			e.SinceServed = max(s.SinceServed.Milliseconds(), 0)
		}
		for _, b := range s.Breaks {
			e.Breaks = append(e.Breaks, RequestBreak{Upstream: b.Upstream, Next: b.Next, Last: b.Last, Sound: b.NextSound, Late: b.Late, Age: b.Age.Milliseconds()})
		}
		out = append(out, e)
	}
	return out
}

// decodeSuspicions returns the suspicions of a report.
func decodeSuspicions(encoded []Suspicion) []balance.Suspicion {
	var out []balance.Suspicion
	for _, e := range encoded {
		key := balance.PartKey(e.ID)
		if e.Request {
			key = balance.RequestKey(e.ID)
		}
		s := balance.Suspicion{Key: key, Served: e.SinceServed >= 0, SinceServed: milliseconds(e.SinceServed)}
		for _, b := range e.Breaks {
			s.Breaks = append(s.Breaks, balance.Break{Upstream: b.Upstream, Next: b.Next, Last: b.Last, NextSound: b.Sound, Late: b.Late, Age: milliseconds(b.Age)})
		}
		out = append(out, s)
	}
	return out
}

// milliseconds returns a time that a peer reports, from 0 to fleet.MaxDuration.
func milliseconds(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), fleet.MaxDuration.Milliseconds())) * time.Millisecond
}

// SuspicionNote is the note by which routers keep quarantines in the control group.
type SuspicionNote struct {
	Suspicions []Suspicion `msg:"s"`
}

// mergeSuspicions adds the suspicions of another router's report, which don't depend on the
// list.
func (l *upstreamList) mergeSuspicions(r *LoadReport) {
	if len(r.Suspicions) > 0 {
		l.loads.MergeSuspicions(l.clock(), decodeSuspicions(r.Suspicions))
	}
}

// quarantineNote returns the note with the quarantined parts and requests, or nil if there are none. The
// control group keeps it for routers that restart while no other router can tell them.
func (r *Router) quarantineNote() []byte {
	suspicions := r.balancer.QuarantinedSuspicions(r.cfg.Clock())
	for len(suspicions) > 0 {
		note, err := (&SuspicionNote{Suspicions: encodeSuspicions(suspicions)}).MarshalMsg(nil)
		if err == nil && len(note) <= session.MaxNote {
			return note
		}
		suspicions = suspicions[:len(suspicions)-1]
	}
	return nil
}

// noteID returns the ID of a note, which depends on what is quarantined alone.
func noteID(note []byte) uint64 {
	var n SuspicionNote
	if err := mesh.Decode(note, &n); err != nil {
		return 0
	}
	keys := make([]string, 0, len(n.Suspicions))
	for _, s := range n.Suspicions {
		keys = append(keys, fmt.Sprint(s.ID, s.Request))
	}
	slices.Sort(keys)
	return max(xxhash.Sum64String(strings.Join(keys, ",")), 1)
}

// applyNote merges the quarantined parts and requests of a note that was sent age ago.
func (r *Router) applyNote(note []byte, age time.Duration) {
	var n SuspicionNote
	if err := mesh.Decode(note, &n); err != nil {
		r.log.Warn("cannot decode the note of quarantined prompt parts and requests", "error", err)
		return
	}
	suspicions := decodeSuspicions(n.Suspicions)
	for i := range suspicions {
		suspicions[i].SinceServed += age
		for k := range suspicions[i].Breaks {
			suspicions[i].Breaks[k].Age += age
		}
	}
	r.balancer.MergeSuspicions(r.cfg.Clock(), suspicions)
}
