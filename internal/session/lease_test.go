package session

import (
	"flag"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

var schedules = flag.Uint64("schedules", 60, "number of seeds for which random schedules are run")

const scheduleLength = 40 * time.Second

// Fault profiles in addition to everyFault.
var (
	slowReplies = everyFault.with(func(f *faults) {
		f.slow, f.faultInterval = 0.3, 700*time.Millisecond
	})
	reelections = everyFault.with(func(f *faults) {
		f.reelect, f.cutLeader, f.faultInterval = 1, 5*time.Second, 700*time.Millisecond
	})
)

func (f faults) with(edit func(*faults)) faults {
	edit(&f)
	return f
}

// TestOneOwnerUnderEveryFault checks that an upstream never has two owners with valid
// leases at the same true instant.
func TestOneOwnerUnderEveryFault(t *testing.T) {
	var owned int
	profiles := []faults{everyFault, slowReplies, reelections}
	for seed := range *schedules {
		sim := newSimulation(seed, Settings{}, profiles[seed%uint64(len(profiles))])
		sim.run(scheduleLength)
		if sim.violation != "" {
			t.Fatalf("seed %d: %s", seed, sim.violation)
		}
		owned += len(sim.gaps)
	}
	is.New(t).True(owned > 0) // ownership moved at least once
}

// TestTwoOwnersWithoutAMechanism checks that each mechanism is needed: without it some
// seed leads to two owners, and with it the same seed does not.
func TestTwoOwnersWithoutAMechanism(t *testing.T) {
	cases := []struct {
		name             string
		disabled, intact Settings
		faults           faults
	}{
		{"lease counted from the reply", Settings{disabled: mechanisms{sendTime: true}}, Settings{}, slowReplies},
		{"new grantor does not wait", Settings{disabled: mechanisms{grantorWait: true}}, Settings{}, everyFault},
		{"settled epoch ignored", Settings{disabled: mechanisms{settled: true}}, Settings{}, everyFault},
		{"grantor used in a later term", Settings{disabled: mechanisms{term: true}}, Settings{}, reelections},
		{"clocks drift beyond the bound", Settings{MaxDrift: 1e-9}, Settings{MaxDrift: 0.2}, withDrift(everyFault, 0.2)},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range max(*schedules, 60) {
				violation := violationOf(seed, tc.disabled, tc.faults)
				if violation == "" {
					continue
				}
				t.Logf("seed %d: %s", seed, violation)
				is.New(t).Equal(violationOf(seed, tc.intact, tc.faults), "")
				return
			}
			t.Fatal("no seed led to two owners with the mechanism disabled")
		})
	}
}

// violationOf runs one simulation and returns its violation, "" if there is none.
func violationOf(seed uint64, settings Settings, f faults) string {
	sim := newSimulation(seed, settings, f)
	sim.run(scheduleLength)
	return sim.violation
}

// TestEveryKeyIsOwnedAfterTheFaults checks that every upstream has an owner again once
// the faults have ended.
func TestEveryKeyIsOwnedAfterTheFaults(t *testing.T) {
	const recovery = 30 * time.Second // includes the end of freezes and of messages in flight
	for seed := range *schedules {
		sim := newSimulation(seed, Settings{}, everyFault)
		sim.run(scheduleLength)
		sim.faults = faults{faultInterval: time.Hour}
		sim.run(scheduleLength + recovery)
		for k := range testKeys {
			if sim.now-sim.ownedAt[k] > testStep {
				t.Fatalf("seed %d: upstream-%d has had no owner since %v, although the faults ended %v ago", seed, k, sim.ownedAt[k], recovery)
			}
		}
	}
}

func withDrift(f faults, drift float64) faults {
	return f.with(func(f *faults) { f.drift = drift })
}

// TestOneOwnerUnderLargeBoundedDrift checks that the clock drift that leads to two owners
// in TestTwoOwnersWithoutAMechanism is safe if MaxDrift covers it.
func TestOneOwnerUnderLargeBoundedDrift(t *testing.T) {
	for seed := range *schedules {
		sim := newSimulation(seed, Settings{MaxDrift: 0.2}, withDrift(everyFault, 0.2))
		sim.run(scheduleLength)
		if sim.violation != "" {
			t.Fatalf("seed %d: %s", seed, sim.violation)
		}
	}
}

// TestGapWithoutOwner bounds how long an upstream has no owner, in virtual time.
func TestGapWithoutOwner(t *testing.T) {
	cases := []struct {
		name   string
		faults faults
		bound  time.Duration
	}{
		{"planned leave and restart", faults{leave: 1, faultInterval: 5 * time.Second}, time.Second},
		{"drain, and back", faults{drain: 1, faultInterval: 5 * time.Second}, time.Second},
		// The next owner may crash as well before it claims ownership.
		{"crash and restart", faults{crash: 1, faultInterval: 20 * time.Second}, 2*DefaultLease + time.Second},
		{"leader changes only", faults{cutLeader: 8 * time.Second}, 0},
		{"leader changes, a fifth of the renewals go to the former leader", faults{cutLeader: 8 * time.Second, misroute: 0.2}, time.Second},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var gaps []time.Duration
			for seed := range *schedules {
				sim := newSimulation(seed, Settings{}, tc.faults)
				sim.run(scheduleLength)
				is.New(t).Equal(sim.violation, "")
				gaps = append(gaps, sim.gaps...)
			}
			if len(gaps) == 0 {
				t.Log("no upstream was without an owner")
				return
			}
			slices.Sort(gaps)
			at := func(q float64) time.Duration { return gaps[int(q*float64(len(gaps)-1))] }
			t.Logf("%d gaps: p50 %v p95 %v p99 %v max %v", len(gaps), at(0.5), at(0.95), at(0.99), at(1))
			if at(1) > tc.bound {
				t.Errorf("longest gap without an owner is %v, want at most %v", at(1), tc.bound)
			}
		})
	}
}
