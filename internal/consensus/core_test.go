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

// leadingWorld is a quiet world of three members and its leader.
func leadingWorld(t *testing.T) (*world, *simMember) {
	w := quietWorld(5, 3, DefaultHeartbeat)
	is.New(t).NoErr(w.check.err)
	return w, w.leader()
}

// others returns the members but one.
func (w *world) others(m *simMember) []*simMember {
	var rest []*simMember
	for _, o := range w.members {
		if o != m {
			rest = append(rest, o)
		}
	}
	return rest
}

// ask proposes a change and returns where its outcome will be.
func (m *simMember) ask(ch Change) *outcome {
	o := &outcome{err: errors.New("no outcome yet")}
	m.when(func() {
		m.replica.change(m.local(), ch, func(result []byte, err error) { *o = outcome{result, err} })
	})
	return o
}

func TestMembershipChangesThatAreRefused(t *testing.T) {
	cases := []struct {
		name   string
		before func(w *world, lead *simMember, rest []*simMember)
		change func(lead *simMember, rest []*simMember) Change
	}{
		{
			"a voter is removed while another is down, so that no majority would live",
			func(w *world, _ *simMember, rest []*simMember) { rest[0].crash(); w.run(w.now + 2*time.Second) },
			func(_ *simMember, rest []*simMember) Change { return Change{Kind: ChangeRemove, ID: rest[1].id} },
		},
		{
			"a member that never told its store is added",
			func(*world, *simMember, []*simMember) {},
			func(*simMember, []*simMember) Change { return Change{Kind: ChangeAddLearner, ID: "unheard"} },
		},
		{
			"the leader's own store is replaced",
			func(*world, *simMember, []*simMember) {},
			func(lead *simMember, _ []*simMember) Change {
				return Change{Kind: ChangeAddLearner, ID: lead.id, Store: 9}
			},
		},
		{
			"a voter is promoted",
			func(*world, *simMember, []*simMember) {},
			func(_ *simMember, rest []*simMember) Change { return Change{Kind: ChangePromote, ID: rest[0].id} },
		},
		{
			"a second change while the first isn't committed",
			func(w *world, lead *simMember, rest []*simMember) {
				w.cut(lead.id, rest[0].id, 0)
				w.cut(lead.id, rest[1].id, 0)
				lead.ask(Change{Kind: ChangeAddLearner, ID: "new", Store: 9})
			},
			func(_ *simMember, rest []*simMember) Change { return Change{Kind: ChangeRemove, ID: rest[0].id} },
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			w, lead := leadingWorld(t)
			rest := w.others(lead)
			tc.before(w, lead, rest)
			last := lead.replica.core.log.last()
			o := lead.ask(tc.change(lead, rest))
			is.True(o.err != nil)
			is.Equal(lead.replica.core.log.last(), last) // nothing was appended
		})
	}
}

func TestLearnerThatIsBehindIsNotPromoted(t *testing.T) {
	is := is.New(t)
	w, lead := leadingWorld(t)
	broken := w.others(lead)[0]
	broken.loseDisk(time.Millisecond)
	w.run(w.now + time.Second)
	for _, o := range w.members {
		w.cut(broken.id, o.id, 0)
	}
	added := lead.ask(Change{Kind: ChangeAddLearner, ID: broken.id, Store: broken.replica.store.id})
	w.run(w.now + time.Second)
	is.NoErr(added.err)
	is.Equal(lead.replica.core.Status(lead.local()).LossesLeft, 0)

	var behind *NotCaughtUpError
	is.True(errors.As(lead.ask(Change{Kind: ChangePromote, ID: broken.id}).err, &behind))
	clear(w.blocked)
	w.run(w.now + 5*time.Second)
	promoted := lead.ask(Change{Kind: ChangePromote, ID: broken.id})
	w.run(w.now + time.Second)
	is.NoErr(promoted.err)
	is.Equal(lead.replica.core.Status(lead.local()).LossesLeft, 1)

	// The repaired member and the leader go on without the third one.
	third := w.others(lead)[1]
	third.crash()
	w.run(w.now + time.Second)
	o := lead.ask(Change{Kind: ChangeAddLearner, ID: "new", Store: 9})
	w.run(w.now + time.Second)
	is.NoErr(o.err)
	is.NoErr(w.check.err)
}

func TestNewLeaderCountsOnlyVotersItHeardInLossesLeft(t *testing.T) {
	is := is.New(t)
	w, lead := leadingWorld(t)
	lead.crash()
	for w.leader() == nil {
		w.run(w.now + time.Millisecond)
	}
	is.Equal(w.leader().replica.core.Status(w.leader().local()).LossesLeft, 0)
	is.NoErr(w.check.err)
}

func TestCutOffLeaderLosesItsLeaseBeforeAnotherHasOne(t *testing.T) {
	is := is.New(t)
	w, lead := leadingWorld(t)
	for _, o := range w.others(lead) {
		w.cut(lead.id, o.id, 0)
	}
	o := lead.ask(Change{Kind: ChangeAddLearner, ID: "new", Store: 9})
	w.run(w.now + 3*time.Second)
	var unknown *UnknownOutcomeError
	is.True(errors.As(o.err, &unknown))
	is.True(w.leader() != nil && w.leader() != lead)
	is.Equal(lead.replica.core.role != RoleLeader, true)
	is.NoErr(w.check.err) // which looks at the leases after each event
}

func TestTransferGivesTheLeaseUpFirst(t *testing.T) {
	is := is.New(t)
	w, lead := leadingWorld(t)
	target := w.others(lead)[0]
	began := w.now
	lead.when(func() { is.NoErr(lead.replica.core.TransferLeadership(lead.local(), target.id)) })
	_, leased := lead.replica.core.LeaseUntil()
	is.True(!leased)
	_, _, err := lead.replica.core.Propose(lead.local(), []byte("x"))
	var notLeader *NotLeaderError
	is.True(errors.As(err, &notLeader))
	is.Equal(notLeader.Leader, target.id)
	for w.leader() != target && w.now < began+time.Second {
		w.run(w.now + time.Millisecond)
	}
	is.True(w.now-began < 50*time.Millisecond)
	is.NoErr(w.check.err)
}

func TestEmptiedVoterIsOnlyWaitingUntilItIsAdded(t *testing.T) {
	is := is.New(t)
	w, _ := leadingWorld(t)
	founder := w.members[0] // the one that would form a group
	founder.loseDisk(time.Millisecond)
	w.run(w.now + 10*time.Second)
	is.NoErr(w.check.err)
	lead := w.leader()
	is.True(lead != founder)
	is.True(founder.replica.core.blank())
	s := lead.replica.core.Status(lead.local())
	is.Equal(len(s.Waiting), 1)
	is.Equal(s.Waiting[0].Store, founder.replica.store.id)
	is.Equal(s.LossesLeft, 0)

	founder.crash() // its folder may be lost again, and isn't offered any more
	w.run(w.now + 10*time.Second)
	is.Equal(len(w.leader().replica.core.Status(w.leader().local()).Waiting), 0)
	is.True(lead.ask(Change{Kind: ChangeAddLearner, ID: founder.id}).err != nil)
}

func TestStartRefusesACorruptFolder(t *testing.T) {
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
	_, err = Start(Config{Group: "test", ID: "a", Dir: c.dirs["a"], Machine: &journal{}, Transport: c.board})
	var corrupt *CorruptError
	is.True(errors.As(err, &corrupt))
	is.Equal(corrupt.Offset, int64(0))
}

func TestPlannedStopHandsLeadershipOver(t *testing.T) {
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

func TestProposalsAreRefusedOnceTheMemberHasStopped(t *testing.T) {
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

// lowSource draws the shortest election timeouts, to a few nanoseconds.
type lowSource struct{}

func (lowSource) Uint64() uint64 { return 1 << 40 }

// TestDriftMarginKeepsLeasesApart cuts a leader with the slowest clock off from
// followers with the fastest ones, which then stand for election at once.
func TestDriftMarginKeepsLeasesApart(t *testing.T) {
	cases := []struct {
		name    string
		drift   float64 // that the margin allows for
		overlap bool
	}{
		{"with the margin for the stated drift", DefaultClockDrift, false},
		{"without a margin", 1e-9, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(3, 3, faults{})
			w.opts.ClockDrift = tc.drift
			w.delay = 0
			rates := []float64{1 - DefaultClockDrift, 1 + DefaultClockDrift, 1 + 0.99*DefaultClockDrift}
			for i, m := range w.members {
				m.rate = rates[i]
				m.start()
			}
			w.run(10 * time.Second)
			for lead := w.leader(); lead != w.members[0]; lead = w.leader() {
				lead.when(func() { _ = lead.replica.core.TransferLeadership(lead.local(), w.members[0].id) })
				w.run(w.now + time.Second)
			}
			for _, m := range w.others(w.members[0]) {
				m.replica.core.opts.Rand = rand.New(lowSource{})
			}
			sent := w.members[0].replica.core.leadership.round
			for w.members[0].replica.core.leadership.round < sent+2 {
				w.run(w.now + time.Millisecond)
			}
			for _, m := range w.others(w.members[0]) {
				w.cut(w.members[0].id, m.id, 0)
			}
			w.run(w.now + 5*time.Second)
			is.Equal(w.check.err != nil, tc.overlap)
			if !tc.overlap {
				is.True(w.leader() != nil && w.leader() != w.members[0])
			}
		})
	}
}
