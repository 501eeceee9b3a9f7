package consensus

import (
	"errors"
	"sync/atomic"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
)

// failingDisk is a Disk whose file syncs fail once fail is set.
type failingDisk struct {
	Disk
	fail atomic.Bool
}

func (d *failingDisk) Create(name string) (File, error) {
	f, err := d.Disk.Create(name)
	return &failingFile{f, &d.fail}, err
}

type failingFile struct {
	File
	fail *atomic.Bool
}

func (f *failingFile) Sync() error {
	if f.fail.Load() {
		return errors.New("input/output error")
	}
	return f.File.Sync()
}

// TestFailedSyncStopsTheMember checks that a member stops after a failed sync instead
// of retrying it: what a failed sync left on disk is unknown.
func TestFailedSyncStopsTheMember(t *testing.T) {
	is := is.New(t)
	dir, err := OpenDir(t.TempDir())
	is.NoErr(err)
	disk := &failingDisk{Disk: dir}
	g, err := Start(Config{Group: "test", ID: "a", Disk: disk, Bootstrap: true, Machine: &commandLog{}, Transport: &loopback{}})
	is.NoErr(err)
	for leadership := range g.LeadershipChanges() {
		if leadership.Leading {
			break
		}
	}
	_, err = g.Propose(t.Context(), []byte("one"))
	is.NoErr(err)

	disk.fail.Store(true)
	_, err = g.Propose(t.Context(), []byte("two"))
	var unknown *UnknownOutcomeError
	is.True(errors.As(err, &unknown))
	<-g.Done()
	is.True(errorx.IsOfType(g.Err(), ErrStorage))
	_, leased := g.LeaderLease()
	is.True(!leased)
	leader, _ := g.KnownLeader()
	is.Equal(leader, "") // it named itself to the end
	is.True(!(<-g.LeadershipChanges()).Leading)
	_, err = g.Propose(t.Context(), []byte("three"))
	var notProposed *NotProposedError
	is.True(errors.As(err, &notProposed))
	is.NoErr(g.Close())
}

// TestRecordOfFailedSyncIsActedOn restarts a member after a failed sync, whose record can be read
// but may never reach the disk.
func TestRecordOfFailedSyncIsActedOn(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	c := emptyCluster(t, "a")
	dir, err := OpenDir(c.dirs["a"])
	is.NoErr(err)
	disk := &failingDisk{Disk: dir}
	c.disks = map[MemberID]Disk{"a": disk}
	c.start("a", true)
	_, err = c.propose(ctx, "one")
	is.NoErr(err)
	disk.fail.Store(true)
	_, err = c.group("a").Propose(ctx, []byte("two"))
	is.True(err != nil)
	c.kill("a")

	disk.fail.Store(false)
	c.start("a", true)
	_, err = c.propose(ctx, "three")
	is.NoErr(err)
	is.Equal(c.machines["a"].commands, []string{"one", "three"})
}
