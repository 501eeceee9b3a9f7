package control

import (
	"context"
	"slices"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/consensus"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

//go:generate go tool msgp -tests=false -io=false -file standing.go

// MethodMembership asks the leader whether the group lists a member's store: a
// MembershipRequest is answered by a MembershipReply.
const MethodMembership = "control.standing"

// MembershipRequest identifies a member and the store in its data directory.
type MembershipRequest struct {
	Member string `msg:"m"`
	Store  uint64 `msg:"s"`
}

// MembershipReply reports whether the member was removed.
type MembershipReply struct {
	// Removed is set if the group does not list the member with this store, and this is
	// committed. Only a leader that holds its lease answers.
	Removed bool `msg:"r"`
}

const (
	// membershipInterval is the time between checks of whether this member is still
	// listed.
	membershipInterval = 2 * time.Second
	// leaderlessChecks is how many consecutive checks may find no leader; the next one
	// asks the other members. An election takes less time.
	leaderlessChecks = 2
)

// ErrRemoved is the failure of a member that was removed from the group while it
// was stopped or disconnected, and can't be added again with its data directory, because
// the group lists it with another one. The directory is cleared, so that the member joins
// as a new one after a restart.
var ErrRemoved = fleet.Errors.NewType("control_removed")

// membership answers MethodMembership.
func (s *Server) membership(ctx context.Context, _ string, req *MembershipRequest) (*MembershipReply, error) {
	if _, leading := s.group.LeaderLease(); !leading {
		return nil, s.notLeader(MethodMembership)
	}
	status, err := s.group.Status(ctx)
	if err != nil {
		return nil, fleet.At(err, MethodMembership, s.cfg.Addr)
	}
	return &MembershipReply{Removed: removed(status, req)}, nil
}

// removed reports whether the member is certainly no longer listed with its store, and
// isn't about to be added again with it. A removal that isn't committed may be reverted,
// and the member's data is needed then.
func removed(status consensus.Status, req *MembershipRequest) bool {
	waiting := slices.ContainsFunc(status.Waiting, func(w consensus.WaitingStore) bool {
		return string(w.ID) == req.Member && uint64(w.Store) == req.Store
	})
	listed := slices.ContainsFunc(status.Members, func(m consensus.MemberStatus) bool {
		return string(m.ID) == req.Member && uint64(m.Store) == req.Store
	})
	return !listed && !waiting && !status.ChangePending
}

// membershipLoop asks the group whether it still lists this member while this
// member knows no leader, and stops the member if it was removed.
func (s *Server) membershipLoop(ctx context.Context) {
	leaderless := 0
	fleet.Every(ctx, membershipInterval, func(ctx context.Context) {
		status, err := s.group.Status(ctx)
		if err != nil || status.Leader != "" || len(status.Members) == 0 || status.Halted {
			// The leader is known, or this member is stopped or not yet added. One that is halted
			// may have been removed for its silence, and is added again with its data.
			leaderless = 0
			return
		}
		if leaderless++; leaderless > leaderlessChecks && s.wasRemoved(ctx, status) {
			s.leave()
		}
	})
}

// wasRemoved asks the leader and reports whether this member was removed. It
// reports false if no leader answers.
func (s *Server) wasRemoved(ctx context.Context, status consensus.Status) bool {
	addrs := append([]string{}, s.cfg.Members...)
	for _, m := range status.Members {
		addrs = append(addrs, m.Addr)
	}
	ctx, cancel := context.WithTimeout(ctx, membershipInterval)
	defer cancel()
	var reply MembershipReply
	request := MembershipRequest{Member: string(status.ID), Store: uint64(status.Store)}
	if err := NewClient(s.pool, addrs).Call(ctx, MethodMembership, &request, &reply); err != nil {
		s.log.Info("cannot determine whether this member was removed from the control group", "error", err)
		return false
	}
	return reply.Removed
}

// leave stops the member and clears its data directory. Its data is outdated: a
// majority of the group without this member committed the removal. It does nothing if the member
// has stopped meanwhile; its next process asks again.
func (s *Server) leave() {
	if !s.ending.CompareAndSwap(false, true) {
		return
	}
	s.log.Warn("this member was removed from the control group while it was stopped or disconnected; it clears its data directory and joins again", "folder", s.cfg.Dir)
	if err := s.group.Close(); err != nil {
		s.log.Warn("control member not stopped cleanly", "error", err)
	}
	s.failure = ErrRemoved.New("member %s was removed from the control group", s.cfg.Addr)
	if err := consensus.ClearDataDir(s.cfg.Dir); err != nil {
		s.failure = fleet.At(err, "control.leave", s.cfg.Dir)
	}
	close(s.done)
}
