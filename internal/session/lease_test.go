package session

import (
	"flag"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

var schedules = flag.Uint64("schedules", 60, "how many seeded schedules to run")

const scheduleLength = 40 * time.Second

// Profiles of faults besides everyFault.
var (
	slowReplies = everyFault.with(func(f *faults) {
		f.slow, f.every = 0.3, 700*time.Millisecond
	})
	reelections = everyFault.with(func(f *faults) {
		f.reelect, f.cutLeader, f.every = 1, 5*time.Second, 700*time.Millisecond
	})
)

func (f faults) with(edit func(*faults)) faults {
	edit(&f)
	return f
}

// Never two owners of one upstream with valid leases at the same true instant.
func TestOneOwnerUnderEveryFault(t *testing.T) {
	var owned int
	profiles := []faults{everyFault, slowReplies, reelections}
	for seed := range *schedules {
		w := newWorld(seed, Settings{}, profiles[seed%uint64(len(profiles))])
		w.run(scheduleLength)
		if w.violation != "" {
			t.Fatalf("seed %d: %s", seed, w.violation)
		}
		owned += len(w.gaps)
	}
	is.New(t).True(owned > 0) // ownership moved at least once
}

// Each mechanism is needed: without it some seed gives two owners, and with it
// the same seed does not.
func TestTwoOwnersWithoutAMechanism(t *testing.T) {
	cases := []struct {
		name           string
		without, sound Settings
		faults         faults
	}{
		{"lease counted from the reply", Settings{without: mechanisms{sendTime: true}}, Settings{}, slowReplies},
		{"new grantor does not wait", Settings{without: mechanisms{grantorWait: true}}, Settings{}, everyFault},
		{"settled epoch ignored", Settings{without: mechanisms{settled: true}}, Settings{}, everyFault},
		{"grantor used in a later term", Settings{without: mechanisms{term: true}}, Settings{}, reelections},
		{"clocks drift beyond the bound", Settings{MaxDrift: 1e-9}, Settings{MaxDrift: 0.2}, withDrift(everyFault, 0.2)},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range max(*schedules, 60) {
				violation := violationOf(seed, tc.without, tc.faults)
				if violation == "" {
					continue
				}
				t.Logf("seed %d: %s", seed, violation)
				is.New(t).Equal(violationOf(seed, tc.sound, tc.faults), "")
				return
			}
			t.Fatal("no violation found")
		})
	}
}

func violationOf(seed uint64, settings Settings, f faults) string {
	w := newWorld(seed, settings, f)
	w.run(scheduleLength)
	return w.violation
}

// Once the faults are over, every upstream gets an owner again.
func TestEveryKeyIsOwnedAfterTheFaults(t *testing.T) {
	const quiet = 30 * time.Second // also for what is frozen or under way
	for seed := range *schedules {
		w := newWorld(seed, Settings{}, everyFault)
		w.run(scheduleLength)
		w.faults = faults{every: time.Hour}
		w.run(scheduleLength + quiet)
		for k := range testKeys {
			if w.now-w.ownedAt[k] > testStep {
				t.Fatalf("seed %d: upstream-%d has had no owner since %v", seed, k, w.ownedAt[k])
			}
		}
	}
}

func withDrift(f faults, drift float64) faults {
	return f.with(func(f *faults) { f.drift = drift })
}

// A drift as large as in the failing case is safe when the bound covers it.
func TestOneOwnerUnderLargeBoundedDrift(t *testing.T) {
	for seed := range *schedules {
		w := newWorld(seed, Settings{MaxDrift: 0.2}, withDrift(everyFault, 0.2))
		w.run(scheduleLength)
		if w.violation != "" {
			t.Fatalf("seed %d: %s", seed, w.violation)
		}
	}
}

// How long an upstream goes without an owner, in virtual time.
func TestGapWithoutOwner(t *testing.T) {
	cases := []struct {
		name   string
		faults faults
		bound  time.Duration
	}{
		{"planned leave and restart", faults{leave: 1, every: 5 * time.Second}, time.Second},
		{"drain, and back", faults{drain: 1, every: 5 * time.Second}, time.Second},
		// The next owner may crash as well before it takes over.
		{"crash and restart", faults{crash: 1, every: 20 * time.Second}, 2*DefaultLease + time.Second},
		{"leader changes only", faults{cutLeader: 8 * time.Second}, 0},
		{"leader changes, a fifth of the renewals go to the former leader", faults{cutLeader: 8 * time.Second, misroute: 0.2}, time.Second},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var gaps []time.Duration
			for seed := range *schedules {
				w := newWorld(seed, Settings{}, tc.faults)
				w.run(scheduleLength)
				is.New(t).Equal(w.violation, "")
				gaps = append(gaps, w.gaps...)
			}
			if len(gaps) == 0 {
				t.Log("no gap")
				return
			}
			slices.Sort(gaps)
			at := func(q float64) time.Duration { return gaps[int(q*float64(len(gaps)-1))] }
			t.Logf("%d gaps: p50 %v p95 %v p99 %v max %v", len(gaps), at(0.5), at(0.95), at(0.99), at(1))
			if at(1) > tc.bound {
				t.Errorf("longest gap %v is above %v", at(1), tc.bound)
			}
		})
	}
}
