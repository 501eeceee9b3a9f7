package consensus

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestNameThatFailedSyncLeftIsActedOn fills the disk of a member at each operation of its second
// snapshot in turn, gives it room again, and cuts its power. A failed sync of the directory leaves
// names that can be read, and that a later sync doesn't make durable (see store.suspect).
func TestNameThatFailedSyncLeftIsActedOn(t *testing.T) {
	is := is.New(t)
	halts := 0
	for seed := range uint64(40) {
		for n := 1; n < 12; n++ {
			sim := newSimulation(seed, 1, faults{})
			m := sim.members[0]
			m.start()
			m.replica.snapshotThreshold = 4
			sim.run(time.Second)
			propose := func(from, to int) {
				for i := from; i < to; i++ {
					m.exec(func() { m.replica.propose(m.localTime(), fmt.Append(nil, i), func([]byte, error) {}) })
				}
			}
			propose(0, 6)
			m.disk.unsyncedNames, m.disk.fullIn = true, n
			propose(6, 10)
			if m.replica == nil {
				t.Fatalf("seed %d, operation %d: the member has stopped: %v", seed, n, sim.check.err)
			}
			if m.replica.storageFailure != nil {
				halts++
			}
			m.disk.setFull(false)
			sim.run(sim.now + 2*storageRetryInterval)
			is.NoErr(sim.check.err)
			m.crash()
			m.start()
			sim.run(sim.now + time.Second)
			if sim.check.err != nil || sim.leader() != m {
				t.Fatalf("seed %d, full from operation %d: the member isn't back: %v", seed, n, sim.check.err)
			}
		}
	}
	is.True(halts > 0)
}
