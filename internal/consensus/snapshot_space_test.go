package consensus

import (
	"context"
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// recordsOnly is a disk with room for records, but not for a snapshot.
type recordsOnly struct{ Disk }

func (d recordsOnly) Create(name string) (File, error) {
	f, err := d.Disk.Create(name)
	if err == nil && strings.HasPrefix(name, snapshotPrefix) {
		return noRoom{f}, nil
	}
	return f, err
}

type noRoom struct{ File }

func (noRoom) Write([]byte) (int, error) { return 0, syscall.ENOSPC }

// TestNoRoomForSnapshotEndsChanges checks that members whose disks have room for records go on
// while there is none for the next snapshot. Members apply the same entries, so that it is due at all
// of them at once, and each halted again in the very step in which it had resumed.
func TestNoRoomForSnapshotEndsChanges(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
	defer cancel()
	c := emptyCluster(t, "a", "b", "c")
	c.threshold = 8
	c.disks = map[MemberID]Disk{}
	for _, p := range c.peers {
		dir, err := OpenDir(t.TempDir())
		is.NoErr(err)
		c.disks[p.ID] = recordsOnly{dir}
		c.start(p.ID, true)
	}
	for i := range 4 * int(c.threshold) {
		_, err := c.propose(ctx, fmt.Sprint(i))
		is.NoErr(err) // no leader is left
	}
}
