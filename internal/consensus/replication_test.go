package consensus

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Members that don't lead answered with what was committed only a heartbeat later, so that
// routers which asked them for a new configuration asked again and again.
func TestFollowersLearnOfCommitOnlyWithNextHeartbeat(t *testing.T) {
	const roundTrips = 4 * 2 * 2 * time.Millisecond // entry, its response, commit index; one to spare
	for seed := range uint64(50) {
		is := is.New(t)
		sim := faultlessSimulation(seed, 5, DefaultHeartbeat)
		sim.run(sim.now + sim.random(0, DefaultHeartbeat))
		lead := sim.leader()
		lead.exec(func() { lead.replica.propose(lead.localTime(), []byte("change"), func([]byte, error) {}) })
		index := lead.replica.core.log.last()
		sim.run(sim.now + DefaultHeartbeat/commitsPerHeartbeat + roundTrips)
		for _, m := range sim.members {
			is.True(m.replica.core.log.applied >= index)
		}
		is.NoErr(sim.check.err)
	}
}

// The commit index of many commands is sent at a bounded rate.
func TestCommitsShareHeartbeats(t *testing.T) {
	is := is.New(t)
	sim := faultlessSimulation(1, 3, DefaultHeartbeat)
	lead := sim.leader()
	first := lead.replica.core.leadership.round
	for i := range 200 {
		lead.exec(func() { lead.replica.propose(lead.localTime(), fmt.Append(nil, "change ", i), func([]byte, error) {}) })
		sim.run(sim.now + 5*time.Millisecond)
	}
	is.True(lead.replica.core.leadership.round-first <= 4*commitsPerHeartbeat+1) // in one second
	is.NoErr(sim.check.err)
}
