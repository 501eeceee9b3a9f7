package consensus

import (
	"context"
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// simulationWithLeader returns a simulation of three members without faults, and its
// leader.
func simulationWithLeader(t *testing.T) (*simulation, *simMember) {
	sim := faultlessSimulation(5, 3, DefaultHeartbeat)
	is.New(t).NoErr(sim.check.err)
	return sim, sim.leader()
}

// others returns all members except m.
func (sim *simulation) others(m *simMember) []*simMember {
	var rest []*simMember
	for _, o := range sim.members {
		if o != m {
			rest = append(rest, o)
		}
	}
	return rest
}

// proposeChange proposes a membership change and returns where its outcome is stored.
func (m *simMember) proposeChange(ch Change) *outcome {
	o := &outcome{err: errors.New("the change has no outcome yet")}
	m.exec(func() {
		m.replica.proposeChange(m.localTime(), ch, func(result []byte, err error) { *o = outcome{result, err} })
	})
	return o
}

func TestInvalidMembershipChangesAreRejected(t *testing.T) {
	cases := []struct {
		name   string
		before func(sim *simulation, lead *simMember, rest []*simMember)
		change func(lead *simMember, rest []*simMember) Change
	}{
		{
			"a voter is removed while another is down, so that no majority would live",
			func(s *simulation, _ *simMember, rest []*simMember) { rest[0].crash(); s.run(s.now + 2*time.Second) },
			func(_ *simMember, rest []*simMember) Change { return Change{Kind: ChangeRemove, ID: rest[1].id} },
		},
		{
			"a member that never announced its store is added",
			func(*simulation, *simMember, []*simMember) {},
			func(*simMember, []*simMember) Change { return Change{Kind: ChangeAddLearner, ID: "unheard"} },
		},
		{
			"the leader's own store is replaced",
			func(*simulation, *simMember, []*simMember) {},
			func(lead *simMember, _ []*simMember) Change {
				return Change{Kind: ChangeAddLearner, ID: lead.id, Store: 9}
			},
		},
		{
			"a voter is promoted",
			func(*simulation, *simMember, []*simMember) {},
			func(_ *simMember, rest []*simMember) Change { return Change{Kind: ChangePromote, ID: rest[0].id} },
		},
		{
			"a second change while the first isn't committed",
			func(sim *simulation, lead *simMember, rest []*simMember) {
				sim.cut(lead.id, rest[0].id, 0)
				sim.cut(lead.id, rest[1].id, 0)
				lead.proposeChange(Change{Kind: ChangeAddLearner, ID: "new", Store: 9})
			},
			func(_ *simMember, rest []*simMember) Change { return Change{Kind: ChangeRemove, ID: rest[0].id} },
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			sim, lead := simulationWithLeader(t)
			rest := sim.others(lead)
			tc.before(sim, lead, rest)
			last := lead.replica.core.log.last()
			o := lead.proposeChange(tc.change(lead, rest))
			is.True(o.err != nil)
			is.Equal(lead.replica.core.log.last(), last) // nothing was appended
		})
	}
}

func TestLearnerThatIsBehindIsNotPromoted(t *testing.T) {
	is := is.New(t)
	sim, lead := simulationWithLeader(t)
	broken := sim.others(lead)[0]
	broken.loseDisk(time.Millisecond)
	sim.run(sim.now + time.Second)
	for _, o := range sim.members {
		sim.cut(broken.id, o.id, 0)
	}
	added := lead.proposeChange(Change{Kind: ChangeAddLearner, ID: broken.id, Store: broken.replica.store.id})
	sim.run(sim.now + time.Second)
	is.NoErr(added.err)
	is.Equal(lead.replica.core.Status(lead.localTime()).LossesLeft, 0)

	var behind *NotCaughtUpError
	is.True(errors.As(lead.proposeChange(Change{Kind: ChangePromote, ID: broken.id}).err, &behind))
	clear(sim.blocked)
	sim.run(sim.now + 5*time.Second)
	promoted := lead.proposeChange(Change{Kind: ChangePromote, ID: broken.id})
	sim.run(sim.now + time.Second)
	is.NoErr(promoted.err)
	is.Equal(lead.replica.core.Status(lead.localTime()).LossesLeft, 1)

	// The repaired member and the leader commit without the third one.
	third := sim.others(lead)[1]
	third.crash()
	sim.run(sim.now + time.Second)
	o := lead.proposeChange(Change{Kind: ChangeAddLearner, ID: "new", Store: 9})
	sim.run(sim.now + time.Second)
	is.NoErr(o.err)
	is.NoErr(sim.check.err)
}

func TestLossesLeftCountsOnlyVotersThatRespondedToTheNewLeader(t *testing.T) {
	is := is.New(t)
	sim, lead := simulationWithLeader(t)
	lead.crash()
	for sim.leader() == nil {
		sim.run(sim.now + time.Millisecond)
	}
	is.Equal(sim.leader().replica.core.Status(sim.leader().localTime()).LossesLeft, 0)
	is.NoErr(sim.check.err)
}

func TestLeaseOfACutOffLeaderExpiresBeforeAnotherLeaderHasOne(t *testing.T) {
	is := is.New(t)
	sim, lead := simulationWithLeader(t)
	for _, o := range sim.others(lead) {
		sim.cut(lead.id, o.id, 0)
	}
	o := lead.proposeChange(Change{Kind: ChangeAddLearner, ID: "new", Store: 9})
	sim.run(sim.now + 3*time.Second)
	var unknown *UnknownOutcomeError
	is.True(errors.As(o.err, &unknown))
	is.True(sim.leader() != nil && sim.leader() != lead)
	is.Equal(lead.replica.core.role != RoleLeader, true)
	is.NoErr(sim.check.err) // the checker checks the leases after each event
}

func TestTransferReleasesTheLeaseFirst(t *testing.T) {
	is := is.New(t)
	sim, lead := simulationWithLeader(t)
	target := sim.others(lead)[0]
	began := sim.now
	lead.exec(func() { is.NoErr(lead.replica.core.TransferLeadership(lead.localTime(), target.id)) })
	_, leased := lead.replica.core.LeaseUntil()
	is.True(!leased)
	_, _, err := lead.replica.core.Propose(lead.localTime(), []byte("x"))
	var notLeader *NotLeaderError
	is.True(errors.As(err, &notLeader))
	is.Equal(notLeader.Leader, target.id)
	for sim.leader() != target && sim.now < began+time.Second {
		sim.run(sim.now + time.Millisecond)
	}
	is.True(sim.now-began < 50*time.Millisecond)
	is.NoErr(sim.check.err)
}

func TestVoterWithAnEmptiedDiskWaitsUntilItIsAdded(t *testing.T) {
	is := is.New(t)
	sim, _ := simulationWithLeader(t)
	founder := sim.members[0] // the member with the lowest ID, which forms a group from empty data directories
	founder.loseDisk(time.Millisecond)
	sim.run(sim.now + 10*time.Second)
	is.NoErr(sim.check.err)
	lead := sim.leader()
	is.True(lead != founder)
	is.True(founder.replica.core.uninitialized())
	s := lead.replica.core.Status(lead.localTime())
	is.Equal(len(s.Waiting), 1)
	is.Equal(s.Waiting[0].Store, founder.replica.store.id)
	is.Equal(s.LossesLeft, 0)

	founder.crash() // its data directory may be lost again, so it is no longer listed as waiting
	sim.run(sim.now + 10*time.Second)
	is.Equal(len(sim.leader().replica.core.Status(sim.leader().localTime()).Waiting), 0)
	is.True(lead.proposeChange(Change{Kind: ChangeAddLearner, ID: founder.id}).err != nil)
}

func TestStartRejectsACorruptDataDir(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a")
	_, err := c.propose(t.Context(), "one")
	is.NoErr(err)
	c.kill("a")
	logs, err := filepath.Glob(filepath.Join(c.dirs["a"], logPrefix+"*"))
	is.NoErr(err)
	b, err := os.ReadFile(logs[0])
	is.NoErr(err)
	b[frameHeader+2] ^= 1
	is.NoErr(os.WriteFile(logs[0], b, filePerm))
	_, err = Start(Config{Group: "test", ID: "a", Dir: c.dirs["a"], Machine: &commandLog{}, Transport: c.transport})
	var corrupt *CorruptError
	is.True(errors.As(err, &corrupt))
	is.Equal(corrupt.Offset, int64(0))
}

func TestPlannedStopTransfersLeadership(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	c := newCluster(t, "a", "b", "c")
	lead, err := c.propose(ctx, "one")
	is.NoErr(err)
	is.NoErr(c.group(lead).TransferLeadership(ctx, ""))
	_, leased := c.group(lead).LeaderLease()
	is.True(!leased)
	c.kill(lead)
	next, err := c.propose(ctx, "two")
	is.NoErr(err)
	is.True(next != lead)
	is.NoErr(c.group(next).Barrier(ctx))
	is.Equal(c.machines[next].len(), 2)
}

func TestProposalsAreRejectedOnceTheMemberHasStopped(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a")
	_, err := c.propose(t.Context(), "one")
	is.NoErr(err)
	g := c.group("a")
	c.kill("a")
	_, err = g.Propose(t.Context(), []byte("two"))
	var notProposed *NotProposedError
	is.True(errors.As(err, &notProposed))
}

// lowSource yields election timeouts within a few nanoseconds of the minimum.
type lowSource struct{}

func (lowSource) Uint64() uint64 { return 1 << 40 }

// TestDriftMarginPreventsOverlappingLeases cuts off a leader with the slowest clock
// from followers with the fastest clocks, which start an election as early as possible.
func TestDriftMarginPreventsOverlappingLeases(t *testing.T) {
	cases := []struct {
		name    string
		drift   float64 // configured drift bound
		overlap bool
	}{
		{"with the margin for the stated drift", DefaultClockDrift, false},
		{"without a margin", 1e-9, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(3, 3, faults{})
			sim.opts.ClockDrift = tc.drift
			sim.delay = 0
			rates := []float64{1 - DefaultClockDrift, 1 + DefaultClockDrift, 1 + 0.99*DefaultClockDrift}
			for i, m := range sim.members {
				m.rate = rates[i]
				m.start()
			}
			sim.run(10 * time.Second)
			for lead := sim.leader(); lead != sim.members[0]; lead = sim.leader() {
				lead.exec(func() { _ = lead.replica.core.TransferLeadership(lead.localTime(), sim.members[0].id) })
				sim.run(sim.now + time.Second)
			}
			for _, m := range sim.others(sim.members[0]) {
				m.replica.core.opts.Rand = rand.New(lowSource{})
			}
			sent := sim.members[0].replica.core.leadership.round
			for sim.members[0].replica.core.leadership.round < sent+2 {
				sim.run(sim.now + time.Millisecond)
			}
			for _, m := range sim.others(sim.members[0]) {
				sim.cut(sim.members[0].id, m.id, 0)
			}
			sim.run(sim.now + 5*time.Second)
			is.Equal(sim.check.err != nil, tc.overlap)
			if !tc.overlap {
				is.True(sim.leader() != nil && sim.leader() != sim.members[0])
			}
		})
	}
}

// A leader that is cut off removes a member, which a later leader reverts.
func TestUncommittedRemovalCountsAsRemoval(t *testing.T) {
	is := is.New(t)
	sim, lead := simulationWithLeader(t)
	removed := sim.others(lead)[0]
	pending := func(m *simMember) bool { return m.replica.core.Status(m.localTime()).ChangePending }
	is.True(!pending(lead))
	for _, o := range sim.others(lead) {
		sim.cut(lead.id, o.id, 0)
	}
	lead.proposeChange(Change{Kind: ChangeRemove, ID: removed.id})
	is.True(lead.replica.core.membership().Find(removed.id) == nil) // in force at once
	is.True(pending(lead))
	clear(sim.blocked)
	sim.run(sim.now + 5*time.Second)
	is.NoErr(sim.check.err)
	is.True(!pending(sim.leader()))
}

// A member that was removed while it was cut off had to clear its disk before it could vote again.
func TestRemovedMemberIsAddedAgainWithItsDisk(t *testing.T) {
	is := is.New(t)
	sim, lead := simulationWithLeader(t)
	removed := sim.others(lead)[0]
	store := removed.replica.store.id
	for _, o := range sim.others(removed) {
		sim.cut(removed.id, o.id, 0)
	}
	o := lead.proposeChange(Change{Kind: ChangeRemove, ID: removed.id})
	sim.run(sim.now + 2*time.Second)
	is.NoErr(o.err)
	lead.exec(func() { lead.replica.propose(lead.localTime(), []byte("while removed"), func([]byte, error) {}) })
	clear(sim.blocked)
	sim.run(sim.now + DefaultElectionTimeout)
	waiting := sim.leader().replica.core.Status(sim.leader().localTime()).Waiting
	is.Equal(len(waiting), 1)
	is.Equal(waiting[0].Store, store)

	for _, kind := range []ChangeKind{ChangeAddLearner, ChangePromote} {
		o := sim.leader().proposeChange(Change{Kind: kind, ID: removed.id}) // store and address as announced
		sim.run(sim.now + time.Second)
		is.NoErr(o.err)
	}
	is.NoErr(sim.check.err)
	is.True(removed.replica.core.membership().Voter(removed.id, store))
	is.Equal(removed.replica.core.log.applied, sim.leader().replica.core.log.applied)
	is.Equal(len(sim.leader().replica.core.Status(sim.leader().localTime()).Waiting), 0)
}

// A voter that had acknowledged heartbeats without a log yet voted as soon as it had restarted.
func TestRestartedVoterWithoutLogBreaksLease(t *testing.T) {
	is := is.New(t)
	opts := Options{ID: "c", Store: 3, Peers: []Peer{{ID: "a"}, {ID: "b"}, {ID: "c"}}, Bootstrap: true, Rand: testRand()}
	heartbeat := Message{Type: MessageHeartbeat, From: "a", FromStore: 1, ToStore: 3, Term: 4, Round: 7}
	vote := Message{Type: MessageVote, From: "b", FromStore: 2, ToStore: 3, Term: 5, Index: 9, LogTerm: 4}

	c := NewCore(0, opts, State{})
	c.Step(time.Second, heartbeat)
	rd := c.Ready()
	is.Equal(rd.Messages[len(rd.Messages)-1].Type, MessageHeartbeatResponse) // counts for the leader's lease
	restarted := time.Second + time.Millisecond
	c = NewCore(restarted, opts, State{Hard: *rd.HardState})
	c.Step(restarted, vote)
	is.Equal(c.hard.Vote, MemberID(""))
	c.Step(restarted+DefaultElectionTimeout, vote)
	is.Equal(c.hard.Vote, MemberID("b"))
}

func TestRemovedMemberOfEarlierReleaseIsNotAddedWithoutAddress(t *testing.T) {
	is := is.New(t)
	sim, lead := simulationWithLeader(t)
	status := func(m Message) Status {
		lead.exec(func() { lead.replica.core.Step(lead.localTime(), m) })
		return lead.replica.core.Status(lead.localTime())
	}
	preVote := Message{Type: MessagePreVote, From: "removed", FromStore: 99, ToStore: lead.replica.store.id, Term: 1}
	is.Equal(len(status(preVote).Waiting), 0)
	preVote.Addr = "127.0.0.1:1"
	is.Equal(len(status(preVote).Waiting), 1)
	is.NoErr(sim.check.err)
}
