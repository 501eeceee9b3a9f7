package ledger

import (
	"cmp"
	"flag"
	"testing"

	"github.com/matryer/is"
)

const proofSeeds = 300

// countAll makes TestEveryMechanismIsNeeded go on after the first seed that
// breaks a build without the mechanism.
var countAll = flag.Bool("count-all", false, "count all seeds that break a build without a mechanism")

func TestRunsAtMostOnce(t *testing.T) {
	replies := map[ReplyCode]int{}
	for seed := int64(1); seed <= proofSeeds; seed++ {
		s := newSimulation(seed, flawNone, bookingFlawNone)
		s.run()
		for _, violation := range s.violations() {
			t.Errorf("seed %d: %s", seed, violation)
		}
		for code, n := range s.replies {
			replies[code] += n
		}
	}
	t.Logf("replies by code: %v", replies)
	for _, code := range []ReplyCode{ReplyAnswer, ReplyInProgress, ReplyUnknown, ReplyNoControl, ReplyNoLease, ReplyNotSent} {
		if replies[code] == 0 {
			t.Errorf("no schedule led to reply code %d", code)
		}
	}
}

func TestEveryMechanismIsNeeded(t *testing.T) {
	for _, c := range []struct {
		name    string
		state   flaw
		booking bookingFlaw
	}{
		{"dispatch before the begin is committed", flawNone, bookingFlawDispatchFirst},
		{"begin not tied to an attempt", flawBeginForAnyAttempt, bookingFlawNone},
		{"lease not looked at before the first byte", flawNone, bookingFlawNoLeaseCheck},
		{"lease of a later tenure counts", flawNone, bookingFlawAnyTenure},
		{"snapshot drops begun records", flawSnapshotDropsBegun, bookingFlawNone},
		{"unknown settled while bytes are under way", flawNoHold, bookingFlawNone},
	} {
		t.Run(c.name, func(t *testing.T) {
			seeds, first := []int64{}, ""
			for seed := int64(1); seed <= proofSeeds && (len(seeds) == 0 || *countAll); seed++ {
				s := newSimulation(seed, c.state, c.booking)
				s.run()
				if v := s.violations(); len(v) > 0 {
					seeds = append(seeds, seed)
					first = cmp.Or(first, v[0])
				}
			}
			t.Logf("broken by %d seeds, from %v: %s", len(seeds), seeds[:min(len(seeds), 1)], first)
			is.New(t).True(len(seeds) > 0)
		})
	}
}
