package control

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/session"
)

// newSeeds returns n members that haven't been started and know each other.
func newSeeds(t *testing.T, n int) []*seededMember {
	var addrs []string
	var members []*seededMember
	for range n {
		addrs = append(addrs, unusedAddr(t))
	}
	for _, addr := range addrs {
		members = append(members, &seededMember{t: t, addr: addr, seeds: addrs, dir: filepath.Join(t.TempDir(), "data")})
	}
	return members
}

// Routers asked one member after the other for a leader, 20 times a second each; a large fleet left
// the members no processor time for the election.
func TestRoutersPollMembersDuringElection(t *testing.T) {
	is := is.New(t)
	members := newSeeds(t, 3)
	members[0].start()
	defer members[0].stop()
	renew := func() bool {
		_, err := members[0].member.renew(t.Context(), "", &session.RenewRequest{Instance: "router", Boot: "b", Seq: 1})
		return err == nil
	}
	began, calls := time.Now(), 0
	for time.Since(began) < 2*leaderWait {
		is.True(!renew())
		calls++
	}
	is.True(calls <= 3)

	// The call that waits while the group forms is answered as soon as there is a leader.
	answered := make(chan int, 1)
	go func() {
		for n := 1; ; n++ {
			if renew() {
				answered <- n
				return
			}
			if addr, _ := members[0].member.group.KnownLeader(); addr != "" && addr != members[0].addr {
				answered <- n // it names another member that leads
				return
			}
		}
	}()
	began = time.Now()
	for _, m := range members[1:] {
		m.start()
		defer m.stop()
	}
	is.True(time.Duration(<-answered-1)*leaderWait <= time.Since(began)+leaderWait)
}

// A member that follows sent routers away with a version that it learned of a moment later.
func TestFollowerAnswersWithVersionCommittedMeanwhile(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 3, 0)
	version := f.putLists(1)
	for _, s := range f.servers {
		_, err := s.fetch(t.Context(), "", &FetchRequest{AtLeast: version})
		is.NoErr(err)
	}
	done := make(chan error, len(f.servers))
	for _, s := range f.servers {
		go func() {
			_, err := s.fetch(t.Context(), "", &FetchRequest{AtLeast: version + 1})
			done <- err
		}()
	}
	is.Equal(f.takeZoneOut("meanwhile"), version+1)
	for range f.servers {
		is.NoErr(<-done)
	}
}
