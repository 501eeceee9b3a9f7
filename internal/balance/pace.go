package balance

import (
	"math"
	"math/bits"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/placement"
	"github.com/wigeonflow/wigeonflow/internal/routes"
)

const (
	// paceLife is the age at which a reported pace says nothing any more; until then it counts for
	// less with its age. Slow engines of some pools are drawn anew every 600 ms. In trials, 600 ms
	// moved more sessions to other engines and lengthened waits near the pool's limit, and 150 ms
	// gained less.
	paceLife = 300 * time.Millisecond
	// slowHorizon is the time in milliseconds for which a slow upstream is expected to stay slow.
	// A request loses the part of it by which the upstream is slower.
	slowHorizon = 300.0
	// rankingUnit is upstreamEstimates.rankingFactor of an upstream at the pool's pace.
	rankingBits = 32
	rankingUnit = 1 << rankingBits
)

// pace is a reported Load.Time with the time of the report. The zero value is none.
type pace struct {
	percent int
	at      time.Duration
}

// slowness returns by which factor work at the upstream takes longer now than it usually does there,
// as far as its newest report still says so; at least 1. Counting also that an upstream is faster
// than usual would send all work to those that have reported last.
func (s *upstreamState) slowness(now time.Duration) float64 {
	age := now - s.pace.at
	if s.pace.percent == 0 || age >= paceLife {
		return 1
	}
	usual, ok := s.learned.time.known()
	if !ok {
		return 1
	}
	valid := 1 - float64(age)/float64(paceLife)
	return 1 + valid*max(float64(s.pace.percent)/usual-1, 0)
}

// rankingScore returns the upstream's score in the ranking of a key: the highest is first. The distance
// from the highest possible score grows with the learned slowness, so that the upstream's probability
// to be first is about in proportion to its pace, as in weighted rendezvous hashing, whose logarithm
// is nearly linear for the scores that win.
func (s *upstreamState) rankingScore(key uint64) uint64 {
	score := placement.Mix(key, s.hash)
	if s.learned.step == 0 {
		return score
	}
	high, low := bits.Mul64(^score, s.learned.rankingFactor)
	if high >= rankingUnit {
		return 0
	}
	return ^(high<<rankingBits | low>>(64-rankingBits))
}

// leastHomeCost returns the least slowCost of the upstreams that probably hold the request's key
// part: those that this router has sent it to, or else the first in its ranking. Pace is no reason
// to leave these, since another one would have to read the prompt again.
func (b *Balancer) leastHomeCost(c *comparison) float64 {
	least := math.Inf(1)
	if part := b.keyPart(); part != nil {
		for i := range part.holders[:part.count] {
			if s := b.states[part.holders[i].upstream]; s != nil && part.heldBy(c.now, s) {
				least = min(least, slowCost(s.slowness(c.now)))
			}
		}
	}
	switch {
	case !math.IsInf(least, 1):
		return least
	case c.first >= 0:
		return slowCost(c.usable[c.first].slowness(c.now))
	default:
		return 0
	}
}

// paceCost returns what the upstream's slowness costs the request in milliseconds.
func (b *Balancer) paceCost(c *comparison, s *upstreamState) float64 {
	cost := slowCost(s.slowness(c.now))
	if c.homeCost == 0 || b.heldBy(c.now, c.request, s).key {
		return cost
	}
	return max(cost, c.homeCost)
}

// slowCost returns the time in milliseconds that a request loses at an upstream of the given
// slowness while it stays slow.
func slowCost(slowness float64) float64 { return slowHorizon * (1 - 1/slowness) }

// slotCount returns the number of requests that the upstream runs at once: as it reports itself,
// as listed, or as configured for the pool; 0 if that is unknown.
func (s *upstreamState) slotCount(pool *routes.Pool) int {
	switch {
	case s.slots > 0:
		return s.slots
	case s.Slots > 0:
		return s.Slots
	case pool.Engine != nil:
		return pool.Engine.Slots
	default:
		return 0
	}
}
