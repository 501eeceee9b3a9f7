package balance

import (
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

const (
	// demandWindow is the time over which offered requests are counted. A router that begins or
	// ceases to get requests shows it within this time.
	demandWindow = time.Second
	// demandSlots is the number of slots that the window is divided into.
	demandSlots = 10
	// demandPrior is added to each router's demand in requests per second. It keeps the part of a
	// router that happens to get no request for a second above zero, and in a pool with less than
	// a request per router and second it makes the parts nearly equal.
	demandPrior = 1.0
	// minToldShare is the fraction of the routers that must have told their demand for those that
	// haven't to count as gone. A router that has just become the root of the distribution tree
	// knows only few others for some tenths of a second.
	minToldShare = 0.5
)

// Demand is what callers ask of a pool, at one or several routers.
type Demand struct {
	// Offered is the number of requests per second that arrive for the pool, and Waiting the
	// number of those that routers hold back.
	Offered float64
	Waiting int
	// Running is the number of requests that these routers have in flight at the pool.
	Running int
}

// Plus returns the sum of two demands.
func (d Demand) Plus(e Demand) Demand {
	return Demand{d.Offered + e.Offered, d.Waiting + e.Waiting, d.Running + e.Running}
}

// Minus returns the difference of two demands, with each field at least 0.
func (d Demand) Minus(e Demand) Demand {
	return Demand{max(d.Offered-e.Offered, 0), max(d.Waiting-e.Waiting, 0), max(d.Running-e.Running, 0)}
}

// rate returns the demand in requests per second, with those that wait as if they arrived
// within one second.
func (d Demand) rate() float64 { return d.Offered + float64(d.Waiting) }

// Demands holds the demand of each pool at one or several routers.
type Demands struct {
	// Routers is the number of routers whose demand is included; 0 if none has told it.
	Routers int
	// Pools lacks the pools without demand.
	Pools map[fleet.PoolID]Demand
}

// Plus returns the sum of two routers' or groups of routers' demands.
func (d Demands) Plus(e Demands) Demands {
	sum := Demands{Routers: d.Routers + e.Routers, Pools: make(map[fleet.PoolID]Demand, max(len(d.Pools), len(e.Pools)))}
	for pool, demand := range d.Pools {
		sum.Pools[pool] = demand
	}
	for pool, demand := range e.Pools {
		sum.Pools[pool] = sum.Pools[pool].Plus(demand)
	}
	return sum
}

// Minus returns the demands without those of e, each at least 0.
func (d Demands) Minus(e Demands) Demands {
	left := Demands{Routers: max(d.Routers-e.Routers, 0), Pools: make(map[fleet.PoolID]Demand, len(d.Pools))}
	for pool, demand := range d.Pools {
		if demand = demand.Minus(e.Pools[pool]); demand != (Demand{}) {
			left.Pools[pool] = demand
		}
	}
	return left
}

// poolDemand counts the requests that are offered to this router for one pool.
type poolDemand struct {
	slots   [demandSlots + 1]tally
	waiting int // see Balancer.SetWaiting
}

// countRequest counts one offered request.
func (d *poolDemand) countRequest(now time.Duration) {
	tallyAt(d.slots[:], now, demandWindow/demandSlots).all++
}

// offered returns the requests per second within demandWindow.
func (d *poolDemand) offered(now time.Duration) float64 {
	count, _ := sumTallies(d.slots[:], now, demandWindow/demandSlots)
	covered := demandWindow + now%(demandWindow/demandSlots)
	return float64(count) / covered.Seconds()
}

// peerDemands is what the other routers have told of their demand, and when.
type peerDemands struct {
	demands Demands
	told    bool
	at      time.Duration
	// running counts the requests in flight of all other routers by pool, including those that
	// tell no demand, as of the last report of their activities.
	running map[fleet.PoolID]int
}

// demand returns the record of a pool's demand at this router, which it adds if it is new.
func (b *Balancer) demand(pool fleet.PoolID) *poolDemand {
	found := b.demands[pool]
	if found == nil {
		found = new(poolDemand)
		b.demands[pool] = found
	}
	return found
}

// SetWaiting records how many requests for a pool wait at this router.
func (b *Balancer) SetWaiting(pool fleet.PoolID, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.demand(pool).waiting = max(waiting, 0)
}

// Demands returns the demand at this router.
func (b *Balancer) Demands(now time.Duration) Demands {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := Demands{Routers: 1, Pools: make(map[fleet.PoolID]Demand, len(b.demands))}
	for _, s := range b.states {
		if s.running > 0 {
			out.Pools[s.Pool] = out.Pools[s.Pool].Plus(Demand{Running: s.running})
		}
	}
	for pool, d := range b.demands {
		if own := (Demand{Offered: d.offered(now), Waiting: d.waiting}); own != (Demand{}) {
			out.Pools[pool] = out.Pools[pool].Plus(own)
		}
	}
	return out
}

// SetPeerDemands sets the sum of the demands of all other routers that tell them. The demands
// must not be changed afterwards.
func (b *Balancer) SetPeerDemands(now time.Duration, others Demands) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers.demands, b.peers.told, b.peers.at = others, true, now
}

// countPeerRunning counts the other routers' requests in flight by pool.
func (b *Balancer) countPeerRunning(others Activities) {
	clear(b.peers.running)
	for id, a := range others {
		if s := b.states[id]; s != nil && a.Running > 0 {
			b.peers.running[s.Pool] += a.Running
		}
	}
}

// share returns this router's part of a pool's demand. It is an equal part while no other router
// has told its demand within reportAge.
func (b *Balancer) share(now time.Duration, pool fleet.PoolID, running, routers int) float64 {
	if routers <= 1 {
		return 1
	}
	if !b.peers.told || now-b.peers.at >= reportAge {
		return 1 / float64(routers)
	}
	d := b.demand(pool)
	own := Demand{Offered: d.offered(now), Waiting: d.waiting, Running: running}
	told := own.Plus(b.peers.demands.Pools[pool])
	tellers := min(b.peers.demands.Routers+1, routers)
	untold := untoldRate(told, max(b.peers.running[pool]+running-told.Running, 0))
	if float64(tellers) < minToldShare*float64(routers) {
		untold = max(untold, told.rate()*float64(routers-tellers)/float64(tellers))
	}
	return (own.rate() + demandPrior) / (told.rate() + untold + demandPrior*float64(routers))
}

// untoldRate estimates the demand of the routers that tell none, from their requests in flight
// and from the demand per request in flight of the others.
func untoldRate(told Demand, running int) float64 {
	if told.Running == 0 {
		return float64(running)
	}
	return float64(running) * told.rate() / float64(told.Running)
}
