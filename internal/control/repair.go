package control

import (
	"context"
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
	// replacedTimeout is silentTimeout for a member that was silent when another one
	// joined, once that one votes: the silent member then only raises the quorum.
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
	// replacedBy maps each voter that was silent when a new member joined to that member.
	// One that is heard again is deleted.
	replacedBy map[consensus.MemberID]consensus.MemberID
}

func newRepairPlanner(adopt bool) *repairPlanner {
	return &repairPlanner{
		adopt: adopt, silentSince: make(map[consensus.MemberID]time.Duration), replacedBy: make(map[consensus.MemberID]consensus.MemberID),
	}
}

// nextChange returns the change that is due now; ok is false if there is none. In order
// of priority: add a member whose disk was replaced as a learner, promote a
// learner that has nearly caught up to a voter, add a new member as a learner, remove a member from which
// nothing was received for silentTimeout, or replacedTimeout if another one has joined
// in its place, see removableMember.
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
		r.recordSuccessor(w.ID, status)
		return consensus.Change{Kind: consensus.ChangeAddLearner, ID: w.ID, Addr: w.Addr, Store: w.Store}, true
	}
	if id, ok := r.removableMember(now, status); ok {
		return consensus.Change{Kind: consensus.ChangeRemove, ID: id}, true
	}
	return consensus.Change{}, false
}

// reset discards what was observed under an earlier leadership.
func (r *repairPlanner) reset() {
	clear(r.silentSince)
	clear(r.replacedBy)
}

// observe records since when the leader has received nothing from each inactive member.
func (r *repairPlanner) observe(now time.Duration, status consensus.Status) {
	for _, m := range status.Members {
		if m.Active {
			delete(r.silentSince, m.ID)
			delete(r.replacedBy, m.ID)
		} else if _, known := r.silentSince[m.ID]; !known {
			r.silentSince[m.ID] = now
		}
	}
}

// recordSuccessor records the joining member as the successor of the voter that has been
// silent longest and has none, if there is one.
func (r *repairPlanner) recordSuccessor(joining consensus.MemberID, status consensus.Status) {
	var replaced consensus.MemberID
	for _, m := range status.Members {
		since, silent := r.silentSince[m.ID]
		switch successor := r.replacedBy[m.ID]; {
		case successor == joining:
			return
		case m.Learner || !silent || successor != "":
		case replaced == "" || since < r.silentSince[replaced]:
			replaced = m.ID
		}
	}
	if replaced != "" {
		r.replacedBy[replaced] = joining
	}
}

// timeoutOf returns how long a member must be silent before it is removed.
func (r *repairPlanner) timeoutOf(id consensus.MemberID, status consensus.Status) time.Duration {
	successor := r.replacedBy[id]
	for _, m := range status.Members {
		if m.ID == successor && m.Active && !m.Learner {
			return replacedTimeout
		}
	}
	return silentTimeout
}

// removableMember returns a member that has been silent for its timeout, learners first.
// It returns a voter only if more than minVoters voters are listed and the removal lowers
// the quorum. Otherwise the removal would tolerate no further loss, but the member could
// not vote when it returns.
func (r *repairPlanner) removableMember(now time.Duration, status consensus.Status) (consensus.MemberID, bool) {
	voters := 0
	for _, m := range status.Members {
		if !m.Learner {
			voters++
		}
	}
	var found consensus.MemberID
	for _, m := range status.Members {
		since, silent := r.silentSince[m.ID]
		if m.Active || !silent || now-since < r.timeoutOf(m.ID, status) {
			continue
		}
		if m.Learner {
			return m.ID, true
		}
		found = m.ID
	}
	lowersQuorum := voters%2 == 0
	return found, found != "" && voters > minVoters && lowersQuorum
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
	fleet.Every(ctx, repairInterval, func(ctx context.Context) { s.repair(ctx, planner) })
}

// repair makes the change of the membership that is due, if any.
func (s *Server) repair(ctx context.Context, planner *repairPlanner) {
	if _, leading := s.group.LeaderLease(); !leading {
		planner.reset()
		return
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	status, err := s.group.Status(ctx)
	if err != nil {
		s.log.Warn("cannot read the membership of the control group", "error", err)
		return
	}
	s.members.Store(memberAddrs(status))
	change, due := planner.nextChange(s.cfg.Clock(), status)
	if !due {
		return
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
		s.log.Info("membership change of the control group ended: remove silent member", "peer", peer, "silent", planner.timeoutOf(change.ID, status).String(), "error", err)
	}
}

// memberAddrs returns the mesh addresses of the group's members.
func memberAddrs(status consensus.Status) *[]string {
	addrs := make([]string, 0, len(status.Members))
	for _, m := range status.Members {
		addrs = append(addrs, m.Addr)
	}
	return &addrs
}
