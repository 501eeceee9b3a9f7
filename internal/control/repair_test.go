package control

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/consensus"
)

func voter(id string, active bool) consensus.MemberStatus {
	return consensus.MemberStatus{Member: consensus.Member{ID: consensus.MemberID(id), Addr: id, Store: 1}, Active: active}
}

func learner(id string, active bool) consensus.MemberStatus {
	m := voter(id, active)
	m.Learner = true
	return m
}

func waitingStore(id string) consensus.WaitingStore {
	return consensus.WaitingStore{ID: consensus.MemberID(id), Addr: id, Store: 9}
}

// TestRepairPlanner checks the change that is due for a group's status. Inactive
// members have been silent for the case's duration.
func TestRepairPlanner(t *testing.T) {
	add := func(id string) *consensus.Change {
		return &consensus.Change{Kind: consensus.ChangeAddLearner, ID: consensus.MemberID(id), Addr: id, Store: 9}
	}
	promote := func(id string) *consensus.Change {
		return &consensus.Change{Kind: consensus.ChangePromote, ID: consensus.MemberID(id)}
	}
	remove := func(id string) *consensus.Change {
		return &consensus.Change{Kind: consensus.ChangeRemove, ID: consensus.MemberID(id)}
	}
	cases := []struct {
		name    string
		adopt   bool
		silent  time.Duration
		members []consensus.MemberStatus
		waiting []consensus.WaitingStore
		want    *consensus.Change
	}{
		{"all members active", true, 0, []consensus.MemberStatus{voter("a", true), voter("b", true), voter("c", true)}, nil, nil},
		{"a disk was replaced", true, 0, []consensus.MemberStatus{voter("a", true), voter("b", false), voter("c", true)},
			[]consensus.WaitingStore{waitingStore("b")}, add("b")},
		{"a disk was replaced, no adoption", false, 0, []consensus.MemberStatus{voter("a", true), voter("b", false), voter("c", true)},
			[]consensus.WaitingStore{waitingStore("b")}, add("b")},
		{"an active member also waits with another store", true, 0,
			[]consensus.MemberStatus{voter("a", true), voter("b", true), voter("c", true)}, []consensus.WaitingStore{waitingStore("b")}, nil},
		{"a learner is active", true, 0, []consensus.MemberStatus{voter("a", true), learner("b", true)}, nil, promote("b")},
		{"a learner is silent", true, 0, []consensus.MemberStatus{voter("a", true), learner("b", false)}, nil, nil},
		{"a new member waits", true, 0, []consensus.MemberStatus{voter("a", true), voter("b", true), voter("c", true)},
			[]consensus.WaitingStore{waitingStore("d")}, add("d")},
		{"a new member waits, no adoption", false, 0, []consensus.MemberStatus{voter("a", true), voter("b", true), voter("c", true)},
			[]consensus.WaitingStore{waitingStore("d")}, nil},
		{"a learner is promoted before the next member is added", true, 0, []consensus.MemberStatus{voter("a", true), learner("d", true)},
			[]consensus.WaitingStore{waitingStore("e")}, promote("d")},
		{"a member is silent for less than the timeout", true, silentTimeout - time.Second,
			[]consensus.MemberStatus{voter("a", true), voter("b", true), voter("c", true), voter("d", false)}, nil, nil},
		{"a member is silent for the timeout", true, silentTimeout,
			[]consensus.MemberStatus{voter("a", true), voter("b", true), voter("c", true), voter("d", false)}, nil, remove("d")},
		{"one of five voters is silent for the timeout", true, silentTimeout,
			[]consensus.MemberStatus{voter("a", true), voter("b", true), voter("c", true), voter("d", true), voter("e", false)}, nil, nil},
		{"one of six voters is silent for the timeout", true, silentTimeout,
			[]consensus.MemberStatus{voter("a", true), voter("b", true), voter("c", true), voter("d", true), voter("e", true), voter("f", false)}, nil, remove("f")},
		{"a member is silent for the timeout, no adoption", false, silentTimeout,
			[]consensus.MemberStatus{voter("a", true), voter("b", true), voter("c", true), voter("d", false)}, nil, nil},
		{"one of three voters is silent for the timeout", true, silentTimeout, []consensus.MemberStatus{voter("a", true), voter("b", true), voter("c", false)}, nil, nil},
		{"two of five voters are silent for the timeout", true, silentTimeout,
			[]consensus.MemberStatus{voter("a", true), voter("b", true), voter("c", true), voter("d", false), voter("e", false)}, nil, remove("d")},
		{"two of four voters are silent for the timeout", true, silentTimeout,
			[]consensus.MemberStatus{voter("a", true), voter("b", true), voter("c", false), voter("d", false)}, nil, remove("c")},
		{"a learner is silent for the timeout", true, silentTimeout, []consensus.MemberStatus{voter("a", true), voter("b", true), learner("c", false)}, nil, remove("c")},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			r := newRepairPlanner(tc.adopt)
			status := consensus.Status{Members: tc.members, Waiting: tc.waiting}
			r.observe(time.Minute, status)
			got, ok := r.nextChange(time.Minute+tc.silent, status)
			is.Equal(ok, tc.want != nil)
			if ok {
				is.Equal(got, *tc.want)
			}
		})
	}
}

// A message from a member must restart its silent time, and a change of the leader
// must restart that of all members.
func TestSilentTimeRestarts(t *testing.T) {
	is := is.New(t)
	r := newRepairPlanner(true)
	group := func(active bool) consensus.Status {
		return consensus.Status{Members: []consensus.MemberStatus{voter("a", true), voter("b", true), voter("c", true), voter("d", active)}}
	}
	r.observe(0, group(false))
	r.observe(silentTimeout/2, group(true))
	r.observe(silentTimeout/2+time.Second, group(false))
	_, ok := r.nextChange(silentTimeout, group(false))
	is.True(!ok)
	r.reset() // another member led in the meantime
	_, ok = r.nextChange(10*silentTimeout, group(false))
	is.True(!ok)
}

// The gone member raises the quorum, so that the loss of a zone right after the repair left no leader.
func TestGoneMemberIsRemovedOnceItsSuccessorVotes(t *testing.T) {
	is := is.New(t)
	r := newRepairPlanner(true)
	members := []consensus.MemberStatus{voter("a", true), voter("b", true), voter("c", true), voter("d", true), voter("gone", false)}
	status := consensus.Status{Members: members, InitialSize: len(members), Waiting: []consensus.WaitingStore{waitingStore("new")}}
	change, ok := r.nextChange(0, status)
	is.True(ok)
	is.Equal(change.Kind, consensus.ChangeAddLearner)

	status = consensus.Status{Members: append(members, learner("new", true)), InitialSize: len(members)}
	change, ok = r.nextChange(time.Second, status)
	is.True(ok)
	is.Equal(change.Kind, consensus.ChangePromote)

	status = consensus.Status{Members: append(members, voter("new", true)), InitialSize: len(members)}
	_, ok = r.nextChange(1500*time.Millisecond, status)
	is.True(!ok) // it may only have restarted
	change, ok = r.nextChange(3*time.Second, status)
	is.True(ok)
	is.Equal(change, consensus.Change{Kind: consensus.ChangeRemove, ID: "gone"})
}

// The successors had joined before the gone members stopped, so that these stayed voters for good.
func TestGoneMembersAreRemovedSoonIfTheirSuccessorsJoinedBefore(t *testing.T) {
	is := is.New(t)
	r := newRepairPlanner(true)
	members := []consensus.MemberStatus{
		voter("a", true), voter("b", true), voter("c", true), voter("d", true), voter("e", true), voter("f", false), voter("g", false),
	}
	status := consensus.Status{Members: members, InitialSize: 5}
	r.observe(0, status)
	_, ok := r.nextChange(replacedTimeout-1, status)
	is.True(!ok)
	for _, gone := range []consensus.MemberID{"f", "g"} {
		change, ok := r.nextChange(replacedTimeout, status)
		is.True(ok)
		is.Equal(change, consensus.Change{Kind: consensus.ChangeRemove, ID: gone})
		status.Members = slices.DeleteFunc(slices.Clone(status.Members), func(m consensus.MemberStatus) bool { return m.ID == gone })
	}
	_, ok = r.nextChange(replacedTimeout, status)
	is.True(!ok)
}

// A zone that is cut off for some seconds must keep its votes: the next loss may need them.
func TestSilentInitialMembersKeepTheirPlaceForAWhile(t *testing.T) {
	is := is.New(t)
	r := newRepairPlanner(true)
	status := consensus.Status{InitialSize: 5, Members: []consensus.MemberStatus{
		voter("a", true), voter("b", true), voter("c", true), voter("d", false), voter("e", false),
	}}
	r.observe(0, status)
	_, ok := r.nextChange(silentTimeout-1, status)
	is.True(!ok)
}

// A member that only paused while another one joined must keep its place.
func TestReturnedMemberKeepsItsPlaceBesideASuccessor(t *testing.T) {
	is := is.New(t)
	r := newRepairPlanner(true)
	group := func(paused bool) consensus.Status {
		return consensus.Status{Members: []consensus.MemberStatus{
			voter("a", true), voter("b", true), voter("c", true), voter("d", !paused), voter("new", true),
		}}
	}
	joining := consensus.Status{Members: group(true).Members[:4], Waiting: []consensus.WaitingStore{waitingStore("new")}}
	change, ok := r.nextChange(0, joining)
	is.True(ok)
	is.Equal(change.ID, consensus.MemberID("new"))
	_, ok = r.nextChange(time.Second, group(false))
	is.True(!ok)
	r.observe(2*time.Second, group(true))
	_, ok = r.nextChange(6*time.Second, group(true))
	is.True(!ok)
}

// A learner that was still far behind held up the repair of all other members for up to 30 s.
func TestLearnerThatIsBehindDoesNotHoldUpRepair(t *testing.T) {
	is := is.New(t)
	status := consensus.Status{
		Members: []consensus.MemberStatus{voter("a", true), voter("b", true), voter("c", true), learner("d", true)},
		Waiting: []consensus.WaitingStore{waitingStore("e")}, Commit: 10 * promoteBacklog,
	}
	change, ok := newRepairPlanner(true).nextChange(0, status)
	is.True(ok)
	is.Equal(change.ID, consensus.MemberID("e"))
	status.Members[3].Match = status.Commit - 1
	change, ok = newRepairPlanner(true).nextChange(0, status)
	is.True(ok)
	is.Equal(change.Kind, consensus.ChangePromote)
}
