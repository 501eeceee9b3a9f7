package consensus

import (
	"context"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// noNewLog is a disk that has room for snapshots, but not for a further log file, while full is set.
type noNewLog struct {
	Disk
	full atomic.Bool
}

func (d *noNewLog) Create(name string) (File, error) {
	if d.full.Load() && strings.HasPrefix(name, logPrefix) {
		return nil, syscall.ENOSPC
	}
	return d.Disk.Create(name)
}

// TestOutdatedLogStopsTheMember fills the disk of a member between a snapshot that it has received
// and the log file that starts there. On a disk in a folder the next opening removed the former log
// twice, and the error of the second time stopped the member; the simulated disk removes missing
// files without an error.
func TestOutdatedLogStopsTheMember(t *testing.T) {
	is := is.New(t)
	dir, err := OpenDir(t.TempDir())
	is.NoErr(err)
	disk := &noNewLog{Disk: dir}
	s, _, err := openTestStore(disk)
	is.NoErr(err)
	is.NoErr(s.Save(&HardState{Term: 1}, []Entry{{Index: 1, Term: 1}}))
	disk.full.Store(true)
	snap := Snapshot{Index: 5, Term: 1, Data: []byte("state")}
	err = s.SaveSnapshot(snap, State{Hard: HardState{Term: 1}, Snapshot: snap, Base: 5, BaseTerm: 1})
	is.True(isNoSpace(err))
	s.discardUnsynced()
	disk.full.Store(false)
	_, st, err := openTestStore(disk)
	is.NoErr(err) // remove log-0000000000000001: no such file or directory
	is.Equal(st.Base, uint64(5))
}

// TestSnapshotReceivedBesideFullDiskStopsTheMember is like TestOutdatedLogStopsTheMember, for a member
// of a group that lacks what the others have compacted.
func TestSnapshotReceivedBesideFullDiskStopsTheMember(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	c := emptyCluster(t, "a", "b", "c")
	c.threshold = 8
	c.disks = map[MemberID]Disk{}
	for _, p := range c.peers {
		dir, err := OpenDir(t.TempDir())
		is.NoErr(err)
		c.disks[p.ID] = &noNewLog{Disk: dir}
		c.start(p.ID, true)
	}
	_, err := c.propose(ctx, "before")
	is.NoErr(err)
	c.awaitEqual(ctx)
	g := c.group("c")
	c.transport.setGroup("c", nil) // cut off
	for range 40 {
		_, err := c.propose(ctx, "compacted")
		is.NoErr(err)
	}
	full := c.disks["c"].(*noNewLog)
	full.full.Store(true)
	c.transport.setGroup("c", g)
	for halted := false; !halted; {
		s, err := g.Status(ctx)
		is.NoErr(err)
		halted = s.Halted
		pause(ctx)
	}
	full.full.Store(false)
	for resumed := false; !resumed; {
		s, err := g.Status(ctx)
		is.NoErr(err) // the member has stopped
		resumed = !s.Halted
		pause(ctx)
	}
	c.awaitEqual(ctx)
}
