package control

import (
	"context"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/consensus"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

const (
	// repairInterval spaces the leader's looks for a member to repair.
	repairInterval = 250 * time.Millisecond
	// promoteTimeout bounds waiting for a learner to catch up.
	promoteTimeout = 30 * time.Second
	// silentTimeout is how long a member is silent before it counts as gone for
	// good. It is longer than a restart or a freeze; a member that comes back
	// later than that joins again.
	silentTimeout = 10 * time.Second
	// minVoters is the smallest group that members are removed from: below it the
	// group would bear no loss.
	minVoters = 3
)

// repairs decides how the leader changes the membership. It is not safe for
// concurrent use.
type repairs struct {
	// adopt lets folders that no member had before join the group.
	adopt bool
	// silent tells since when a member hasn't been heard.
	silent map[consensus.MemberID]time.Duration
}

func newRepairs(adopt bool) *repairs {
	return &repairs{adopt: adopt, silent: make(map[consensus.MemberID]time.Duration)}
}

// next returns the change that is due now; ok is false when there is none. In
// this order: a member whose disk was replaced comes back as a learner, a
// learner becomes a voter, a new member joins, one that is gone is removed.
func (r *repairs) next(now time.Duration, status consensus.Status) (change consensus.Change, ok bool) {
	r.observe(now, status)
	if w, ok := lostDisk(status); ok {
		return consensus.Change{Kind: consensus.ChangeAddLearner, ID: w.ID, Addr: w.Addr, Store: w.Store}, true
	}
	for _, m := range status.Members {
		if m.Learner && m.Active {
			return consensus.Change{Kind: consensus.ChangePromote, ID: m.ID}, true
		}
	}
	if !r.adopt {
		return consensus.Change{}, false
	}
	if w, ok := newcomer(status); ok {
		return consensus.Change{Kind: consensus.ChangeAddLearner, ID: w.ID, Addr: w.Addr, Store: w.Store}, true
	}
	if id, ok := r.gone(now, status); ok {
		return consensus.Change{Kind: consensus.ChangeRemove, ID: id}, true
	}
	return consensus.Change{}, false
}

// reset forgets what was observed under an earlier leadership.
func (r *repairs) reset() { clear(r.silent) }

func (r *repairs) observe(now time.Duration, status consensus.Status) {
	for _, m := range status.Members {
		if m.Active {
			delete(r.silent, m.ID)
		} else if _, known := r.silent[m.ID]; !known {
			r.silent[m.ID] = now
		}
	}
}

// gone returns a member that has been silent for long, learners first.
func (r *repairs) gone(now time.Duration, status consensus.Status) (consensus.MemberID, bool) {
	voters := 0
	for _, m := range status.Members {
		if !m.Learner {
			voters++
		}
	}
	var found consensus.MemberID
	for _, m := range status.Members {
		since, silent := r.silent[m.ID]
		if m.Active || !silent || now-since < silentTimeout {
			continue
		}
		if m.Learner {
			return m.ID, true
		}
		found = m.ID
	}
	return found, found != "" && voters > minVoters
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

// newcomer returns a waiting folder of a member that the group doesn't list.
func newcomer(status consensus.Status) (consensus.WaitingStore, bool) {
	for _, waiting := range status.Waiting {
		listed := false
		for _, m := range status.Members {
			listed = listed || m.ID == waiting.ID
		}
		if !listed {
			return waiting, true
		}
	}
	return consensus.WaitingStore{}, false
}

// repairLoop keeps the group at its strength. Only the leader acts, on one
// member at a time.
func (s *Server) repairLoop(ctx context.Context) {
	repairs := newRepairs(s.cfg.Adopt)
	fleet.Every(ctx, repairInterval, func(ctx context.Context) { s.repair(ctx, repairs) })
}

func (s *Server) repair(ctx context.Context, repairs *repairs) {
	if _, leading := s.group.LeaderLease(); !leading {
		repairs.reset()
		return
	}
	ctx, cancel := context.WithTimeout(ctx, promoteTimeout)
	defer cancel()
	status, err := s.group.Status(ctx)
	if err != nil {
		s.log.Warn("membership not looked at", "error", err)
		return
	}
	s.members.Store(memberAddrs(status))
	change, due := repairs.next(s.cfg.Clock(), status)
	if !due {
		return
	}
	peer := string(change.ID)
	switch change.Kind {
	case consensus.ChangeAddLearner:
		err = s.group.AddLearner(ctx, change.ID, change.Addr, change.Store)
		s.log.Info("adding a member's folder as a learner", "peer", peer, "store", uint64(change.Store), "error", err)
	case consensus.ChangePromote:
		err = s.group.Promote(ctx, change.ID)
		s.log.Info("making a learner a voter", "peer", peer, "error", err)
	case consensus.ChangeRemove:
		err = s.group.Remove(ctx, change.ID)
		s.log.Info("removing a member that is gone", "peer", peer, "silent", silentTimeout.String(), "error", err)
	}
}

// memberAddrs returns the mesh addresses of the group.
func memberAddrs(status consensus.Status) *[]string {
	addrs := make([]string, 0, len(status.Members))
	for _, m := range status.Members {
		addrs = append(addrs, m.Addr)
	}
	return &addrs
}
