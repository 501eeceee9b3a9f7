package ledger

import (
	"cmp"
	"flag"
	"testing"

	"github.com/matryer/is"
)

const proofSeeds = 300

// countAll makes TestEveryMechanismIsNeeded continue after the first seed that leads to
// a violation.
var countAll = flag.Bool("count-all", false, "count all seeds that lead to a violation if a mechanism is disabled")

func TestRunsAtMostOnce(t *testing.T) {
	replies := map[ReplyCode]int{}
	for seed := int64(1); seed <= proofSeeds; seed++ {
		s := newSimulation(seed, stateFaultNone, bookingFaultNone)
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
			t.Errorf("no seed led to reply code %d, so its path is untested", code)
		}
	}
}

func TestEveryMechanismIsNeeded(t *testing.T) {
	for _, c := range []struct {
		name    string
		state   stateFault
		booking bookingFault
	}{
		{"dispatch before the begin is committed", stateFaultNone, bookingFaultDispatchFirst},
		{"begin not tied to an attempt", stateFaultBeginForAnyAttempt, bookingFaultNone},
		{"lease not checked before the first byte", stateFaultNone, bookingFaultNoLeaseCheck},
		{"lease of a later tenure accepted", stateFaultNone, bookingFaultAnyTenure},
		{"snapshot drops begun records", stateFaultSnapshotDropsBegun, bookingFaultNone},
		{"unknown attempt settled while its bytes are in flight", stateFaultNoHold, bookingFaultNone},
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
			t.Logf("%d seeds lead to a violation, first %v: %s", len(seeds), seeds[:min(len(seeds), 1)], first)
			is.New(t).True(len(seeds) > 0)
		})
	}
}
