package consensus

import (
	"testing"

	"github.com/matryer/is"
)

// foundingRound answers the founder's newest hello to each of the given peers.
type foundingRound struct{ founder *Core }

func (f foundingRound) answer(from MemberID, store StoreID, hasLog bool) {
	rd := f.founder.Ready()
	f.founder.Advance(rd)
	f.founder.Step(0, Message{
		Type: MessageHelloResponse, From: from, FromStore: store, ToStore: f.founder.opts.Store,
		Term: 1, Round: f.founder.formation.round, Reject: hasLog,
	})
}

// A peer that lost its disk after it had rejected the founder left the group unformed for good.
func TestLostDiskOfRejectingPeerBlocksFormation(t *testing.T) {
	is := is.New(t)
	opts := Options{ID: "a", Store: 1, Peers: []Peer{{ID: "a"}, {ID: "b"}, {ID: "c"}}, Bootstrap: true, Rand: testRand()}
	round := foundingRound{NewCore(0, opts, State{})}

	round.answer("b", 2, false)
	round.answer("c", 3, true)
	round.answer("c", 4, false) // its disk was lost
	is.True(round.founder.uninitialized())
	for range 2 {
		round.answer("b", 2, false)
		round.answer("c", 4, false)
	}
	is.True(!round.founder.uninitialized())
	is.True(round.founder.membership().Voter("c", 4))
}

// A founder acted on a response that a peer had given before it got a log from a third peer,
// whose disk was then lost.
func TestFounderFormsSecondGroupOnOldResponse(t *testing.T) {
	cases := []struct {
		name   string
		faults faults
		forms  bool // a group
	}{
		{"asked in two rounds", faults{}, false},
		{"asked once", faults{singleRound: true}, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			opts := Options{ID: "a", Store: 1, Peers: []Peer{{ID: "a"}, {ID: "b"}, {ID: "c"}}, Bootstrap: true, Rand: testRand(), faults: tc.faults}
			round := foundingRound{NewCore(0, opts, State{})}
			round.answer("b", 2, false)
			round.answer("c", 4, false) // since then, b has a log from the store that c lost
			round.answer("b", 2, true)
			round.answer("c", 4, false)
			is.Equal(!round.founder.uninitialized(), tc.forms)
		})
	}
}

// Responses to a former process of the founder, or to an earlier round, don't count.
func TestResponsesOfAnotherRoundAreIgnored(t *testing.T) {
	is := is.New(t)
	opts := Options{ID: "a", Store: 1, Peers: []Peer{{ID: "a"}, {ID: "b"}}, Bootstrap: true, Rand: testRand()}
	c := NewCore(0, opts, State{})
	response := Message{Type: MessageHelloResponse, From: "b", FromStore: 2, ToStore: 1, Term: 1}
	for _, n := range []uint64{c.formation.round - 1, c.formation.round + 1, 0} {
		response.Round = n
		c.Step(0, response)
		c.Step(0, response)
		is.True(c.uninitialized())
	}
	for range 2 {
		response.Round = c.formation.round
		c.Step(0, response)
	}
	is.True(!c.uninitialized())
}

// A founder whose peers are all emptied must not form a group while another one goes on
// without any of them.
func TestFounderWaitsForGroupThatHasOtherMembers(t *testing.T) {
	is := is.New(t)
	opts := Options{ID: "a", Store: 1, Peers: []Peer{{ID: "a"}, {ID: "b"}}, Bootstrap: true, Rand: testRand()}
	round := foundingRound{NewCore(0, opts, State{})}
	round.founder.Step(0, Message{
		Type: MessageHelloResponse, From: "b", FromStore: 2, ToStore: 1, Term: 1, Reject: true, Known: []MemberID{"b", "c"},
	})
	for range 3 {
		round.answer("b", 3, false)
	}
	is.True(round.founder.uninitialized())
}
