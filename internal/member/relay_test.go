package member

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/control"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/operator"
	"github.com/wigeonflow/wigeonflow/internal/placement"
)

func membershipOfSize(n int) fleet.Membership {
	m := fleet.Membership{Epoch: 1}
	for i := range n {
		m.Members = append(m.Members, fleet.Member{ID: fleet.InstanceID(fmt.Sprintf("router-%03d", i)), Addr: fmt.Sprint("a", i)})
	}
	return m
}

// Every router must read changes from the control group through at most four relays,
// and no router may relay them to more than relayChildren others.
func TestRelayTree(t *testing.T) {
	for _, n := range []int{1, 7, directRouters, directRouters + 1, 81, 300, 410} {
		t.Run(fmt.Sprint(n, " routers"), func(t *testing.T) {
			is := is.New(t)
			m := membershipOfSize(n)
			direct, readers := 0, map[fleet.InstanceID]int{}
			for _, member := range m.Members {
				at, steps := member.ID, 0
				for {
					source, ok := relaySource(m, at)
					if !ok {
						break
					}
					at = source.ID
					steps++
					is.True(steps <= 4)
				}
				if steps == 0 {
					direct++
				} else if source, _ := relaySource(m, member.ID); true {
					readers[source.ID]++
				}
			}
			is.Equal(direct, min(n, directRouters))
			for _, count := range readers {
				is.True(count <= relayChildren)
			}
		})
	}
	t.Run("not a member yet", func(t *testing.T) {
		_, ok := relaySource(membershipOfSize(81), "router-999")
		is.New(t).True(!ok)
	})
}

// emptyDeltas returns an update of empty deltas, one for each version from first to
// last.
func emptyDeltas(first, last int) *operator.Update {
	u := new(operator.Update)
	for v := first; v <= last; v++ {
		u.Deltas = append(u.Deltas, operator.Delta{Version: fleet.ConfigVersion(v)})
	}
	return u
}

func TestRelayChangesAfter(t *testing.T) {
	cases := []struct {
		name          string
		applied       []*operator.Update
		after, wanted fleet.ConfigVersion
		got           int // changes; 0 for none
	}{
		{"no changes yet", nil, 3, 4, 0},
		{"the next one", []*operator.Update{emptyDeltas(1, 4)}, 3, 4, 1},
		{"several", []*operator.Update{emptyDeltas(1, 2), emptyDeltas(3, 9)}, 1, 4, 8},
		{"wanted version not applied yet", []*operator.Update{emptyDeltas(1, 4)}, 4, 5, 0},
		{"a gap after the reader's version", []*operator.Update{emptyDeltas(5, 9)}, 3, 9, 0},
		{"the first change kept follows the reader's version", []*operator.Update{emptyDeltas(5, 9)}, 4, 9, 5},
		{"duplicated changes", []*operator.Update{emptyDeltas(1, 5), emptyDeltas(3, 6)}, 2, 6, 4},
		{"a full copy between", []*operator.Update{emptyDeltas(1, 5), {Full: &operator.State{Version: 8}}}, 2, 8, 0},
		{"changes after a full copy", []*operator.Update{{Full: &operator.State{Version: 8}}, emptyDeltas(9, 10)}, 8, 10, 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			r := newRelay()
			for _, u := range tc.applied {
				r.add(u)
			}
			got, _ := r.changesAfter(tc.after, tc.wanted)
			is.Equal(len(got), tc.got)
			for i, d := range got {
				is.Equal(d.Version, tc.after+fleet.ConfigVersion(i)+1)
			}
		})
	}
}

// A reader that requests a version before it is applied must wait for it and then get
// the changes at once.
func TestRelayWaitsForAChange(t *testing.T) {
	is := is.New(t)
	r := newRelay()
	r.add(emptyDeltas(1, 3))
	got := make(chan *control.FetchReply)
	go func() {
		reply, err := r.serve(context.Background(), "", &control.FetchRequest{After: 3, AtLeast: 5})
		if err != nil {
			reply = nil
		}
		got <- reply
	}()
	r.add(emptyDeltas(4, 4)) // still below the requested version
	select {
	case <-got:
		t.Fatal("the relay answered before the requested version was applied")
	case <-time.After(20 * time.Millisecond):
	}
	r.add(emptyDeltas(5, 5))
	reply := <-got
	is.True(reply != nil)
	is.Equal(len(reply.Update.Deltas), 2)
}

func TestRelayBoundsKeptChanges(t *testing.T) {
	is := is.New(t)
	r := newRelay()
	for v := 1; v <= 5*keptChanges; v++ {
		r.add(emptyDeltas(v, v))
	}
	is.Equal(len(r.changes), keptChanges)
	got, _ := r.changesAfter(5*keptChanges-1, 5*keptChanges)
	is.Equal(len(got), 1)
}

// A starting router has no changes to which others could lead, so it gets the complete configuration.
func TestRelaySendsCompleteConfiguration(t *testing.T) {
	is := is.New(t)
	r := newRelay()
	r.add(&operator.Update{Full: &operator.State{Version: 7}})
	r.add(emptyDeltas(8, 9))
	reply, err := r.serve(t.Context(), "", &control.FetchRequest{AtLeast: 9})
	is.NoErr(err)
	view := operator.NewView()
	changed, err := view.Apply(&reply.Update)
	is.NoErr(err)
	is.True(changed)
	is.Equal(view.Version(), fleet.ConfigVersion(9))

	r.add(emptyDeltas(10, 9+keptChanges)) // one change more than is kept
	began := time.Now()
	_, err = r.serve(t.Context(), "", &control.FetchRequest{AtLeast: 9 + keptChanges})
	is.True(errorx.IsOfType(err, errBehind))
	is.True(time.Since(began) < relayWait) // it says so at once
}

// After a joint restart the relay and its readers start together.
func TestRelayWaitsForItsOwnCopy(t *testing.T) {
	is := is.New(t)
	r := newRelay()
	go func() {
		time.Sleep(20 * time.Millisecond)
		r.add(&operator.Update{Full: &operator.State{Version: 7}})
	}()
	reply, err := r.serve(t.Context(), "", &control.FetchRequest{AtLeast: 7})
	is.NoErr(err)
	is.Equal(reply.Update.Full.Version, fleet.ConfigVersion(7))
}

// All copies came from the control members, whose links didn't carry them.
func TestControlMembersSendACopyToEachStartingRouter(t *testing.T) {
	for _, size := range []int{1, 7, 16, 81, 300, 410} {
		is := is.New(t)
		m := membershipOfSize(size)
		relays := placement.Relays(m)
		fromControl, readers := 0, map[fleet.InstanceID]int{}
		for _, member := range m.Members {
			source, ok := copySource(relays, member)
			if !ok {
				fromControl++
				continue
			}
			_, reads := copySource(relays, source)
			is.True(!reads) // it reads from the control group
			readers[source.ID]++
		}
		is.True(fromControl <= placement.MaxRelays)
		for _, n := range readers {
			is.True(n <= 3*size/placement.MaxRelays)
		}
	}
}
