package consensus

import (
	"testing"

	"github.com/matryer/is"
)

// TestMalformedSnapshotChunkEndsProcess checks that a chunk whose size or offset no snapshot has is
// dropped. It panicked in the member's goroutine, which ends the process and the requests in it.
func TestMalformedSnapshotChunkEndsProcess(t *testing.T) {
	chunks := map[string]SnapshotChunk{
		"size that can't be allocated": {Size: 1 << 62, Data: []byte("x")},
		"size beyond an int":           {Size: 1<<63 + 1, Data: []byte("x")},
		"offset whose end overflows":   {Size: 4, Offset: 1<<64 - 1, Data: []byte("xx")},
		"offset beyond the size":       {Size: 4, Offset: 5, Data: nil},
	}
	for name, chunk := range chunks {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim, lead := simulationWithLeader(t)
			follower := sim.others(lead)[0]
			core := follower.replica.core
			chunk.Index, chunk.Term = core.log.commit+1, core.hard.Term
			follower.exec(func() {
				core.Step(follower.localTime(), Message{
					Type: MessageSnapshot, From: lead.id, FromStore: lead.replica.store.id, ToStore: core.opts.Store,
					Term: core.hard.Term, Chunk: &chunk,
				})
			})
			is.NoErr(sim.check.err)
			is.True(core.incoming == nil)
			is.True(follower.replica != nil)
		})
	}
}
