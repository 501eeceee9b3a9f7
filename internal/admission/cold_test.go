package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// scenario is a schedule with one disturbance.
type scenario struct {
	name string
	rate float64
	run  func(s *schedule)
}

const (
	scenarioStart  = 40 * time.Second // the pool is at full use by then
	scenarioLength = 4 * time.Minute
)

// turnZoneCold restarts every engine of a zone.
func turnZoneCold(s *schedule, z fleet.AvailabilityZone) {
	for _, e := range s.engines {
		if e.Zone == z {
			s.turnCold(e, false)
		}
	}
}

// restartZone takes a zone out for a minute and brings it back cold.
func restartZone(s *schedule, z fleet.AvailabilityZone) {
	s.setZoneOut(z, true)
	s.after(55*time.Second, func() { turnZoneCold(s, z) })
	s.after(time.Minute, func() { s.setZoneOut(z, false) })
}

var scenarios = []scenario{
	{name: "one engine restarts", rate: 80, run: func(s *schedule) { s.turnCold(s.engines[0], false) }},
	{name: "one turns cold silently", rate: 80, run: func(s *schedule) { s.turnCold(s.engines[0], true) }},
	{name: "an owner stops", rate: 80, run: func(s *schedule) { s.setMember(int(s.engines[0].owner.id[9]-'0'), false, false) }},
	{name: "an owner leaves", rate: 80, run: func(s *schedule) { s.setMember(int(s.engines[0].owner.id[9]-'0'), false, true) }},
	{name: "a zone restarts", rate: 80, run: func(s *schedule) { turnZoneCold(s, "z0") }},
	{name: "all engines restart", rate: 80, run: func(s *schedule) {
		for _, e := range s.engines {
			s.turnCold(e, false)
		}
	}},
	{name: "zone out and in cold", rate: 80, run: func(s *schedule) { restartZone(s, "z0") }},
	{name: "twice in a row", rate: 80, run: func(s *schedule) {
		restartZone(s, "z0")
		s.after(90*time.Second, func() { restartZone(s, "z0") })
	}},
	{name: "two zones at once", rate: 80, run: func(s *schedule) {
		restartZone(s, "z0")
		restartZone(s, "z1")
	}},
	{name: "surge to threefold", rate: 30, run: func(s *schedule) { s.rate = 90 }},
	{name: "load falls to a third", rate: 90, run: func(s *schedule) { s.rate = 30 }},
	{name: "from idle", rate: 0.2, run: func(s *schedule) { s.rate = 80 }},
}

// outcome holds the measurements of one scenario.
type outcome struct {
	arrived, rejected, started int
	fullAfter                  time.Duration
	wait                       time.Duration
	violations                 int
	excess                     int
	atAdmission, atAnyTime     float64 // highest load over the pool's current mean
}

// runScenario runs one scenario and returns its measurements.
func runScenario(tc scenario, seed uint64, off options) outcome {
	s := newSchedule(seed, 8, 20, off)
	s.rate = tc.rate
	s.run(scenarioStart)
	s.rejected, s.waits, s.violations = map[Reason]int{}, map[fleet.Priority]time.Duration{}, nil
	s.arrived, s.done, s.worst, s.worstAdmission = 0, 0, 0, 0
	begin := s.now
	tc.run(s)
	var o outcome
	for s.now < begin+scenarioLength {
		s.run(s.now + time.Second)
		if !s.inFullUse() {
			o.fullAfter = s.now - begin
		}
	}
	s.noArrivals = true
	s.run(s.now + time.Minute)
	for _, n := range s.rejected {
		o.rejected += n
	}
	o.arrived, o.started, o.wait = s.arrived, s.done, s.waits[fleet.PriorityInteractive]
	o.violations, o.excess = len(s.violations), s.excess
	o.atAdmission, o.atAnyTime = s.worstAdmission, s.worst
	return o
}

// inFullUse reports whether every open upstream has reached the load bound since its
// start.
func (s *schedule) inFullUse() bool {
	for _, e := range s.engines {
		u := e.owner.gate.upstreams[e.ID]
		if u != nil && !u.closed() && u.starting {
			return false
		}
	}
	return true
}

// BenchmarkColdStarts prints, for each scenario, the time until the pool is at full
// use and the worst overload of a cold engine.
func BenchmarkColdStarts(b *testing.B) {
	fmt.Println("event: time to full use, rejected of arrived, longest wait, worst excess over what a cold engine sustains, invariant violations, worst load over the current mean at admission and at any time")
	for _, tc := range scenarios {
		o := runScenario(tc, 1, options{})
		fmt.Printf("%-24s %6s  %4d of %d  %5.1f s  %d  %d  %.2f %.2f\n", tc.name, o.fullAfter, o.rejected, o.arrived, o.wait.Seconds(), o.excess, o.violations, o.atAdmission, o.atAnyTime)
	}
}
