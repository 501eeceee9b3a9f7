package router

import (
	"github.com/wigeonflow/wigeonflow/internal/admission"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/session"
)

// poolLoads returns the owner's loads in the form of a session renewal.
func poolLoads(loads []admission.Load) []session.PoolLoad {
	out := make([]session.PoolLoad, 0, len(loads))
	for _, l := range loads {
		out = append(out, session.PoolLoad{
			Pool: l.Pool, InFlight: uint32(l.All), Upstreams: uint32(l.AllUpstreams),
			Warm: uint32(l.InFlight), WarmUpstreams: uint32(l.Upstreams),
		})
	}
	return out
}

// sumsOf returns a pool mean load in the form of the admission package.
func sumsOf(m session.PoolMean) admission.Sums {
	return admission.Sums{All: int(m.InFlight), AllUpstreams: int(m.Upstreams), InFlight: int(m.Warm), Upstreams: int(m.WarmUpstreams)}
}

// ownSums returns the load of a pool that this instance has reported.
func ownSums(loads []session.PoolLoad, pool fleet.PoolID) admission.Sums {
	for _, l := range loads {
		if l.Pool == pool {
			return sumsOf(session.PoolMean(l))
		}
	}
	return admission.Sums{}
}
