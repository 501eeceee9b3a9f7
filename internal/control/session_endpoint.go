package control

import (
	"context"
	"time"

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
		if relayed := s.relayConfirmation(ctx, req); relayed != nil {
			return relayed, nil
		}
		return nil, err
	}
	s.paceMembership(ctx, reply)
	s.nameMembers(req, reply)
	return reply, nil
}

// nameMembers adds the addresses of the control group to a reply, and those of the relays if the
// router has no membership to compute them from and wasn't told of them lately.
func (s *Server) nameMembers(req *session.RenewRequest, reply *session.RenewReply) {
	if members := s.members.Load(); members != nil {
		reply.Control = *members
	}
	if reply.Status != session.StatusGranted && !req.KnowsRelays {
		var membership fleet.Membership
		s.stateMachine.withReadLock(func() { membership = s.roster.Membership() })
		reply.Relays = s.relays.Relays(membership)
	}
}

// MethodConfirm returns the confirmation that a member relays to routers without a configuration:
// an empty session.RenewRequest is answered by a session.RenewReply that grants nothing.
const MethodConfirm = "session.confirm"

// confirm answers MethodConfirm.
func (s *Server) confirm(ctx context.Context, _ string, req *session.RenewRequest) (*session.RenewReply, error) {
	var reply *session.RenewReply
	err := s.callAsLeader(ctx, MethodConfirm, func() bool {
		reply = s.leader.confirm()
		return reply != nil && reply.Status != session.StatusNotLeader
	})
	if err != nil {
		return nil, err
	}
	s.nameMembers(req, reply)
	return reply, nil
}

// relayConfirmation returns the leader's confirmation for a router that has no configuration yet,
// or nil for any other one or if the leader doesn't answer. After a joint restart the routers
// of a large fleet can thus serve before each of them has connected to the leader.
func (s *Server) relayConfirmation(ctx context.Context, req *session.RenewRequest) *session.RenewReply {
	if req.KnownVersion > 0 || req.KnownEpoch > 0 || req.Leaving {
		return nil
	}
	confirmed, err := s.confirmations.get(ctx)
	if err != nil || confirmed.Version == 0 {
		return nil
	}
	reply := *confirmed
	reply.Seq, reply.Relayed = req.Seq, true
	if req.KnowsRelays {
		reply.Relays = nil
	}
	return &reply
}

const (
	// deflateRatio is by how much a membership shrinks when it is deflated: its boots and
	// addresses have much in common.
	deflateRatio = 5
	// maxMembershipWait bounds how long a reply with a membership waits for the link. It leaves
	// time for the transfer within callTimeout, on a link that others use as well.
	maxMembershipWait = 100 * time.Millisecond
)

// paceMembership delays a grant with a complete membership like a copy of the configuration. All
// routers of a large fleet need one when they start together, and the heartbeats of the group
// share the link with them. If the wait would be too long, the router is told to go on
// joining, and gets its grant at a later renewal; the reply still confirms the version.
func (s *Server) paceMembership(ctx context.Context, reply *session.RenewReply) {
	size := len(reply.Packed)
	if reply.Membership != nil {
		size = reply.Membership.Msgsize() / deflateRatio
	}
	if size == 0 {
		return
	}
	wait, err := s.copyPacer.reserve(size, maxMembershipWait)
	if err != nil || !fleet.Pause(ctx, wait) {
		reply.Withhold()
	}
}
