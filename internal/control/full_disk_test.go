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

// plannedGroup is a control group whose membership follows a repairPlanner.
type plannedGroup struct {
	planner *repairPlanner
	now     time.Duration
	commit  uint64
	members map[consensus.MemberID]consensus.MemberStatus
	halted  consensus.MemberID
	all     []consensus.MemberID
}

// status returns what the leader sees: a halted member is silent, and one that was removed waits
// to be added once it is heard again.
func (g *plannedGroup) status() consensus.Status {
	s := consensus.Status{Commit: g.commit}
	for _, id := range g.all {
		m, listed := g.members[id]
		m.Active, m.Match = id != g.halted, g.commit
		switch {
		case listed:
			s.Members = append(s.Members, m)
		case m.Active:
			s.Waiting = append(s.Waiting, consensus.WaitingStore{ID: id, Addr: string(id), Store: 1})
		}
	}
	return s
}

// step makes the change that is due, if any, and returns the number of voters.
func (g *plannedGroup) step() (voters int) {
	g.now += repairInterval
	if change, due := g.planner.nextChange(g.now, g.status()); due {
		switch change.Kind {
		case consensus.ChangeAddLearner:
			g.members[change.ID] = learner(string(change.ID), true)
		case consensus.ChangePromote:
			g.members[change.ID] = voter(string(change.ID), true)
		case consensus.ChangeRemove:
			delete(g.members, change.ID)
		}
	}
	for _, m := range g.members {
		if !m.Learner {
			voters++
		}
	}
	return voters
}

// Members whose disks are full in turn, for less and for more than silentTimeout, are silent in turn.
// The group must not lose one of them for good.
func TestFullDisksInTurnShrinkGroup(t *testing.T) {
	for size := 3; size <= 6; size++ {
		for _, full := range []time.Duration{4 * time.Second, silentTimeout + 5*time.Second} {
			is := is.New(t)
			g := &plannedGroup{planner: newRepairPlanner(true), commit: 9, members: map[consensus.MemberID]consensus.MemberStatus{}}
			for i := range size {
				id := consensus.MemberID(string(rune('a' + i)))
				g.all = append(g.all, id)
				g.members[id] = voter(string(id), true)
			}
			for range 2 {
				for _, id := range g.all {
					for end := g.now + full; g.now < end; {
						g.halted = id
						is.True(g.step() >= min(size, size-1+size%2))
					}
					g.halted = ""
					for end := g.now + time.Second; g.now < end; {
						g.step()
					}
					is.Equal(g.step(), size)
				}
			}
		}
	}
}
