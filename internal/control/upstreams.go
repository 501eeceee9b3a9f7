package control

import (
	"context"
	"errors"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

//go:generate go tool msgp -tests=false -io=false -file upstreams.go

// MethodUpstreams asks a router for the platform's list as it has read it: an
// UpstreamsRequest is answered by an UpstreamsReply.
const MethodUpstreams = "router.upstreams"

// UpstreamsRequest asks a router for its list.
type UpstreamsRequest struct{}

// UpstreamsReply holds the list.
type UpstreamsReply struct {
	Upstreams []fleet.Upstream `msg:"u"`
}

var errNoRouter = errors.New("no router has joined the fleet")

// upstreams returns the list of the first router that answers: control members
// need not reach the platform.
func (s *Server) upstreams(ctx context.Context, m fleet.Membership) ([]fleet.Upstream, error) {
	err := errNoRouter
	for _, member := range m.Members {
		ask, cancel := context.WithTimeout(ctx, statusTimeout)
		var reply UpstreamsReply
		err = s.pool.Call(ask, member.Addr, MethodUpstreams, &UpstreamsRequest{}, &reply)
		cancel()
		if err == nil {
			return reply.Upstreams, nil
		}
	}
	return nil, err
}
