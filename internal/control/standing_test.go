package control

import (
	"testing"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/consensus"
)

// A member that is told so clears its data directory, which the group may still need.
func TestMemberIsToldOfUncommittedRemoval(t *testing.T) {
	cases := []struct {
		name    string
		store   uint64
		pending bool
		want    bool
	}{
		{"listed", 1, false, false},
		{"listed with another store", 2, false, true},
		{"not listed, but not committed", 2, true, false},
		{"not listed, but about to be added", 9, false, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			status := consensus.Status{
				Members: []consensus.MemberStatus{voter("a", true), voter("b", true)}, ChangePending: tc.pending,
				Waiting: []consensus.WaitingStore{waitingStore("b")},
			}
			is.New(t).Equal(removed(status, &MembershipRequest{Member: "b", Store: tc.store}), tc.want)
		})
	}
}
