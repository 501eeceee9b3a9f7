package session

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

func member(id, boot string) fleet.Member {
	return fleet.Member{ID: fleet.InstanceID(id), Boot: fleet.BootID(boot), Addr: "10.0.0.1:7000", Zone: "medeu", Weight: 1}
}

func apply(r *Roster, ops ...Op) Result {
	cmd := Command{Ops: ops}
	b, _ := cmd.MarshalMsg(nil)
	var res Result
	if _, err := res.UnmarshalMsg(r.Apply(1, b)); err != nil {
		panic(err)
	}
	return res
}

func TestRosterApply(t *testing.T) {
	join := func(id, boot string) Op { return Op{OpJoin, member(id, boot)} }
	leave := func(id, boot string) Op { return Op{OpLeave, member(id, boot)} }
	expire := func(id, boot string) Op { return Op{OpExpire, member(id, boot)} }
	cases := []struct {
		name     string
		ops      []Op
		epoch    fleet.Epoch
		rejected int
		boots    []fleet.BootID
	}{
		{"join raises the epoch", []Op{join("b", "b2")}, 2, 0, []fleet.BootID{"a1", "b2"}},
		{"join of a known boot changes nothing", []Op{join("a", "a1")}, 1, 0, []fleet.BootID{"a1"}},
		{"join of another boot is rejected", []Op{join("a", "a2")}, 1, 1, []fleet.BootID{"a1"}},
		{"leave and join of the next boot are one epoch", []Op{leave("a", "a1"), join("a", "a2")}, 2, 0, []fleet.BootID{"a2"}},
		{"leave of another boot changes nothing", []Op{leave("a", "a0")}, 1, 0, []fleet.BootID{"a1"}},
		{"expire removes", []Op{expire("a", "a1")}, 2, 0, []fleet.BootID{}},
		{"expire then the same boot joins: no change of the set", []Op{expire("a", "a1"), join("a", "a1")}, 1, 0, []fleet.BootID{"a1"}},
		{"unknown member leaves", []Op{leave("z", "z1")}, 1, 0, []fleet.BootID{"a1"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			r := NewRoster(Settings{})
			apply(r, join("a", "a1"))
			res := apply(r, tc.ops...)
			is.Equal(res.Epoch, tc.epoch)
			is.Equal(res.Refused, tc.rejected)
			boots := []fleet.BootID{}
			for _, m := range r.Membership().Members {
				boots = append(boots, m.Boot)
			}
			is.Equal(boots, tc.boots)
		})
	}
}

func TestRosterRejectsMalformedInput(t *testing.T) {
	is := is.New(t)
	r := NewRoster(Settings{})
	apply(r, Op{OpJoin, member("a", "a1")})
	var res Result
	_, err := res.UnmarshalMsg(r.Apply(2, []byte("garbage")))
	is.NoErr(err)
	is.True(res.Malformed)
	is.True(r.Restore([]byte("garbage")) != nil)
	snapshot, err := r.Snapshot()
	is.NoErr(err)
	is.True(r.Restore(append(snapshot, 0)) != nil)
	is.Equal(r.Membership().Epoch, fleet.Epoch(1))
}

// TestRosterChangesAndRestoreAgree checks that Changes lead from every epoch in the
// history to the current membership, also after the roster was restored from a snapshot.
func TestRosterChangesAndRestoreAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := Settings{History: 5}
		r := NewRoster(settings)
		seen := map[fleet.Epoch]fleet.Membership{}
		for range rapid.IntRange(1, 30).Draw(t, "commands") {
			op := Op{
				Kind: rapid.SampledFrom([]OpKind{OpJoin, OpLeave, OpExpire}).Draw(t, "kind"),
				Member: member(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"),
					rapid.SampledFrom([]string{"1", "2"}).Draw(t, "boot")),
			}
			if rapid.Bool().Draw(t, "restore") {
				snapshot, _ := r.Snapshot()
				r = NewRoster(settings)
				if err := r.Restore(snapshot); err != nil {
					t.Fatal(err)
				}
			}
			apply(r, op)
			seen[r.Membership().Epoch] = r.Membership()
		}
		for epoch, m := range seen {
			changes, ok := r.Changes(epoch)
			if !ok {
				if r.Membership().Epoch-epoch <= 5 {
					t.Fatalf("the changes since epoch %d are missing, although the history covers it", epoch)
				}
				continue
			}
			for _, c := range changes {
				m = applyChange(m, c)
			}
			is := is.New(t)
			is.Equal(m.Epoch, r.Membership().Epoch)
			is.Equal(len(m.Members), len(r.Membership().Members))
			for i := range m.Members {
				is.Equal(m.Members[i], r.Membership().Members[i])
			}
		}
	})
}
