package consensus

import (
	"context"
	"fmt"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// scarceDisk is a Disk of a process that has no descriptor left while scarce is set: what opens a
// file fails, and open files work.
type scarceDisk struct {
	Disk
	scarce atomic.Bool
}

func (d *scarceDisk) err(name string) error {
	if !d.scarce.Load() {
		return nil
	}
	return &os.PathError{Op: "open", Path: name, Err: syscall.EMFILE}
}

func (d *scarceDisk) Create(name string) (File, error) {
	if err := d.err(name); err != nil {
		return nil, err
	}
	return d.Disk.Create(name)
}

func (d *scarceDisk) Append(name string) (File, error) {
	if err := d.err(name); err != nil {
		return nil, err
	}
	return d.Disk.Append(name)
}

func (d *scarceDisk) ReadFile(name string) ([]byte, error) {
	if err := d.err(name); err != nil {
		return nil, err
	}
	return d.Disk.ReadFile(name)
}

func (d *scarceDisk) List() ([]string, error) {
	if err := d.err("directory"); err != nil {
		return nil, err
	}
	return d.Disk.List()
}

func (d *scarceDisk) SyncDir() error {
	if err := d.err("directory"); err != nil {
		return err
	}
	return d.Disk.SyncDir()
}

// TestLackOfDescriptorsStopsTheMember checks that a member whose process lacks a descriptor for its
// next snapshot goes on once there is one. Callers' connections share the descriptors with the data
// directory; a member that stops ends the process, which serves them.
func TestLackOfDescriptorsStopsTheMember(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	c := emptyCluster(t, "a")
	c.threshold = 8
	dir, err := OpenDir(t.TempDir())
	is.NoErr(err)
	disk := &scarceDisk{Disk: dir}
	c.disks = map[MemberID]Disk{"a": disk}
	g := c.start("a", true)
	_, err = c.propose(ctx, "before")
	is.NoErr(err)

	disk.scarce.Store(true)
	for i := range 2 * c.threshold {
		_, _ = g.Propose(ctx, fmt.Append(nil, i)) // one of them makes a snapshot due
	}
	disk.scarce.Store(false)
	select {
	case <-g.Done():
		t.Fatalf("the member has stopped: %v", g.Err())
	case <-time.After(100 * time.Millisecond):
	}
	_, err = c.propose(ctx, "after")
	is.NoErr(err)
}
