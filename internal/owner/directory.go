package owner

import (
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/upstream"
)

// target is one upstream with its clients.
type target struct {
	upstream fleet.Upstream
	engine   upstream.Engine
	service  upstream.Service
}

// directory holds the upstreams of the upstream list. It is immutable.
type directory struct {
	targets map[fleet.UpstreamID]target
}

// next returns the directory for a new list. It reuses the clients of upstreams whose
// address did not change.
func (d *directory) next(list []fleet.Upstream, s *Server) *directory {
	targets := make(map[fleet.UpstreamID]target, len(list))
	for _, u := range list {
		t, known := d.targets[u.ID]
		if !known || t.upstream.Addr != u.Addr {
			t.engine = upstream.NewEngine(u.Addr, s.client)
			t.service = upstream.NewService(u.Addr, s.client)
		}
		t.upstream = u
		targets[u.ID] = t
	}
	return &directory{targets: targets}
}

// target returns an upstream of the current list.
func (s *Server) target(id fleet.UpstreamID) (target, bool) {
	t, ok := s.directory.Load().targets[id]
	return t, ok
}
