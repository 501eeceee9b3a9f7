package admission

import (
	"fmt"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// turnCold makes an engine cold: at once known by a new boot id, or silently.
func (s *schedule) turnCold(e *fakeEngine, silent bool) {
	e.cold, e.since, e.silent = true, s.now, silent
	e.limit, e.completed, e.answers = s.settings.StartConcurrency, 0, 0
	if silent {
		e.limit = max(e.running, e.limit)
		return
	}
	cut := e.started
	e.running, e.started = 0, nil
	s.sequence++
	e.Boot = fleet.BootID(fmt.Sprint("b", s.sequence))
	s.tell(e)
	for _, r := range cut {
		s.finish(r, Result{Failed: true})
	}
}

// zone takes a zone out or in; owners hear of it after a delay.
func (s *schedule) zone(z fleet.AvailabilityZone, out bool) {
	if out {
		s.outZone[z] = s.now
	} else {
		delete(s.outZone, z)
	}
	s.at(zoneDelay, func() {
		s.rebuild()
		for _, e := range s.engines {
			if e.Zone == z {
				s.tell(e)
			}
		}
	})
}

// member takes a router in or out of the membership.
func (s *schedule) member(i int, in, planned bool) {
	if s.members[i] == in {
		return
	}
	r := s.routers[i]
	s.members[i] = in
	s.epoch++
	if !in && !planned {
		r.alive = false
		s.loseWork(r)
	}
	if in && !r.alive {
		r.alive, r.gate = true, NewGate()
		r.gate.off = s.off
		r.gate.SetPoolSettings("llm", s.settings)
		s.renew(r)
	}
	s.rebuild()
	s.own(planned)
}

// loseWork drops what waited at a dead router; what runs goes on.
func (s *schedule) loseWork(r *fakeRouter) {
	for id, q := range s.pending {
		if q.router == r && q.started == 0 {
			delete(s.pending, id)
		}
	}
	r.reported, r.counted = Sums{}, Sums{}
}
