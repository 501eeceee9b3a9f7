package gateway

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/balance"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

func testUpstream(id string) fleet.Upstream {
	return fleet.Upstream{ID: fleet.UpstreamID(id), Pool: "pool", Addr: "10.0.0.1:80"}
}

func testSnapshot(asOf time.Duration, upstreams ...fleet.Upstream) *snapshot {
	var list []balance.ListedUpstream
	for _, u := range upstreams {
		list = append(list, balance.ListedUpstream{Upstream: u})
	}
	return newSnapshot(asOf, list)
}

// A follower that applies updates in order has the source's list, and an update of an
// unchanged list has no entries.
func TestUpdatesReproduceTheSourceList(t *testing.T) {
	leaving := testUpstream("b")
	leaving.Leaving = true
	cases := []struct {
		name             string
		before, after    *snapshot
		changed, removed int
	}{
		{"unchanged", testSnapshot(0, testUpstream("a"), testUpstream("b")), testSnapshot(time.Second, testUpstream("a"), testUpstream("b")), 0, 0},
		{"one leaves", testSnapshot(0, testUpstream("a"), testUpstream("b")), testSnapshot(time.Second, testUpstream("a"), leaving), 1, 0},
		{"one is gone", testSnapshot(0, testUpstream("a"), testUpstream("b")), testSnapshot(time.Second, testUpstream("a")), 0, 1},
		{"one is new", testSnapshot(0, testUpstream("a")), testSnapshot(time.Second, testUpstream("a"), testUpstream("c")), 1, 0},
		{"all are replaced", testSnapshot(0, testUpstream("a")), testSnapshot(time.Second, testUpstream("c")), 1, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			tc.after.numberAfter(tc.before)
			now := 2 * time.Second
			var follower *snapshot
			follower, err := follower.apply(now, tc.before.update(nil, 0, now))
			is.NoErr(err)
			u := tc.after.update(tc.before, 0, now)
			is.Equal(len(u.Changed), tc.changed)
			is.Equal(len(u.Removed), tc.removed)
			follower, err = follower.apply(now, u)
			is.NoErr(err)
			is.Equal(len(follower.entries), len(tc.after.entries))
			for id, e := range tc.after.entries {
				is.Equal(follower.entries[id].Upstream, e.Upstream)
			}
			is.Equal(follower.asOf, tc.after.asOf)
		})
	}
	t.Run("an update without a previous list", func(t *testing.T) {
		var none *snapshot
		_, err := none.apply(0, &ListUpdate{})
		is.New(t).True(errors.Is(err, errListGap))
	})
}

// A follower whose list has the same digest as its new source's gets only the cold
// starts, which the digest leaves out.
func TestKnownListIsNotSentAgain(t *testing.T) {
	is := is.New(t)
	cold := balance.ListedUpstream{Upstream: testUpstream("a"), ColdFor: 3 * time.Second}
	source := newSnapshot(0, []balance.ListedUpstream{cold, {Upstream: testUpstream("b")}})
	known := testSnapshot(0, testUpstream("a"), testUpstream("b"))
	u := source.update(nil, known.digest, time.Second)
	is.Equal(len(u.Whole), 0)
	is.Equal(len(u.Changed), 1)
	next, err := known.apply(time.Second, u)
	is.NoErr(err)
	is.Equal(next.entries["a"].coldUntil, 3*time.Second)
	is.Equal(len(next.entries), 2)

	moved := testUpstream("b")
	moved.Boot = "again"
	for name, other := range map[string]*snapshot{
		"another upstream": testSnapshot(0, testUpstream("a"), testUpstream("c")), "one more": testSnapshot(0, testUpstream("a"), testUpstream("b"), testUpstream("c")), "another boot": testSnapshot(0, testUpstream("a"), moved),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := source.update(nil, other.digest, time.Second)
			is.True(len(u.Whole) > 0)
			next, err := other.apply(time.Second, u)
			is.NoErr(err)
			is.Equal(next.digest, source.digest)
		})
	}
	_, err = known.apply(0, &ListUpdate{Whole: []byte("not packed")})
	is.True(err != nil)
}

// A cold start is sent to followers once, not with each read of the list.
func TestColdStartIsOneChange(t *testing.T) {
	is := is.New(t)
	read := func(asOf, coldFor time.Duration) *snapshot {
		return newSnapshot(asOf, []balance.ListedUpstream{{Upstream: testUpstream("a"), ColdFor: coldFor}})
	}
	first := read(0, 3*time.Second)
	second := read(time.Second, 2050*time.Millisecond) // the same end within coldTolerance
	second.numberAfter(first)
	is.Equal(second.number, first.number)
	again := read(2*time.Second, 3*time.Second) // another cold start
	again.numberAfter(second)
	is.Equal(again.number, second.number+1)
}
