package control

import (
	"context"
	"errors"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

//go:generate go tool msgp -tests=false -io=false -file upstreams.go

// MethodUpstreams returns the upstream list as a router has read it from the
// platform: an UpstreamsRequest is answered by an UpstreamsReply.
const MethodUpstreams = "router.upstreams"

// UpstreamsRequest requests a router's upstream list.
type UpstreamsRequest struct{}

// UpstreamsReply holds a router's upstream list.
type UpstreamsReply struct {
	Upstreams []fleet.Upstream `msg:"u"`
}

var errNoRouter = errors.New("no router has joined the fleet")

// upstreams returns the upstream list of the first router that answers, because
// control members may be unable to reach the platform.
func (s *Server) upstreams(ctx context.Context, m fleet.Membership) ([]fleet.Upstream, error) {
	err := errNoRouter
	for _, member := range m.Members {
		callCtx, cancel := context.WithTimeout(ctx, statusTimeout)
		var reply UpstreamsReply
		err = s.pool.Call(callCtx, member.Addr, MethodUpstreams, &UpstreamsRequest{}, &reply)
		cancel()
		if err == nil {
			return reply.Upstreams, nil
		}
	}
	return nil, err
}
