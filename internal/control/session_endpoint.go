package control

import (
	"context"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/session"
)

// MethodRenew grants session leases: a session.RenewRequest is answered by a
// session.RenewReply.
const MethodRenew = "session.renew"

// renew answers MethodRenew.
func (s *Server) renew(ctx context.Context, _ string, req *session.RenewRequest) (*session.RenewReply, error) {
	var reply *session.RenewReply
	err := s.callAsLeader(ctx, MethodRenew, func() bool {
		reply = s.leader.renew(req)
		return reply != nil && reply.Status != session.StatusNotLeader
	})
	if err != nil {
		return nil, err
	}
	if members := s.members.Load(); members != nil {
		reply.Control = *members
	}
	if reply.Status != session.StatusGranted { // the router has no membership to compute them from
		var membership fleet.Membership
		s.stateMachine.withReadLock(func() { membership = s.roster.Membership() })
		reply.Relays = s.relays.Relays(membership)
	}
	return reply, nil
}
