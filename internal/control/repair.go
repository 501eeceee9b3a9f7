package control

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/consensus"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

const (
	// repairInterval is the time between the leader's checks for a due change of the
	// membership.
	repairInterval = 250 * time.Millisecond
	// changeTimeout bounds one change of the membership.
	changeTimeout = 30 * time.Second
	// promoteTimeout bounds the promotion of a learner, including the wait for its last
	// entries: if it fails meanwhile, another member may need repair.
	promoteTimeout = time.Second
	// promoteBacklog is the number of entries that a learner may lack when its promotion
	// is started.
	promoteBacklog = 256
	// silentTimeout is how long the leader must receive nothing from a member before
	// it removes the member. It is longer than a restart or a freeze; a member that
	// comes back later joins the group again.
	silentTimeout = 10 * time.Second
	// replacedTimeout is silentTimeout while the group has more voters than initial members:
	// others have joined in the place of the silent ones, which only raise the quorum.
	replacedTimeout = 2 * time.Second
	// minVoters is the number of voters that removals must leave: a smaller group
	// tolerates no failure.
	minVoters = 3
)

// repairPlanner decides which change the leader makes to the group's membership. It
// is not safe for concurrent use.
type repairPlanner struct {
	// adopt allows adding unlisted members to the group and removing members.
	adopt bool
	// silentSince holds the time since which the leader has received nothing from
	// each inactive member.
	silentSince map[consensus.MemberID]time.Duration
}

func newRepairPlanner(adopt bool) *repairPlanner {
	return &repairPlanner{adopt: adopt, silentSince: make(map[consensus.MemberID]time.Duration)}
}

// nextChange returns the change that is due now; ok is false if there is none. In order
// of priority: add a member whose disk was replaced as a learner, promote a
// learner that has nearly caught up to a voter, add a new member as a learner, remove a member
// that is silent, see removableMember.
func (r *repairPlanner) nextChange(now time.Duration, status consensus.Status) (change consensus.Change, ok bool) {
	r.observe(now, status)
	if w, ok := replacedDisk(status); ok {
		return consensus.Change{Kind: consensus.ChangeAddLearner, ID: w.ID, Addr: w.Addr, Store: w.Store}, true
	}
	for _, m := range status.Members {
		if m.Learner && m.Active && m.Match+promoteBacklog >= status.Commit {
			return consensus.Change{Kind: consensus.ChangePromote, ID: m.ID}, true
		}
	}
	if !r.adopt {
		return consensus.Change{}, false
	}
	if w, ok := unlistedMember(status); ok {
		return consensus.Change{Kind: consensus.ChangeAddLearner, ID: w.ID, Addr: w.Addr, Store: w.Store}, true
	}
	if id, ok := r.removableMember(now, status); ok {
		return consensus.Change{Kind: consensus.ChangeRemove, ID: id}, true
	}
	return consensus.Change{}, false
}

// reset discards what was observed under an earlier leadership.
func (r *repairPlanner) reset() { clear(r.silentSince) }

// observe records since when the leader has received nothing from each inactive member.
func (r *repairPlanner) observe(now time.Duration, status consensus.Status) {
	for _, m := range status.Members {
		if m.Active {
			delete(r.silentSince, m.ID)
		} else if _, known := r.silentSince[m.ID]; !known {
			r.silentSince[m.ID] = now
		}
	}
}

// removableMember returns a silent learner or else a voter that is to be removed. If the group
// has more voters than initial members, the voters beyond that number are removed after
// replacedTimeout, and others after silentTimeout.
func (r *repairPlanner) removableMember(now time.Duration, status consensus.Status) (consensus.MemberID, bool) {
	var replaced, gone []consensus.MemberID
	for _, m := range status.Members {
		silence := r.silence(now, m)
		switch {
		case m.Learner && silence >= silentTimeout:
			return m.ID, true
		case m.Learner:
			continue
		}
		if silence >= replacedTimeout {
			replaced = append(replaced, m.ID)
		}
		if silence >= silentTimeout {
			gone = append(gone, m.ID)
		}
	}
	voters := voterCount(status)
	if status.InitialSize > 0 {
		if id, ok := r.removableVoter(replaced, voters, max(status.InitialSize, minVoters)); ok {
			return id, true
		}
	}
	return r.removableVoter(gone, voters, minVoters)
}

// removableVoter returns the one of the silent voters that has been silent longest. It returns
// false unless removals of silent voters that leave at least remaining ones lower the quorum.
// That of one lowers the quorum of an even number of voters, and that of two the quorum of an
// odd number. Any other removal would tolerate no further loss, but the member could not vote
// when it returns.
func (r *repairPlanner) removableVoter(silent []consensus.MemberID, voters, remaining int) (consensus.MemberID, bool) {
	needed := 1 + voters%2
	if len(silent) < needed || voters-needed < remaining {
		return "", false
	}
	return slices.MinFunc(silent, func(a, b consensus.MemberID) int {
		return cmp.Or(cmp.Compare(r.silentSince[a], r.silentSince[b]), cmp.Compare(a, b))
	}), true
}

// silence returns for how long the leader has received nothing from a member; 0 if it is
// active.
func (r *repairPlanner) silence(now time.Duration, m consensus.MemberStatus) time.Duration {
	since, silent := r.silentSince[m.ID]
	if m.Active || !silent {
		return 0
	}
	return now - since
}

// replacedDisk returns a waiting store with the ID of a listed member, but another
// store ID, from which nothing is received. A member that is active still has its
// disk.
func replacedDisk(status consensus.Status) (consensus.WaitingStore, bool) {
	for _, waiting := range status.Waiting {
		for _, m := range status.Members {
			if m.ID == waiting.ID && m.Store != waiting.Store && !m.Active {
				return waiting, true
			}
		}
	}
	return consensus.WaitingStore{}, false
}

// unlistedMember returns a waiting store of a member that the group does not list.
func unlistedMember(status consensus.Status) (consensus.WaitingStore, bool) {
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

// repairLoop repairs the group's membership. Only the leader acts, and changes one
// member at a time.
func (s *Server) repairLoop(ctx context.Context) {
	planner := newRepairPlanner(s.cfg.Adopt)
	tolerance := newToleranceMonitor(s.log, s.cfg.RequiredLosses, s.cfg.Metrics)
	fleet.Every(ctx, repairInterval, func(ctx context.Context) {
		for s.repair(ctx, planner, tolerance) {
		}
	})
}

// repair makes the change of the membership that is due. It reports whether there was one
// and it was committed.
func (s *Server) repair(ctx context.Context, planner *repairPlanner, tolerance *toleranceMonitor) bool {
	if _, leading := s.group.LeaderLease(); !leading {
		planner.reset()
		tolerance.reset()
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	status, err := s.group.Status(ctx)
	if err != nil {
		s.log.Warn("cannot read the membership of the control group", "error", err)
		return false
	}
	s.members.Store(memberAddrs(status))
	now := s.cfg.Clock()
	tolerance.observe(now, status)
	change, due := planner.nextChange(now, status)
	if !due {
		return false
	}
	peer := string(change.ID)
	switch change.Kind {
	case consensus.ChangeAddLearner:
		err = s.group.AddLearner(ctx, change.ID, change.Addr, change.Store)
		s.log.Info("membership change of the control group ended: add learner", "peer", peer, "store", uint64(change.Store), "error", err)
	case consensus.ChangePromote:
		ctx, cancel := context.WithTimeout(ctx, promoteTimeout)
		defer cancel()
		err = s.group.Promote(ctx, change.ID)
		s.log.Info("membership change of the control group ended: promote learner to voter", "peer", peer, "error", err)
	case consensus.ChangeRemove:
		err = s.group.Remove(ctx, change.ID)
		s.log.Info("membership change of the control group ended: remove silent member", "peer", peer, "voters", voterCount(status), "initial", status.InitialSize, "error", err)
	}
	return err == nil
}

// voterCount returns the number of voters.
func voterCount(status consensus.Status) (n int) {
	for _, m := range status.Members {
		if !m.Learner {
			n++
		}
	}
	return n
}

// memberAddrs returns the mesh addresses of the group's members.
func memberAddrs(status consensus.Status) *[]string {
	addrs := make([]string, 0, len(status.Members))
	for _, m := range status.Members {
		addrs = append(addrs, m.Addr)
	}
	return &addrs
}
