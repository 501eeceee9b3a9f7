package consensus

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Status describes one member and, on the leader, the whole group.
type Status struct {
	ID           MemberID
	Store        StoreID
	Role         string
	Term         uint64
	Leader       MemberID // empty when unknown
	LeaderAddr   string
	Commit       uint64
	Applied      uint64
	Last         uint64
	Snapshot     uint64 // index of the newest snapshot
	Transferring bool
	// Halted is set while the data directory has no space left and the member takes no part in
	// the group.
	Halted  bool
	Members []MemberStatus
	// InitialSize is the number of initial members, see MemberSet.InitialSize.
	InitialSize int
	// ChangePending is set while the membership in force isn't committed, so that Members
	// may still be reverted.
	ChangePending bool
	// Waiting are the data directories that wait to be added to the group.
	Waiting []WaitingStore
	// LossesLeft is how many more live voters the group can lose and still commit,
	// as seen by the leader; -1 on other members.
	LossesLeft int
	// Dropped counts received messages that were addressed to another data directory
	// or whose sender isn't in the membership.
	Dropped uint64
}

// MemberStatus describes one member of the membership in force.
type MemberStatus struct {
	Member
	// Match is the index of the last entry that the member is known to have synced.
	// Active reports whether it responded within an election timeout. The leader sets
	// both for every member, any other member only for itself.
	Match  uint64
	Active bool
}

// Status returns the state of the group as seen by this member.
func (g *Group) Status(ctx context.Context) (Status, error) {
	var s Status
	_, err := g.submit(ctx, func(now time.Duration, done func([]byte, error)) {
		s = g.replica.core.Status(now)
		done(nil, nil)
	})
	if err != nil {
		return Status{}, err
	}
	return s, nil
}

// Status returns the state of the group as seen by this member at now.
func (c *Core) Status(now time.Duration) Status {
	s := Status{
		ID: c.opts.ID, Store: c.opts.Store, Role: c.role.String(), Term: c.hard.Term,
		Leader: c.leader, LeaderAddr: c.memberAddr(c.leader),
		Commit: c.log.commit, Applied: c.log.applied, Last: c.log.last(), Snapshot: c.snapshot.Index,
		Transferring: c.leadership.transfer != nil, Halted: c.halted, LossesLeft: -1, Dropped: c.dropped,
		InitialSize:   int(c.membership().InitialSize),
		ChangePending: c.log.commit < c.lastChangeIndex(),
	}
	for _, m := range c.membership().Members {
		s.Members = append(s.Members, c.memberStatus(now, m))
	}
	for id := range c.waiting {
		if w, ok := c.waitingStore(now, id); ok {
			s.Waiting = append(s.Waiting, w)
		}
	}
	slices.SortFunc(s.Waiting, func(a, b WaitingStore) int { return cmp.Compare(a.ID, b.ID) })
	if c.role == RoleLeader {
		set := c.membership()
		s.LossesLeft = max(0, c.liveVoters(now, set)-set.Quorum())
	}
	return s
}

func (c *Core) memberStatus(now time.Duration, m Member) MemberStatus {
	s := MemberStatus{Member: m}
	switch p := c.leadership.progress[m.ID]; {
	case m.ID == c.opts.ID:
		s.Match, s.Active = c.log.stable, true
	case p != nil:
		s.Match, s.Active = p.match, c.live(now, m.ID)
	}
	return s
}

// meters are the metrics of one member.
type meters struct {
	term, commit, applied, last, leading, syncs, storageUsable metrics.Gauge
	dropped                                                    metrics.Counter
}

func newMeters(r metrics.Registry) meters {
	gauge := func(name string) metrics.Gauge { return metrics.GetOrRegisterGauge("consensus."+name, r) }
	return meters{
		term: gauge("term"), commit: gauge("commit"), applied: gauge("applied"), last: gauge("last"),
		leading: gauge("leading"), syncs: gauge("syncs"), storageUsable: gauge("storage_usable"),
		dropped: metrics.GetOrRegisterCounter("consensus.inbox_dropped", r),
	}
}

// recordState sets the gauges to the current state of the member.
func (m meters) recordState(r *replica) {
	m.term.Update(int64(r.core.hard.Term))
	m.commit.Update(int64(r.core.log.commit))
	m.applied.Update(int64(r.core.log.applied))
	m.last.Update(int64(r.core.log.last()))
	m.syncs.Update(int64(r.store.syncs))
	m.leading.Update(oneIf(r.core.role == RoleLeader))
	m.storageUsable.Update(oneIf(r.storageFailure == nil))
}

func oneIf(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
