package consensus

import (
	"flag"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	schedules = flag.Int("schedules", 60, "number of random schedules that TestSchedules runs")
	search    = flag.Bool("search", false, "TestMutations logs the seeds, out of -schedules seeds from -seed on, that show a violation")
	firstSeed = flag.Uint64("seed", 1, "seed of the first schedule")
)

const (
	faultyTime  = 20 * time.Second // part of a schedule with faults
	formingTime = 4 * time.Second  // part of a schedule in which disks are lost more often
	healingTime = 20 * time.Second // time without faults, after which every member must have caught up
)

// runSchedule runs the random schedule of a seed and returns its simulation, whose
// check.err is the first violation.
func runSchedule(seed uint64, f faults) *simulation {
	return runScheduleWith(seed, f, func(*simulation) {})
}

// runScheduleWith is like runSchedule, with further events that prepare adds.
func runScheduleWith(seed uint64, f faults, prepare func(*simulation)) *simulation {
	size := 3
	switch {
	case seed%16 == 0:
		size = 7
	case seed%4 == 0:
		size = 5
	}
	sim := newSimulation(seed, size, f)
	sim.loss = []float64{0, 0.02, 0.15}[sim.rng.IntN(3)]
	sim.duplicate = []float64{0, 0.1}[sim.rng.IntN(2)]
	sim.delay = []time.Duration{2 * time.Millisecond, 60 * time.Millisecond, 700 * time.Millisecond}[sim.rng.IntN(3)]
	for _, m := range sim.members {
		sim.after(sim.random(0, time.Second), m.start)
	}
	sim.after(0, sim.repairMembers)
	sim.after(time.Second, sim.generateLoad)
	sim.after(sim.random(0, 3*time.Second), sim.injectFaults)
	prepare(sim)
	sim.run(faultyTime)
	sim.heal()
	sim.run(faultyTime + healingTime)
	if sim.check.err == nil {
		sim.check.checkFinal(sim)
	}
	return sim
}

// generateLoad proposes a command to one member, or reads there. It pauses
// occasionally, because a member that was cut off can only win an election while
// nothing is appended without it.
func (sim *simulation) generateLoad() {
	if sim.now > faultyTime+healingTime/2 {
		return
	}
	pause := sim.random(time.Millisecond, 100*time.Millisecond)
	if sim.rng.IntN(40) == 0 {
		pause = sim.random(time.Second, 4*time.Second)
	}
	sim.after(pause, sim.generateLoad)
	m := sim.randomMember()
	if lead := sim.leader(); lead != nil && sim.rng.IntN(4) > 0 {
		m = lead
	}
	if sim.rng.IntN(5) == 0 {
		m.exec(func() { m.checkRead() })
		return
	}
	sim.seq++
	command := fmt.Sprint("command-", sim.seq)
	m.exec(func() {
		m.replica.propose(m.localTime(), []byte(command), func(result []byte, err error) {
			sim.check.recordOutcome(command, result, err)
			if err == nil && sim.onAck != nil {
				sim.after(0, sim.onAck)
				sim.onAck = nil
			}
		})
	})
}

// checkRead starts a read and checks that it sees every command acknowledged before it started.
func (m *simMember) checkRead() {
	sim, r := m.sim, m.replica
	before := sim.check.ackIndex
	r.registerRead(m.localTime(), func(err error) {
		if err == nil && r.core.log.applied < before {
			sim.check.fail("stale read on %s: applied up to %d, but %d was acknowledged before", m.id, r.core.log.applied, before)
		}
	})
}

// injectFaults injects one random fault after another.
func (sim *simulation) injectFaults() {
	if sim.now > faultyTime {
		return
	}
	sim.after(sim.random(100*time.Millisecond, 2*time.Second), sim.injectFaults)
	m, other := sim.randomMember(), sim.randomMember()
	if lead := sim.leader(); lead != nil && sim.rng.IntN(2) == 0 {
		m = lead
	}
	kind := sim.rng.IntN(13)
	if sim.now < formingTime && sim.rng.IntN(3) == 0 {
		kind = 8
	}
	switch kind {
	case 0, 1: // cut one member off from every other
		oneWay := sim.rng.IntN(3)
		for _, o := range sim.members {
			sim.cut(m.id, o.id, oneWay)
		}
	case 2: // cut one link
		sim.cut(m.id, other.id, sim.rng.IntN(3))
	case 3, 4:
		clear(sim.blocked)
	case 5:
		m.killOrCrash()
		sim.after(sim.random(10*time.Millisecond, 3*time.Second), m.start)
	case 6: // crash in the middle of a write, and again soon afterwards
		m.disk.crashIn = 1 + sim.rng.IntN(12)
		sim.after(sim.random(500*time.Millisecond, 3*time.Second), func() {
			m.crash()
			m.start()
		})
	case 7:
		m.freeze(sim.random(50*time.Millisecond, 4*time.Second))
	case 8: // lose the disk
		if sim.canLoseMember() {
			m.loseDisk(sim.random(10*time.Millisecond, 2*time.Second))
		}
	case 9:
		m.exec(func() { _ = m.replica.core.TransferLeadership(m.localTime(), other.id) })
	case 10: // remove a voter; repairMembers adds it again
		if sim.canLoseMember() {
			m.exec(func() { m.removeMember(other) })
		}
	case 11: // all lose power, and one its disk, right after a command was acknowledged
		sim.onAck = func() { sim.losePowerAndDisk(m) }
	case 12: // all lose power at once
		sim.losePowerAndDisk(nil)
	}
}

// losePowerAndDisk crashes all members at once. If m is set and may be lost, it loses its
// disk, too. Each member starts again some time later, often while a repair is under way.
func (sim *simulation) losePowerAndDisk(m *simMember) {
	if m != nil && sim.canLoseMember() {
		m.loseDisk(sim.random(10*time.Millisecond, 2*time.Second))
	}
	for _, o := range sim.members {
		o.crash()
		sim.after(sim.random(10*time.Millisecond, 2*time.Second), o.start)
	}
}

func (m *simMember) removeMember(other *simMember) {
	other.needsRepair = true
	m.replica.proposeChange(m.localTime(), Change{Kind: ChangeRemove, ID: other.id}, func([]byte, error) {})
}

// cut blocks the messages between a and b: in both directions if oneWay is 0, only from
// b to a if it is 1, and only from a to b if it is 2.
func (sim *simulation) cut(a, b MemberID, oneWay int) {
	if a == b {
		return
	}
	if oneWay != 1 {
		sim.blocked[[2]MemberID{a, b}] = true
	}
	if oneWay != 2 {
		sim.blocked[[2]MemberID{b, a}] = true
	}
}

// canLoseMember reports whether a majority of all members would still be voters with
// their disks if one more member needed repair.
func (sim *simulation) canLoseMember() bool {
	needRepair := 0
	for _, m := range sim.members {
		if m.needsRepair {
			needRepair++
		}
	}
	return needRepair+1 <= (len(sim.members)-1)/2
}

// heal ends all faults and starts the stopped members.
func (sim *simulation) heal() {
	clear(sim.blocked)
	sim.loss, sim.duplicate, sim.delay = 0, 0, 2*time.Millisecond
	for _, m := range sim.members {
		m.disk.crashIn = 0
		m.disk.setFull(false)
		m.start()
	}
}

// repairMembers adds the members that need repair, because their disk was lost or because
// they were removed: first as a learner, then as a voter.
func (sim *simulation) repairMembers() {
	sim.after(200*time.Millisecond, sim.repairMembers)
	lead := sim.leader()
	if lead == nil {
		return
	}
	for _, m := range sim.members {
		if m.needsRepair && m.replica != nil {
			lead.exec(func() { lead.proposeRepair(m) })
		}
	}
}

// proposeRepair proposes, at leader m, the next membership change on the way to making
// broken a voter again.
func (m *simMember) proposeRepair(broken *simMember) {
	if broken.replica == nil || m.replica == nil || m.replica.core.role != RoleLeader {
		return
	}
	core, store := m.replica.core, broken.replica.store.id
	if store == 0 { // its data directory has never been opened
		return
	}
	change := Change{Kind: ChangeAddLearner, ID: broken.id, Addr: string(broken.id), Store: store}
	if known := core.membership().Find(broken.id); known != nil && known.Store == store {
		if !known.Learner {
			settled := max(core.lastChangeIndex(), core.leadership.termStart)
			// Without a lease it may be a former leader that doesn't know of the removal.
			until, leased := core.LeaseUntil()
			broken.needsRepair = core.log.commit < settled || !leased || m.localTime() >= until
			return
		}
		change = Change{Kind: ChangePromote, ID: broken.id}
	}
	m.replica.proposeChange(m.localTime(), change, func([]byte, error) {})
}

// TestSchedules runs random schedules of message loss, duplication, delay and
// reordering, one-way and two-way partitions, crashes with loss of unsynced
// writes, lost disks and repair, the loss of a disk while all members lose power right
// after an acknowledgement, removed members, freezes, leadership transfers and
// clock drift.
//
//	go test ./internal/consensus -run TestSchedules -schedules 10000
func TestSchedules(t *testing.T) {
	testSchedules(t, func(seed uint64) *simulation { return runSchedule(seed, faults{}) })
}

// TestSchedulesWithFullDisks runs schedules like those of TestSchedules in which disks are also
// full in turn: from any operation on, during a reopening too, and that of the leader as often
// as those of all others.
//
//	go test ./internal/consensus -run TestSchedulesWithFullDisks -schedules 10000
func TestSchedulesWithFullDisks(t *testing.T) {
	testSchedules(t, runFullDisks)
}

func runFullDisks(seed uint64) *simulation {
	return runScheduleWith(seed, faults{}, func(sim *simulation) { sim.after(time.Second, sim.fillDisk) })
}

// fillDisk makes one disk full after another. Some are full again while the member reopens them.
func (sim *simulation) fillDisk() {
	if sim.now > faultyTime {
		return
	}
	m := sim.randomMember()
	if lead := sim.leader(); lead != nil && sim.rng.IntN(2) == 0 {
		m = lead
	}
	m.disk.fullIn = 1 + sim.rng.IntN(12)
	full := sim.random(100*time.Millisecond, 4*time.Second)
	sim.after(full, func() {
		m.disk.setFull(false)
		if sim.rng.IntN(3) == 0 {
			m.disk.fullIn = 1 + sim.rng.IntN(30)
			sim.after(sim.random(100*time.Millisecond, 2*time.Second), func() { m.disk.setFull(false) })
		}
	})
	sim.after(full+sim.random(0, 2*time.Second), sim.fillDisk)
}

// testSchedules runs schedules from firstSeed on and reports their violations.
func testSchedules(t *testing.T, run func(seed uint64) *simulation) {
	seeds := make(chan uint64)
	go func() {
		defer close(seeds)
		for i := range *schedules {
			seeds <- *firstSeed + uint64(i)
		}
	}()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var acked, leased, terms int
	for range max(1, min(3, runtime.GOMAXPROCS(0)/2)) {
		wg.Go(func() {
			for seed := range seeds {
				sim := run(seed)
				mu.Lock()
				acked += len(sim.check.acked)
				leased += sim.check.leased
				terms += len(sim.check.leaders)
				mu.Unlock()
				if sim.check.err != nil {
					t.Errorf("seed %d at %v: %v", seed, sim.check.failedAt, sim.check.err)
				}
			}
		})
	}
	wg.Wait()
	t.Logf("%d schedules: %d commands acknowledged, %d leaders, %d checks with a lease held", *schedules, acked, terms, leased)
	is.New(t).True(acked > 0 && leased > 0)
}

// TestPastFailures runs seeds whose schedules failed in the past. The schedule of a
// seed changes with the code, so store_test.go also reproduces each cause directly.
func TestPastFailures(t *testing.T) {
	cases := []struct {
		name string
		seed uint64
	}{
		{"entries were added to a log that an installed snapshot had outdated", 758},
		{"the same, with a shorter log", 4555},
		{"the same, among five members", 8296},
		{"a member acted on what a killed process had not synced", 1151},
		{"the same, and a commit was lost", 4727},
		{"a voter without a log dropped the messages of a repaired founder", 56167},
		{"the same, after a late hello of the founder's former store", 56275},
		{"a restarted voter without a log voted within a lease that it had renewed", 907566},
		{"the founder and another member lost their disks, and none formed the group", 5046704},
		{"a former leader without a lease vouched for a member that had removed itself", 7027508},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is.New(t).NoErr(runSchedule(tc.seed, faults{}).check.err)
		})
	}
}

// TestMutations disables one safety mechanism at a time and checks that a schedule
// finds the violation that the mechanism prevents. With the mechanism the same seed
// passes.
func TestMutations(t *testing.T) {
	cases := []struct {
		name   string
		faults faults
		seed   uint64
		want   string
	}{
		{"votes granted within the lease of a live leader", faults{grantWithinLease: true}, 64, "lease overlap"},
		{"acknowledged before the disk has synced", faults{skipSync: true}, 1, "leader completeness"},
		{"an emptied disk votes as the former member, and two lead", faults{ignoreStores: true}, 47, "election safety"},
		{"an emptied disk votes as the former member, and a commit is lost", faults{ignoreStores: true}, 20, "leader completeness"},
		{"an emptied founder forms the group again", faults{ignoreExistingGroup: true}, 7, "leader completeness"},
		{"any candidate is taken for the former leader", faults{forgetLeader: true}, 64, "lease overlap"},
		{"two founders' first terms are equal", faults{reuseTerm: true}, 183, "log matching"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			if *search {
				printViolations(t, tc.faults)
			}
			is.NoErr(runSchedule(tc.seed, faults{}).check.err)
			err := runSchedule(tc.seed, tc.faults).check.err
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), tc.want))
		})
	}
}

func printViolations(t *testing.T, f faults) {
	for i := range *schedules {
		if sim := runSchedule(*firstSeed+uint64(i), f); sim.check.err != nil {
			t.Logf("seed %d at %v: %v", *firstSeed+uint64(i), sim.check.failedAt, sim.check.err)
		}
	}
}
