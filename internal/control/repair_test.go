package control

import (
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

func waiting(id string) consensus.WaitingStore {
	return consensus.WaitingStore{ID: consensus.MemberID(id), Addr: id, Store: 9}
}

// What the leader does next, by what it sees. Silent members have been so for as
// long as the case says.
func TestRepairs(t *testing.T) {
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
		{"all is well", true, 0, []consensus.MemberStatus{voter("a", true), voter("b", true), voter("c", true)}, nil, nil},
		{"a disk was replaced", true, 0, []consensus.MemberStatus{voter("a", true), voter("b", false), voter("c", true)},
			[]consensus.WaitingStore{waiting("b")}, add("b")},
		{"a disk was replaced, no adoption", false, 0, []consensus.MemberStatus{voter("a", true), voter("b", false), voter("c", true)},
			[]consensus.WaitingStore{waiting("b")}, add("b")},
		{"a member that is up says hello with another folder", true, 0,
			[]consensus.MemberStatus{voter("a", true), voter("b", true), voter("c", true)}, []consensus.WaitingStore{waiting("b")}, nil},
		{"a learner is heard", true, 0, []consensus.MemberStatus{voter("a", true), learner("b", true)}, nil, promote("b")},
		{"a learner is silent", true, 0, []consensus.MemberStatus{voter("a", true), learner("b", false)}, nil, nil},
		{"a new member waits", true, 0, []consensus.MemberStatus{voter("a", true), voter("b", true), voter("c", true)},
			[]consensus.WaitingStore{waiting("d")}, add("d")},
		{"a new member waits, no adoption", false, 0, []consensus.MemberStatus{voter("a", true), voter("b", true), voter("c", true)},
			[]consensus.WaitingStore{waiting("d")}, nil},
		{"the learner goes before the next new member", true, 0, []consensus.MemberStatus{voter("a", true), learner("d", true)},
			[]consensus.WaitingStore{waiting("e")}, promote("d")},
		{"a member is silent for a while", true, silentTimeout - time.Second,
			[]consensus.MemberStatus{voter("a", true), voter("b", true), voter("c", true), voter("d", false)}, nil, nil},
		{"a member is gone", true, silentTimeout,
			[]consensus.MemberStatus{voter("a", true), voter("b", true), voter("c", true), voter("d", false)}, nil, remove("d")},
		{"a member is gone, no adoption", false, silentTimeout,
			[]consensus.MemberStatus{voter("a", true), voter("b", true), voter("c", true), voter("d", false)}, nil, nil},
		{"one of three is gone", true, silentTimeout, []consensus.MemberStatus{voter("a", true), voter("b", true), voter("c", false)}, nil, nil},
		{"a learner is gone", true, silentTimeout, []consensus.MemberStatus{voter("a", true), voter("b", true), learner("c", false)}, nil, remove("c")},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			r := newRepairs(tc.adopt)
			status := consensus.Status{Members: tc.members, Waiting: tc.waiting}
			r.observe(time.Minute, status)
			got, ok := r.next(time.Minute+tc.silent, status)
			is.Equal(ok, tc.want != nil)
			if ok {
				is.Equal(got, *tc.want)
			}
		})
	}
}

// A member that is heard in between was never gone.
func TestSilenceStartsAnew(t *testing.T) {
	is := is.New(t)
	r := newRepairs(true)
	group := func(active bool) consensus.Status {
		return consensus.Status{Members: []consensus.MemberStatus{voter("a", true), voter("b", true), voter("c", true), voter("d", active)}}
	}
	r.observe(0, group(false))
	r.observe(silentTimeout/2, group(true))
	r.observe(silentTimeout/2+time.Second, group(false))
	_, ok := r.next(silentTimeout, group(false))
	is.True(!ok)
	r.reset() // another member led in between
	_, ok = r.next(10*silentTimeout, group(false))
	is.True(!ok)
}
