package control

import (
	"context"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/consensus"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

const (
	// repairInterval spaces the leader's looks for a member to repair.
	repairInterval = time.Second
	// promoteTimeout bounds waiting for a learner to catch up.
	promoteTimeout = 30 * time.Second
)

// repairLoop takes a member whose disk was replaced back into the group: its
// empty folder becomes a learner in the place of the lost one, and a voter again
// once it has every committed entry. Only the leader acts, on one member at a
// time.
func (s *Server) repairLoop(ctx context.Context) {
	fleet.Every(ctx, repairInterval, s.repair)
}

func (s *Server) repair(ctx context.Context) {
	if _, leading := s.group.LeaderLease(); !leading {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, promoteTimeout)
	defer cancel()
	status, err := s.group.Status(ctx)
	if err != nil {
		return
	}
	if waiting, ok := lostDisk(status); ok {
		err := s.group.AddLearner(ctx, waiting.ID, waiting.Addr, waiting.Store)
		s.log.Info("replacing the disk of a member", "peer", waiting.Addr, "store", uint64(waiting.Store), "error", err)
		return
	}
	for _, m := range status.Members {
		if m.Learner && m.Active {
			err := s.group.Promote(ctx, m.ID)
			s.log.Info("making a learner a voter", "peer", m.Addr, "error", err)
			return
		}
	}
}

// lostDisk returns a waiting folder that stands in for a member which is not
// heard from: a member that is up still has its disk.
func lostDisk(status consensus.Status) (consensus.WaitingStore, bool) {
	for _, waiting := range status.Waiting {
		for _, m := range status.Members {
			if m.ID == waiting.ID && m.Store != waiting.Store && !m.Active {
				return waiting, true
			}
		}
	}
	return consensus.WaitingStore{}, false
}
