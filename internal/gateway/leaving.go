package gateway

import (
	"github.com/wigeonflow/wigeonflow/internal/balance"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

//go:generate go tool msgp -tests=false -io=false -file leaving.go

// LeavingUpstream is a balance.Leaver.
type LeavingUpstream struct {
	ID   fleet.UpstreamID `msg:"i"`
	Boot fleet.BootID     `msg:"b,omitempty"`
	// By is the router that the upstream told.
	By fleet.InstanceID `msg:"y"`
	// Age is in milliseconds.
	Age int64 `msg:"g,omitempty"`
}

// encodeLeaving returns leaving upstreams in the form of a report.
func (l *upstreamList) encodeLeaving(leavers []balance.Leaver) []LeavingUpstream {
	var out []LeavingUpstream
	for _, u := range leavers {
		if u.By == "" {
			u.By = l.self.ID
		}
		out = append(out, LeavingUpstream{ID: u.ID, Boot: u.Boot, By: u.By, Age: u.Age.Milliseconds()})
	}
	return out
}

// decodeLeaving returns the leaving upstreams of a report.
func decodeLeaving(encoded []LeavingUpstream) []balance.Leaver {
	var out []balance.Leaver
	for _, e := range encoded {
		out = append(out, balance.Leaver{Incarnation: balance.Incarnation{ID: e.ID, Boot: e.Boot}, By: e.By, Age: milliseconds(e.Age)})
	}
	return out
}

// mergeLeaving adds the leaving upstreams of another router's report.
func (l *upstreamList) mergeLeaving(r *LoadReport) {
	if len(r.Leaving) > 0 {
		l.loads.MergeLeavers(l.clock(), decodeLeaving(r.Leaving))
	}
}
