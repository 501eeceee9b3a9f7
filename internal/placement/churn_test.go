package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// smallFleet is a fleet size whose simulations are short enough for ordinary test runs.
var smallFleet = fleetSize{"small", 8, 12, 4, 50}

const shortSpan = 12 * time.Minute

func changeNamed(name string) change {
	for _, c := range changes {
		if c.name == name {
			return c
		}
	}
	panic("changes has no entry named " + name)
}

func TestReuseHoldsThroughChanges(t *testing.T) {
	cases := []struct {
		change string
		least  float64 // fraction of the oracle's reuse
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
			c := changeNamed(tc.change)
			got := measure(c, recorded, reuseOptions{}, smallFleet, shortSpan)
			best := measure(c, oracle, reuseOptions{}, smallFleet, shortSpan)
			worst := measure(c, plain, reuseOptions{}, smallFleet, shortSpan)
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
		reuse  func(*reuseSim) float64
		span   time.Duration
	}{
		{"redirect records", "steady", reuseOptions{noRedirects: true}, (*reuseSim).reuse, shortSpan},
		{"headroom for long histories", "steady", reuseOptions{noYield: true}, (*reuseSim).reuse, shortSpan},
		{"former candidates", "one joins", reuseOptions{noFormer: true}, (*reuseSim).soonReuse, shortSpan},
		{"asking others without records", "owner stops", reuseOptions{noAskOthers: true}, (*reuseSim).soonReuse, shortSpan},
		{"cache events", "two zones, cold", reuseOptions{noEvents: true}, (*reuseSim).reuse, 3 * shortSpan},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			with := tc.reuse(measure(changeNamed(tc.change), recorded, reuseOptions{}, smallFleet, tc.span))
			without := tc.reuse(measure(changeNamed(tc.change), recorded, tc.off, smallFleet, tc.span))
			t.Logf("with %.3f, without %.3f", with, without)
			is.New(t).True(with > without)
		})
	}
}
