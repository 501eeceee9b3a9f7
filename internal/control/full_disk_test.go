package control

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/consensus"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/operator"
)

// fullDisk is a data directory that has no space left while full is set.
type fullDisk struct {
	consensus.Disk
	full atomic.Bool
}

func (d *fullDisk) Create(name string) (consensus.File, error) {
	f, err := d.Disk.Create(name)
	return &fullFile{f, &d.full}, err
}

func (d *fullDisk) Append(name string) (consensus.File, error) {
	f, err := d.Disk.Append(name)
	return &fullFile{f, &d.full}, err
}

type fullFile struct {
	consensus.File
	full *atomic.Bool
}

func (f *fullFile) Write(b []byte) (int, error) {
	if f.full.Load() {
		return 0, syscall.ENOSPC
	}
	return f.File.Write(b)
}

// change takes a zone out of service at one of the members and returns the member, or nil once ctx
// ends.
func change(ctx context.Context, zone string, members []*seededMember) (decided *seededMember) {
	cmd := operator.Command{Kind: operator.KindZone, Operation: zone, AnyVersion: true, Name: zone, Out: true}
	fleet.Await(ctx, 20*time.Millisecond, func() bool {
		for _, j := range members {
			call, cancel := context.WithTimeout(ctx, time.Second)
			answer, err := operator.Propose(call, j.member.Backend(), cmd)
			cancel()
			if err == nil && answer.Code == operator.CodeAccepted {
				decided = j
				return true
			}
		}
		return false
	})
	return decided
}

// The disk of each leader in turn was full: its member stopped for good, so that after two such
// disks no change was decided, while the processes ran.
func TestFullDisksInTurnEndChanges(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	members := newSeeds(t, 3)
	var all []string
	for _, j := range members {
		dir, err := consensus.OpenDir(j.dir)
		is.NoErr(err)
		j.disk = &fullDisk{Disk: dir}
		j.start()
		defer j.stop()
		all = append(all, j.addr)
	}
	slices.Sort(all)
	for _, zone := range []string{"medeu", "alatau", "turksib", "bostandyk"} {
		lead := change(ctx, zone+"-before", members)
		is.True(lead != nil)
		lead.disk.(*fullDisk).full.Store(true)
		_, err := lead.member.Backend().Propose(ctx, []byte("not written"))
		var unknown *consensus.UnknownOutcomeError
		is.True(errors.As(err, &unknown))
		next := change(ctx, zone+"-beside", members)
		is.True(next != nil && next != lead)
		// It sends operators to the next leader, and reads nothing itself.
		is.True(fleet.Await(ctx, 20*time.Millisecond, func() bool { return lead.member.Backend().Leader() == next.addr }))
		_, err = lead.member.Backend().Committed(ctx)
		is.True(err != nil)

		lead.disk.(*fullDisk).full.Store(false)
		is.True(fleet.Await(ctx, 20*time.Millisecond, func() bool {
			return slices.Contains(lead.member.config.Committed().State.ZonesOut, zone+"-beside")
		}))
		is.True(fleet.Await(ctx, 20*time.Millisecond, func() bool { return slices.Equal(voters(members...), all) }))
	}
}
