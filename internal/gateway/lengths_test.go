package gateway

import (
	"math"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tinylib/msgp/msgp"

	"github.com/wigeonflow/wigeonflow/internal/deflate"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/mesh"
)

// A message that claims more elements than it holds must not have them allocated.
func TestClaimedLengthsAreNotAllocated(t *testing.T) {
	const claimed = 1 << 24
	cases := []struct {
		name, field string
		into        msgp.Unmarshaler
	}{
		{"places", "p", new(LoadReport)},
		{"suspicions", "s", new(LoadReport)},
		{"changed upstreams", "c", new(ListUpdate)},
		{"removed upstreams", "r", new(ListUpdate)},
		{"entries", "e", new(ListEntries)},
		{"noted suspicions", "s", new(SuspicionNote)},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			message := msgp.AppendArrayHeader(msgp.AppendString(msgp.AppendMapHeader(nil, 1), tc.field), claimed)
			message = append(message, make([]byte, 100)...)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			err := mesh.Decode(message, tc.into)
			runtime.ReadMemStats(&after)
			is.True(err != nil)
			is.True(after.TotalAlloc-before.TotalAlloc < claimed)
		})
	}
}

// Times of a peer beyond a duration must not wrap to times in the past or the future.
func TestTimesOfPeersBeyondADuration(t *testing.T) {
	for _, ms := range []int64{math.MaxInt64, math.MaxInt64/1000 + 1, 9223372036855} {
		t.Run(strconv.FormatInt(ms, 10), func(t *testing.T) {
			is := is.New(t)
			got := decodeSuspicions([]Suspicion{{SinceServed: ms, Breaks: []RequestBreak{{Age: ms}, {Age: -ms}}}})
			is.Equal(got[0].SinceServed, fleet.MaxDuration)
			is.Equal(got[0].Breaks[0].Age, fleet.MaxDuration)
			is.Equal(got[0].Breaks[1].Age, time.Duration(0))
		})
	}
	is := is.New(t)
	var none *snapshot
	entries := ListEntries{Entries: []ListEntry{
		{Upstream: fleet.Upstream{ID: "u0"}, ColdFor: math.MaxInt64}, {Upstream: fleet.Upstream{ID: "u1"}, ColdFor: math.MinInt64},
	}}
	encoded, err := entries.MarshalMsg(nil)
	is.NoErr(err)
	list, err := none.apply(time.Hour, &ListUpdate{Age: math.MinInt64, Whole: deflate.Compress(encoded)})
	is.NoErr(err)
	is.Equal(list.asOf, time.Hour)
	is.Equal(list.entries["u0"].coldUntil, time.Hour+fleet.MaxDuration)
	is.Equal(list.entries["u1"].coldUntil, time.Hour)
}
