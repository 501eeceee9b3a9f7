package router

import (
	"github.com/wigeonflow/wigeonflow/internal/admission"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/session"
)

// poolLoads converts the owner's loads to the type that a session renewal carries.
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

// toSums converts a pool mean load to the admission package's type.
func toSums(m session.PoolMean) admission.Sums {
	return admission.Sums{All: int(m.InFlight), AllUpstreams: int(m.Upstreams), InFlight: int(m.Warm), Upstreams: int(m.WarmUpstreams)}
}

// ownSums returns the load that this instance has reported for a pool.
func ownSums(loads []session.PoolLoad, pool fleet.PoolID) admission.Sums {
	for _, l := range loads {
		if l.Pool == pool {
			return toSums(session.PoolMean(l))
		}
	}
	return admission.Sums{}
}
