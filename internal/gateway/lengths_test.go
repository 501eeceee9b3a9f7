package gateway

import (
	"runtime"
	"testing"

	"github.com/matryer/is"
	"github.com/tinylib/msgp/msgp"

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
