package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// small is a fleet whose runs are short enough for every test run.
var small = fleetSize{"small", 8, 12, 4, 50}

const shortSpan = 12 * time.Minute

func named(name string) churn {
	for _, c := range changes {
		if c.name == name {
			return c
		}
	}
	panic("no change " + name)
}

func TestReuseHoldsThroughChanges(t *testing.T) {
	cases := []struct {
		change string
		least  float64 // part of the oracle's reuse
	}{
		{"steady", 0.95},
		{"one joins", 0.95},
		{"one leaves", 0.95},
		{"one restarts", 0.95},
		{"one flaps thrice", 0.95},
		{"owner stops", 0.95},
		{"zone cycle, warm", 0.85},
		{"zone cycle, cold", 0.85},
	}
	for _, tc := range cases {
		t.Run(tc.change, func(t *testing.T) {
			is := is.New(t)
			c := named(tc.change)
			got := measure(c, recorded, reuseOptions{}, small, shortSpan)
			best := measure(c, oracle, reuseOptions{}, small, shortSpan)
			worst := measure(c, plain, reuseOptions{}, small, shortSpan)
			t.Logf("plain %.3f recorded %.3f oracle %.3f, p99 %.2f", worst.reuse(), got.reuse(), best.reuse(), got.p99())
			is.True(got.reuse() >= tc.least*best.reuse())
			is.True(got.reuse() > worst.reuse())
		})
	}
}

func TestEachMechanismKeepsReuse(t *testing.T) {
	cases := []struct {
		name   string
		change string
		off    reuseOptions
		reuse  func(*reuseRun) float64
		span   time.Duration
	}{
		{"notes of where a chat went", "steady", reuseOptions{noNotes: true}, (*reuseRun).reuse, shortSpan},
		{"headroom for long histories", "steady", reuseOptions{alike: true}, (*reuseRun).reuse, shortSpan},
		{"former candidates", "one joins", reuseOptions{noFormer: true}, (*reuseRun).soonReuse, shortSpan},
		{"asking others without records", "owner stops", reuseOptions{noAsking: true}, (*reuseRun).soonReuse, shortSpan},
		{"cache events", "two zones, cold", reuseOptions{noEvents: true}, (*reuseRun).reuse, 3 * shortSpan},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			with := tc.reuse(measure(named(tc.change), recorded, reuseOptions{}, small, tc.span))
			without := tc.reuse(measure(named(tc.change), recorded, tc.off, small, tc.span))
			t.Logf("with %.3f, without %.3f", with, without)
			is.New(t).True(with > without)
		})
	}
}
