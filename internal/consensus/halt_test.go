package consensus

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fullDisk is a Disk that has no space left while full is set.
type fullDisk struct {
	Disk
	full atomic.Bool
}

func (d *fullDisk) Create(name string) (File, error) {
	f, err := d.Disk.Create(name)
	return &fullFile{f, &d.full}, err
}

func (d *fullDisk) Append(name string) (File, error) {
	f, err := d.Disk.Append(name)
	return &fullFile{f, &d.full}, err
}

type fullFile struct {
	File
	full *atomic.Bool
}

func (f *fullFile) Write(b []byte) (int, error) {
	if f.full.Load() {
		n, _ := f.File.Write(b[:len(b)/2])
		return n, syscall.ENOSPC
	}
	return f.File.Write(b)
}

// openFullDisk returns a disk with space, in a directory of its own.
func openFullDisk(t *testing.T) *fullDisk {
	dir, err := OpenDir(t.TempDir())
	is.New(t).NoErr(err)
	return &fullDisk{Disk: dir}
}

// TestFullDisksInTurnLeaveGroupShort fills the disk of each leader in turn. Each member stopped at
// its first failed write, and its calls had no true answer from then on.
func TestFullDisksInTurnLeaveGroupShort(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	c := emptyCluster(t, "a", "b", "c")
	disks := map[MemberID]*fullDisk{}
	c.disks = map[MemberID]Disk{}
	for _, p := range c.peers {
		disks[p.ID] = openFullDisk(t)
		c.disks[p.ID] = disks[p.ID]
		c.start(p.ID, true)
	}
	for range 4 {
		lead, err := c.propose(ctx, "before")
		is.NoErr(err)
		g := c.group(lead)
		disks[lead].full.Store(true)
		checkCallsAtFullLeader(ctx, t, g)
		next, err := c.propose(ctx, "beside the full disk")
		is.NoErr(err)
		is.True(next != lead)
		awaitKnownLeader(ctx, t, g, "127.0.0.1:"+string(next))

		disks[lead].full.Store(false)
		_, err = c.propose(ctx, "after")
		is.NoErr(err)
		c.awaitEqual(ctx)
		s, err := g.Status(ctx)
		is.NoErr(err)
		is.True(!s.Halted)
	}
}

// checkCallsAtFullLeader checks that a leader answers a proposal which it can't write, and each
// call after that.
func checkCallsAtFullLeader(ctx context.Context, t *testing.T, g *Group) {
	is := is.New(t)
	_, err := g.Propose(ctx, []byte("not written"))
	var unknown *UnknownOutcomeError
	is.True(errors.As(err, &unknown))
	_, leased := g.LeaderLease()
	is.True(!leased)
	var notLeader *NotLeaderError
	_, err = g.Propose(ctx, []byte("rejected"))
	is.True(errors.As(err, &notLeader))
	is.True(errors.As(g.Barrier(ctx), &notLeader))
	is.True(errors.As(g.Remove(ctx, "c"), &notLeader))
	s, err := g.Status(ctx)
	is.NoErr(err)
	is.True(s.Halted)
}

// awaitKnownLeader waits until g knows the leader at addr.
func awaitKnownLeader(ctx context.Context, t *testing.T, g *Group, addr string) {
	for {
		known, changed := g.KnownLeader()
		if known == addr {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			t.Fatalf("the halted member knows the leader %q, want %q", known, addr)
		}
	}
}

// awaitEqual waits until all members have applied the same number of commands.
func (c *cluster) awaitEqual(ctx context.Context) {
	for c.machines["a"].len() != c.machines["b"].len() || c.machines["b"].len() != c.machines["c"].len() {
		if !pause(ctx) {
			c.t.Fatalf("members have applied %d, %d and %d commands", c.machines["a"].len(), c.machines["b"].len(), c.machines["c"].len())
		}
	}
}

func pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(5 * time.Millisecond):
		return true
	}
}

// TestDiskFullAtStartEndsProcess starts a member on a full disk, empty and with a log.
func TestDiskFullAtStartEndsProcess(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	c := emptyCluster(t, "a")
	disk := openFullDisk(t)
	c.disks = map[MemberID]Disk{"a": disk}
	for range 2 {
		disk.full.Store(true)
		g := c.start("a", true)
		_, err := g.Propose(ctx, []byte("not written"))
		is.True(err != nil)
		_, err = g.Status(ctx)
		is.NoErr(err)

		disk.full.Store(false)
		_, err = c.propose(ctx, "one")
		is.NoErr(err)
		c.kill("a")
	}
}

// TestLeaderWithFullDiskIsReplacedLate checks that a leader transfers its leadership when it halts: the others
// waited for an election timeout.
func TestLeaderWithFullDiskIsReplacedLate(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 5, faults{})
	for _, m := range sim.members {
		m.start()
	}
	sim.run(5 * time.Second)
	former := sim.leader()
	former.disk.full = true
	former.exec(func() {
		former.replica.propose(former.localTime(), []byte("not written"), func([]byte, error) {})
	})
	sim.run(sim.now + DefaultElectionTimeout/10)
	is.NoErr(sim.check.err)
	is.True(sim.leader() != nil && sim.leader() != former)
}

// littleSpace is a disk on which neither a second temporary file nor a log file finds space.
type littleSpace struct{ *memDisk }

func (d littleSpace) Create(name string) (File, error) {
	if strings.HasPrefix(name, logPrefix) {
		return nil, syscall.ENOSPC
	}
	for other := range d.live {
		if strings.HasSuffix(other, tempSuffix) && other != name {
			return nil, syscall.ENOSPC
		}
	}
	return d.memDisk.Create(name)
}

// TestLittleSpaceKeepsMemberOut checks that a member returns to a disk with room for records, but
// neither for its log as a whole nor beside what a failed rewrite left behind.
func TestLittleSpaceKeepsMemberOut(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 1, faults{})
	m := sim.members[0]
	m.start()
	sim.run(time.Second)
	m.disk.full = true
	m.exec(func() { m.replica.propose(m.localTime(), []byte("not written"), func([]byte, error) {}) })
	is.True(m.replica.storageFailure != nil)
	m.disk.setFull(false)
	_, err := m.disk.Create("log-00000000000000ff" + tempSuffix)
	is.NoErr(err)
	m.replica.disk = littleSpace{m.disk}
	sim.run(sim.now + 2*storageRetryInterval)
	is.NoErr(m.replica.storageFailure)
	is.True(sim.leader() == m)
}

// TestHaltedMemberAnswers checks that a halted member answers no message of the group, and knows
// the leader for as long as it hears it.
func TestHaltedMemberAnswers(t *testing.T) {
	is := is.New(t)
	sim, lead := simulationWithLeader(t)
	rest := sim.others(lead)
	c, from := rest[0].replica.core, rest[1]
	now := rest[0].localTime()
	is.True(c.Halt() == nil)
	types := []MessageType{MessagePreVote, MessageVote, MessageTimeoutNow, MessageHello, MessageSnapshot, MessageAppend, MessageHeartbeat}
	for _, kind := range types {
		c.Step(now, Message{
			Type: kind, From: from.id, FromStore: from.replica.store.id, ToStore: c.opts.Store, Addr: string(from.id),
			Term: c.hard.Term + 1, Index: c.log.last(), LogTerm: c.log.lastTerm(),
		})
		c.Tick(now)
		is.True(!c.HasReady())
	}
	is.Equal(c.leader, from.id)
	c.Tick(now + DefaultElectionTimeout)
	is.Equal(c.leader, MemberID(""))
}

// TestFullDiskWithoutDirectoryEndsProcess starts a member whose data directory can't be created
// for lack of space.
func TestFullDiskWithoutDirectoryEndsProcess(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 1, faults{})
	m := sim.members[0]
	full := true
	disk, err := openDirLater("data", func(string) (Disk, error) {
		if full {
			return nil, syscall.ENOSPC
		}
		return m.disk, nil
	})
	is.NoErr(err)
	is.NoErr(disk.Close())
	r, err := openReplica(0, disk, "test", Options{ID: m.id, Rand: testRand(), Bootstrap: true}, &commandLog{}, m)
	is.NoErr(err)
	is.NoErr(r.processReady(storageRetryInterval))
	is.True(r.storageFailure != nil)
	full = false
	is.NoErr(r.processReady(2 * storageRetryInterval))
	is.NoErr(r.storageFailure)
	is.Equal(r.core.role, RoleLeader)
	is.NoErr(r.stop(errCrashed))
}

// newDiskForStart returns a disk that is empty, holds a command, or is being cleared.
func newDiskForStart(t *testing.T, seed uint64, kind string) (*simulation, *simMember) {
	sim := newSimulation(seed, 1, faults{})
	m := sim.members[0]
	if kind != "empty" {
		m.start()
		sim.run(time.Second)
		m.exec(func() { m.replica.propose(m.localTime(), []byte("kept"), func([]byte, error) {}) })
		m.kill()
	}
	if kind == "clearing" {
		_, err := m.disk.Create(clearingFile)
		is.New(t).NoErr(err)
		sim.check = newChecker() // another group of one may form
		sim.check.now = func() time.Duration { return sim.now }
	}
	return sim, m
}

// TestDiskFullWithinStart starts a member on a disk that is full from each operation on, in turn,
// with what the attempts before have left.
func TestDiskFullWithinStart(t *testing.T) {
	for _, kind := range []string{"empty", "log", "clearing"} {
		t.Run(kind, func(t *testing.T) {
			is := is.New(t)
			halts := 0
			for seed := range uint64(20) {
				sim, m := newDiskForStart(t, seed, kind)
				for n := 1; n < 16; n++ {
					m.disk.fullIn = n
					m.start()
					sim.run(sim.now + 2*storageRetryInterval)
					is.NoErr(sim.check.err)
					if m.replica.storageFailure != nil {
						halts++
					}
					m.kill()
				}
				m.disk.setFull(false)
				m.start()
				sim.run(sim.now + 2*storageRetryInterval)
				is.NoErr(sim.check.err)
				is.Equal(sim.leader(), m)
				is.Equal(sim.check.appliedAt["kept"] != 0, kind == "log")
				is.Equal(m.machine.sum != 0, kind == "log")
			}
			is.True(halts > 0)
		})
	}
}

// TestSyncThatFailedAtStartIsRepeated starts a member on a full disk after its process was killed
// between a write and its sync. Once there is room, a second sync of that record proves nothing.
func TestSyncThatFailedAtStartIsRepeated(t *testing.T) {
	is := is.New(t)
	failed := 0
	for seed := range uint64(20) {
		sim, m := newDiskForStart(t, seed, "log")
		f := m.disk.live[logPrefix+"0000000000000001"]
		f.synced = len(f.data) / 2
		m.disk.full = true
		m.start()
		if f.syncFailed {
			failed++
		}
		m.disk.setFull(false)
		sim.run(sim.now + 2*storageRetryInterval)
		is.Equal(sim.leader(), m)
		m.crash()
		m.start()
		sim.run(sim.now + time.Second)
		is.NoErr(sim.check.err)
		is.True(m.machine.sum != 0)
	}
	is.True(failed > 0)
}
