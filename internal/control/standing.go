package control

import (
	"context"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/consensus"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

//go:generate go tool msgp -tests=false -io=false -file standing.go

// MethodStanding asks the leader whether the group lists a folder: a
// StandingRequest is answered by a StandingReply.
const MethodStanding = "control.standing"

// StandingRequest names a member's folder.
type StandingRequest struct {
	Member string `msg:"m"`
	Store  uint64 `msg:"s"`
}

// StandingReply tells whether the folder is a member's. Removed is set only by a
// leader that holds its lease.
type StandingReply struct {
	Removed bool `msg:"r"`
}

const (
	// standingInterval spaces looks at whether this member is still one.
	standingInterval = 2 * time.Second
	// leaderlessLooks is how many looks in a row must find no leader before the
	// others are asked: an election takes less.
	leaderlessLooks = 2
)

// ErrRemoved stops a member that was removed from the group while it was away.
// Its folder is cleared, so that it joins as a new member when it is started
// again.
var ErrRemoved = fleet.Errors.NewType("control_removed")

func (s *Server) standing(ctx context.Context, _ string, req *StandingRequest) (*StandingReply, error) {
	if _, leading := s.group.LeaderLease(); !leading {
		return nil, s.notLeader(ctx, MethodStanding)
	}
	status, err := s.group.Status(ctx)
	if err != nil {
		return nil, fleet.At(err, MethodStanding, s.cfg.Addr)
	}
	for _, m := range status.Members {
		if string(m.ID) == req.Member && uint64(m.Store) == req.Store {
			return &StandingReply{}, nil
		}
	}
	return &StandingReply{Removed: true}, nil
}

// standingLoop asks the group about this member while it hears of no leader.
func (s *Server) standingLoop(ctx context.Context) {
	leaderless := 0
	fleet.Every(ctx, standingInterval, func(ctx context.Context) {
		status, err := s.group.Status(ctx)
		if err != nil || status.Leader != "" || len(status.Members) == 0 {
			leaderless = 0 // led, stopped, or waiting to be added
			return
		}
		if leaderless++; leaderless > leaderlessLooks && s.askStanding(ctx, status) {
			s.leave()
		}
	})
}

// askStanding tells whether the leader says that this member was removed.
func (s *Server) askStanding(ctx context.Context, status consensus.Status) bool {
	addrs := append([]string{}, s.cfg.Members...)
	for _, m := range status.Members {
		addrs = append(addrs, m.Addr)
	}
	ctx, cancel := context.WithTimeout(ctx, standingInterval)
	defer cancel()
	var reply StandingReply
	request := StandingRequest{Member: string(status.ID), Store: uint64(status.Store)}
	if err := NewClient(s.pool, addrs).Call(ctx, MethodStanding, &request, &reply); err != nil {
		s.log.Info("standing in the group not learned", "error", err)
		return false
	}
	return reply.Removed
}

// leave stops the member and clears its folder. What it holds is behind the
// group, which removed it by a majority that it was no part of.
func (s *Server) leave() {
	s.log.Warn("removed from the control group while away; clearing the data folder to join again", "folder", s.cfg.Dir)
	s.leaving.Store(true)
	if err := s.group.Close(); err != nil {
		s.log.Warn("member not stopped cleanly", "error", err)
	}
	s.failure = ErrRemoved.New("%s was removed from the control group", s.cfg.Addr)
	if err := consensus.ClearFolder(s.cfg.Dir); err != nil {
		s.failure = fleet.At(err, "control.leave", s.cfg.Dir)
	}
	close(s.done)
}
