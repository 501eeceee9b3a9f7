package control

import (
	"context"
	"errors"

	"github.com/wigeonflow/wigeonflow/internal/consensus"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/operator"
	"github.com/wigeonflow/wigeonflow/internal/placement"
	"github.com/wigeonflow/wigeonflow/internal/session"
)

// backend implements operator.Backend on this member.
type backend struct {
	server *Server
}

var _ operator.Backend = backend{}

// Propose implements operator.Backend.
func (b backend) Propose(ctx context.Context, command []byte) ([]byte, error) {
	result, err := b.server.group.Propose(ctx, tagged(tagConfig, command))
	return result, backendError(err)
}

// backendError converts an error of the consensus group into one of the types that
// operator.Backend documents.
func backendError(err error) error {
	var unknown *consensus.UnknownOutcomeError
	var notLeading *consensus.NotLeaderError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &unknown):
		return err
	case errors.As(err, &notLeading):
		return operator.ErrNotLeader.Wrap(err, "propose a command")
	default:
		return operator.ErrUnavailable.Wrap(err, "propose a command")
	}
}

// Committed implements operator.Backend.
func (b backend) Committed(ctx context.Context) (*operator.Committed, error) {
	if err := b.server.group.Barrier(ctx); err != nil {
		return nil, backendError(err)
	}
	return b.server.config.Committed(), nil
}

// Status implements operator.Backend.
func (b backend) Status(ctx context.Context) (*operator.Status, error) {
	committed, err := b.Committed(ctx)
	if err != nil {
		return nil, err
	}
	group, err := b.server.group.Status(ctx)
	if err != nil {
		return nil, operator.ErrUnavailable.Wrap(err, "read the status of the control group")
	}
	status := &operator.Status{Leader: fleet.InstanceID(group.Leader), LossesLeft: group.LossesLeft}
	for _, m := range group.Members {
		status.Control = append(status.Control, controlStatus(m, group))
	}
	leases, epoch, settled := b.server.leader.leases()
	status.Epoch, status.Settled = epoch, settled
	for _, l := range leases {
		status.Routers = append(status.Routers, operator.RouterStatus{
			Instance: l.Member.ID, Boot: l.Member.Boot, Addr: l.Member.Addr, Zone: l.Member.Zone,
			Version: l.Version, Epoch: l.Acknowledged, LeaseLeft: l.Remaining, InFlight: l.InFlight, Upstreams: l.Upstreams,
		})
	}
	status.SetConfig(&committed.State)
	return status, nil
}

func controlStatus(m consensus.MemberStatus, group consensus.Status) operator.ControlStatus {
	role := "voter"
	switch {
	case m.ID == group.Leader:
		role = "leader"
	case m.Learner:
		role = "learner"
	}
	behind := uint64(0)
	if group.Commit > m.Match && m.ID != group.ID {
		behind = group.Commit - m.Match
	}
	return operator.ControlStatus{
		Instance: fleet.InstanceID(m.ID), Addr: m.Addr, Role: role, Behind: behind,
		Reachable: m.Active || m.ID == group.ID,
	}
}

// Upstreams implements operator.Backend.
func (b backend) Upstreams(ctx context.Context) ([]operator.UpstreamStatus, error) {
	committed, err := b.Committed(ctx)
	if err != nil {
		return nil, err
	}
	var membership fleet.Membership
	b.server.stateMachine.withReadLock(func() { membership = b.server.roster.Membership() })
	list, err := b.server.upstreams(ctx, membership)
	if err != nil {
		return nil, operator.ErrUnavailable.Wrap(err, "read the upstream list from a router")
	}
	ring := placement.NewRing(membership)
	view := operator.NewView()
	if _, err := view.Apply(&operator.Update{Full: &committed.State}); err != nil {
		return nil, operator.ErrUnavailable.Wrap(err, "index the configuration")
	}
	index := view.Index()
	out := make([]operator.UpstreamStatus, 0, len(list))
	for _, u := range list {
		status := operator.UpstreamStatus{Upstream: u, Owner: ring.Owner(u.ID), Out: index.ZoneOut(u.Zone) || index.UpstreamOut(u.ID)}
		if order, ok := index.Order(u.ID); ok {
			status.Order = &order
		}
		out = append(out, status)
	}
	return out, nil
}

// Leader implements operator.Backend. A member that leads, but holds no lease or has not
// committed an entry of its term yet, names nobody.
func (b backend) Leader() string {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	status, err := b.server.group.Status(ctx)
	if err != nil || status.LeaderAddr == "" || status.Leader == status.ID {
		return ""
	}
	return b.server.operatorAddr(ctx, status.LeaderAddr)
}

// Leads implements operator.Backend.
func (b backend) Leads() bool {
	_, leads := b.server.group.LeaderLease()
	return leads
}

// leases returns the routers' leases, the committed epoch and the settled epoch.
// If this member does not lead it returns only the committed epoch.
func (l *leader) leases() (leases []session.LeaseStatus, epoch, settled fleet.Epoch) {
	l.stateMachine.withReadLock(func() { epoch = l.roster.Membership().Epoch })
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.grantor == nil {
		return nil, epoch, 0
	}
	return l.grantor.Leases(l.clock()), epoch, l.grantor.Settled()
}
