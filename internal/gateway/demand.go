package gateway

import (
	"math"
	"sync"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/balance"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/mesh"
)

//go:generate go tool msgp -tests=false -io=false -file demand.go
//msgp:ignore demandAggregator followerDemands

// PoolDemand is the balance.Demand of one pool.
type PoolDemand struct {
	Pool fleet.PoolID `msg:"p"`
	// Offered is in thousandths of a request per second.
	Offered uint32 `msg:"o,omitempty"`
	Waiting uint32 `msg:"w,omitempty"`
	Running uint32 `msg:"r,omitempty"`
}

const (
	// offeredUnit is the number of units of PoolDemand.Offered in one request per second.
	offeredUnit = 1000
	// demandAge is the age at which a follower's demand counts no more: one of the reports that
	// it sends with each heartbeat is missing. A follower on a machine that is lost ends no
	// connection.
	demandAge = heartbeatInterval * 3 / 2
)

// encodeDemands sets the demands of a report.
func (r *LoadReport) encodeDemands(demands balance.Demands) {
	r.DemandRouters = clampCount(demands.Routers)
	for pool, d := range demands.Pools {
		r.Demand = append(r.Demand, PoolDemand{
			Pool: pool, Offered: clampDemand(math.Round(d.Offered * offeredUnit)),
			Waiting: clampDemand(float64(d.Waiting)), Running: clampDemand(float64(d.Running)),
		})
	}
}

// clampDemand limits a number to the range of a report.
func clampDemand(n float64) uint32 { return uint32(min(max(n, 0), math.MaxUint32)) }

// decodeDemands returns the demands of a report. There are none in one of a router of the release
// before.
func (r *LoadReport) decodeDemands() balance.Demands {
	demands := balance.Demands{Routers: int(r.DemandRouters), Pools: make(map[fleet.PoolID]balance.Demand, len(r.Demand))}
	if r.DemandRouters == 0 {
		return demands
	}
	for _, d := range r.Demand {
		demands.Pools[d.Pool] = balance.Demand{
			Offered: float64(d.Offered) / offeredUnit, Waiting: int(min(d.Waiting, math.MaxInt32)), Running: int(min(d.Running, math.MaxInt32)),
		}
	}
	return demands
}

// demandAggregator sums up the demands of routers along the tree by which the list is distributed,
// as loadAggregator does with their activities. It is safe for concurrent use.
type demandAggregator struct {
	ownDemands func(now time.Duration) balance.Demands // of this router

	mu      sync.Mutex
	reports map[*mesh.Stream]followerDemands // of the followers' subtrees
	outside balance.Demands                  // of routers outside this subtree, as the source reports
}

// followerDemands holds the demands that a follower has reported, and when.
type followerDemands struct {
	demands balance.Demands
	at      time.Duration
}

func newDemandAggregator(own func(time.Duration) balance.Demands) *demandAggregator {
	return &demandAggregator{ownDemands: own, reports: make(map[*mesh.Stream]followerDemands)}
}

// setReport replaces the demands of a follower's subtree.
func (a *demandAggregator) setReport(now time.Duration, from *mesh.Stream, demands balance.Demands) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reports[from] = followerDemands{demands, now}
}

// removeReport removes the demands of a follower's subtree.
func (a *demandAggregator) removeReport(from *mesh.Stream) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.reports, from)
}

// setTotals sets the fleet's demands as the source sent them; reported holds the latest report of
// this subtree, which they include. Both are zero if there is no source.
func (a *demandAggregator) setTotals(totals, reported balance.Demands) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.outside = totals.Minus(reported)
}

// followers returns the demands of the followers that have reported within demandAge. a.mu must be
// held.
func (a *demandAggregator) followers(now time.Duration) balance.Demands {
	var sum balance.Demands
	for _, r := range a.reports {
		if now-r.at < demandAge {
			sum = sum.Plus(r.demands)
		}
	}
	return sum
}

// peerDemands returns the demands of all other routers.
func (a *demandAggregator) peerDemands(now time.Duration) balance.Demands {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.followers(now).Plus(a.outside)
}

// subtreeDemands returns the demands of this router's subtree.
func (a *demandAggregator) subtreeDemands(now time.Duration) balance.Demands {
	own := a.ownDemands(now)
	a.mu.Lock()
	defer a.mu.Unlock()
	return own.Plus(a.followers(now))
}

// fleetDemands returns the demands of the whole fleet.
func (a *demandAggregator) fleetDemands(now time.Duration) balance.Demands {
	return a.ownDemands(now).Plus(a.peerDemands(now))
}
