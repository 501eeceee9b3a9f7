package consensus

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// restartAll kills the processes of all given members at the same moment and starts them within
// 20 ms of each other after the time down. It returns the true time from the last start until one
// of them holds a leader lease.
func restartAll(sim *simulation, members []*simMember, down time.Duration) time.Duration {
	for _, m := range members {
		m.kill()
	}
	for _, m := range members {
		sim.after(down+sim.random(0, 20*time.Millisecond), m.start)
	}
	sim.run(sim.now + down + 20*time.Millisecond)
	started := sim.now
	for sim.now < started+10*sessionLease && sim.check.err == nil {
		for _, m := range sim.members {
			if m.running() {
				if until, ok := m.replica.core.LeaseUntil(); ok && m.localTime() < until {
					return sim.now - started
				}
			}
		}
		sim.run(sim.now + time.Millisecond)
	}
	return sim.now - started
}

// After all members had been killed, the group waited for the lease of a leader that was gone.
func TestRestartedGroupWaitsForLeaseOfItsFormerLeader(t *testing.T) {
	for _, size := range []int{3, 5, 7} {
		for seed := range uint64(50) {
			is := is.New(t)
			sim := faultlessSimulation(seed, size, DefaultHeartbeat)
			gap := restartAll(sim, sim.members, 300*time.Millisecond)
			is.NoErr(sim.check.err)
			is.True(gap < DefaultElectionTimeout/4) // seed, size
		}
	}
}

// The former leader resumes its leadership only while no other member leads.
func TestReturningLeaderDeposesItsSuccessor(t *testing.T) {
	for seed := range uint64(50) {
		is := is.New(t)
		sim := faultlessSimulation(seed, 5, DefaultHeartbeat)
		former := sim.leader()
		former.kill()
		sim.run(sim.now + 5*time.Second)
		successor := sim.leader()
		is.True(successor != nil && successor != former)
		term := successor.replica.core.hard.Term
		former.start()
		sim.run(sim.now + 5*time.Second)
		is.NoErr(sim.check.err)
		is.Equal(sim.leader(), successor)
		is.Equal(successor.replica.core.hard.Term, term)
	}
}

// A voter grants the lease's time to any candidate but the leader that it last followed, also
// after a restart.
func TestRestartedVoterKnowsTheLeaderThatItFollowed(t *testing.T) {
	is := is.New(t)
	opts := Options{ID: "c", Store: 3, Peers: []Peer{{ID: "a"}, {ID: "b"}, {ID: "c"}}, Bootstrap: true, Rand: testRand()}
	c := NewCore(0, opts, State{})
	c.Step(time.Second, Message{Type: MessageHeartbeat, From: "a", FromStore: 1, ToStore: 3, Term: 4, Round: 7})
	rd := c.Ready()
	encoded, err := rd.HardState.MarshalMsg(nil)
	is.NoErr(err)
	var hard HardState
	_, err = hard.UnmarshalMsg(encoded)
	is.NoErr(err)

	restarted := time.Second + time.Millisecond
	for _, candidate := range []struct {
		id    MemberID
		store StoreID
		vote  MemberID
	}{{"b", 2, ""}, {"a", 9, ""}, {"a", 1, "a"}} { // 9: the former leader's disk was replaced
		c = NewCore(restarted, opts, State{Hard: hard})
		c.Step(restarted, Message{Type: MessageVote, From: candidate.id, FromStore: candidate.store, ToStore: 3, Term: 5, Index: 9, LogTerm: 4})
		is.Equal(c.hard.Vote, candidate.vote)
	}
}

// Data directories of earlier releases have no Leader.
func TestHardStateOfEarlierReleaseIsRead(t *testing.T) {
	is := is.New(t)
	current, err := (&HardState{Term: 4, Vote: "a", VoteStore: 1, Founder: 2, FounderTerm: 3}).MarshalMsg(nil)
	is.NoErr(err)
	earlier := append([]byte{0x95}, current[1:len(current)-1]...) // an array of five
	var hard HardState
	_, err = hard.UnmarshalMsg(earlier)
	is.NoErr(err)
	is.Equal(hard, HardState{Term: 4, Vote: "a", VoteStore: 1, Founder: 2, FounderTerm: 3})
}
