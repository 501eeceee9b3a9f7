package control

import (
	"context"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/operator"
)

//go:generate go tool msgp -tests=false -io=false -file config_endpoint.go

// MethodFetch brings a router's configuration up to date: a FetchRequest is
// answered by an operator.Update. Any member answers what it has applied.
const MethodFetch = "config.fetch"

// FetchRequest asks for what changed after a version.
type FetchRequest struct {
	After fleet.ConfigVersion `msg:"a"`
}

func (s *Server) fetch(ctx context.Context, _ string, req *FetchRequest) (*operator.Update, error) {
	if _, leading := s.group.LeaderLease(); !leading {
		return nil, s.notLeader(ctx, MethodFetch)
	}
	update := s.config.Committed().Fetch(req.After)
	return &update, nil
}
