package consensus

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A message of a few bytes that claimed billions of entries ended the process for lack of memory.
func TestMessageThatClaimsMoreThanItHoldsEndsProcess(t *testing.T) {
	is := is.New(t)
	for _, m := range []Message{{Type: MessageAppend, Entries: []Entry{{Index: 1}}}, {Type: MessageHelloResponse, Known: []MemberID{"a"}}} {
		encoded, err := m.MarshalMsg(nil)
		is.NoErr(err)
		claims := []byte{0xdd, 0xff, 0xff, 0xff, 0xff} // an array of 4,294,967,295 elements
		for at, b := range encoded {
			if b != 0x91 { // an array of one
				continue
			}
			malformed := append(append(slices.Clone(encoded[:at]), claims...), encoded[at+1:]...)
			_, err := DecodeMessage(malformed)
			is.True(err != nil)
		}
	}
	c := NewCore(0, Options{ID: "a", Store: 1, Rand: testRand()}, State{})
	c.applyMembership(Entry{Index: 1, Kind: EntryMembers, Data: []byte{0x91, 0xdd, 0xff, 0xff, 0xff, 0xff}})
	is.True(c.failure != nil)
}

// FuzzMessage gives any message that can be decoded to a leader, a follower and a member without a
// log. A message of another member may be malformed, and must not end the process: a member that
// can't go on reports a failure.
func FuzzMessage(f *testing.F) {
	for _, m := range []Message{
		{Type: MessageHello, From: "b", FromStore: 2, ToStore: 1, Round: 3}, {Type: MessageHelloResponse, From: "b", FromStore: 2, ToStore: 1, Reject: true, Known: []MemberID{"c"}},
		{Type: MessageAppend, From: "b", FromStore: 2, ToStore: 1, Term: 9, Index: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 9}}},
		{Type: MessageAppendResponse, From: "b", FromStore: 2, ToStore: 1, Term: 2, Index: 7, Reject: true, Hint: 99},
		{Type: MessageSnapshot, From: "b", FromStore: 2, ToStore: 1, Term: 9, Chunk: &SnapshotChunk{}},
		{Type: MessageVote, From: "b", FromStore: 2, ToStore: 1, Term: 9}, {Type: MessageTimeoutNow, From: "b", FromStore: 2, ToStore: 1, Term: 2},
		{Type: MessageHeartbeatResponse, From: "b", FromStore: 2, ToStore: 1, Term: 2, Round: 1},
	} {
		encoded, err := m.MarshalMsg(nil)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	set := MemberSet{Members: []Member{{ID: "a", Store: 1}, {ID: "b", Store: 2}, {ID: "c", Store: 3}}}
	data, err := set.MarshalMsg(nil)
	if err != nil {
		f.Fatal(err)
	}
	entries := []Entry{{Index: 1, Term: 1, Kind: EntryMembers, Data: data}}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := DecodeMessage(b)
		if err != nil {
			return
		}
		opts := Options{ID: "a", Store: 1, Peers: []Peer{{ID: "a"}, {ID: "b"}, {ID: "c"}}, Bootstrap: true, Rand: rand.New(rand.NewPCG(1, 2))}
		follower := NewCore(0, opts, State{Hard: HardState{Term: 1}, Entries: entries})
		leader := NewCore(0, opts, State{Hard: HardState{Term: 1}, Entries: entries})
		leader.startElection(0, false)
		leader.becomeLeader(0)
		for _, c := range []*Core{follower, leader, NewCore(0, opts, State{})} {
			for i := range 3 { // again after what it has caused
				c.Step(time.Duration(i)*time.Second, m)
				for c.HasReady() {
					rd := c.Ready()
					if rd.Err != nil {
						break
					}
					c.Advance(rd)
				}
				c.Tick(time.Duration(i) * time.Second)
			}
		}
	})
}
