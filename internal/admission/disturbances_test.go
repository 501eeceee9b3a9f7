package admission

import (
	"fmt"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// turnCold makes an engine cold. Unless silent is set, the engine restarts with a new boot
// ID: its requests fail, and its owner is notified at once.
func (s *schedule) turnCold(e *fakeEngine, silent bool) {
	e.cold, e.coldSince, e.silent = true, s.now, silent
	e.limit, e.completed, e.firstTokens = s.settings.StartConcurrency, 0, 0
	if silent {
		e.limit = max(e.running, e.limit)
		return
	}
	cut := e.started
	e.running, e.started = 0, nil
	s.sequence++
	e.Boot = fleet.BootID(fmt.Sprint("b", s.sequence))
	s.sendState(e)
	for _, r := range cut {
		s.finishRequest(r, Result{Failed: true})
	}
}

// setZoneOut takes a zone out of service or puts it back in; owners are notified after
// zoneDelay.
func (s *schedule) setZoneOut(z fleet.AvailabilityZone, out bool) {
	if out {
		s.outZone[z] = s.now
	} else {
		delete(s.outZone, z)
	}
	s.after(zoneDelay, func() {
		s.rebuildTable()
		for _, e := range s.engines {
			if e.Zone == z {
				s.sendState(e)
			}
		}
	})
}

// setMember adds a router to the membership or removes it.
func (s *schedule) setMember(i int, in, planned bool) {
	if s.members[i] == in {
		return
	}
	r := s.routers[i]
	s.members[i] = in
	s.epoch++
	if !in && !planned {
		r.alive = false
		s.dropQueuedRequests(r)
	}
	if in && !r.alive {
		r.alive, r.gate = true, NewGate()
		r.gate.off = s.off
		r.gate.SetPoolSettings("llm", s.settings)
		s.renewSession(r)
	}
	s.rebuildTable()
	s.assignOwners(planned)
}

// dropQueuedRequests drops the requests queued at a dead router; those on engines continue.
func (s *schedule) dropQueuedRequests(r *fakeRouter) {
	for id, q := range s.pending {
		if q.router == r && q.started == 0 {
			delete(s.pending, id)
		}
	}
	r.reported, r.counted = Sums{}, Sums{}
}
