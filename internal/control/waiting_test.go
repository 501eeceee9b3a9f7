package control

import (
	"context"
	"fmt"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
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

// The memberships of all starting routers filled the leader's link, heartbeats came late, and the
// leader was deposed again and again.
func TestMembershipsOfStartingRoutersFillTheLink(t *testing.T) {
	is := is.New(t)
	now := time.Duration(0)
	s := &Server{}
	s.copyPacer.rate, s.copyPacer.clock = 500_000, func() time.Duration { return now }
	m := fleet.Membership{Epoch: 1}
	for i := range 300 {
		m.Members = append(m.Members, fleet.Member{ID: fleet.InstanceID(fmt.Sprint("router-", i)), Boot: "3f0c6a0e-7d0a-4a57-9d59-0d6c3b1f9a11", Addr: "10.20.1.1:7400"})
	}
	sent := 0
	for range 300 { // at the same moment
		ctx, cancel := context.WithCancel(t.Context())
		cancel() // don't wait for the link
		wait, err := s.copyPacer.reserve(m.Msgsize()/deflateRatio, maxMembershipWait)
		if err == nil {
			sent += m.Msgsize() / deflateRatio
			is.True(wait <= maxMembershipWait)
			continue
		}
		reply := &session.RenewReply{Status: session.StatusGranted, Lease: time.Second, Version: 7, Membership: &m}
		s.paceMembership(ctx, reply)
		is.Equal(reply.Status, session.StatusJoining) // without a lease
		is.Equal(reply.Lease, time.Duration(0))
		is.Equal(reply.Membership, nil)
		is.Equal(reply.Version, fleet.ConfigVersion(7)) // which is confirmed nevertheless
	}
	is.True(sent <= int(float64(s.copyPacer.rate)*maxMembershipWait.Seconds())+m.Msgsize()/deflateRatio)
	is.True(sent > 0)

	now = time.Minute
	reply := &session.RenewReply{Status: session.StatusGranted, Membership: &m}
	s.paceMembership(t.Context(), reply)
	is.Equal(reply.Status, session.StatusGranted)
}

// Each starting router connected to the leader before it could serve.
func TestMemberRelaysConfirmationToStartingRouter(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 3, 0)
	version := f.putLists(1)
	relayed := 0
	for _, s := range f.servers {
		reply, err := s.renew(t.Context(), "", &session.RenewRequest{Instance: "router", Boot: "b", Seq: 5})
		is.NoErr(err)
		is.Equal(reply.Seq, uint64(5))
		is.Equal(reply.Version, version)
		is.Equal(reply.Granted(), false)
		if reply.Relayed {
			relayed++
		}
		for _, req := range []*session.RenewRequest{
			{Instance: "router", Boot: "b", Seq: 6, KnownVersion: version}, {Instance: "router", Boot: "b", Seq: 7, Leaving: true},
		} {
			reply, err := s.renew(t.Context(), "", req)
			is.True(err != nil || !reply.Relayed) // only the leader grants and takes back leases
		}
	}
	is.Equal(relayed, 2)
}

// A relayed confirmation is no older than the request: a version that was acknowledged before is in it.
func TestRelayedConfirmationHoldsWhatWasAcknowledged(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 3, 0)
	f.putLists(1)
	for i := range 20 {
		version := f.takeZoneOut(fmt.Sprint("operation-", i))
		for _, s := range f.servers {
			reply, err := s.renew(t.Context(), "", &session.RenewRequest{Instance: "router", Boot: "b", Seq: 5})
			is.NoErr(err)
			is.True(reply.Version >= version)
		}
	}
}

// All calls that waited at a leader whose lease had lapsed tried again every 10 ms; it never got the
// processor time to renew its lease.
func TestWaitingCallsPollTheLeader(t *testing.T) {
	is := is.New(t)
	seed := newSeeds(t, 1)[0]
	seed.start()
	defer seed.stop()
	s := seed.member
	for addr := ""; addr != seed.addr; addr, _ = s.group.KnownLeader() {
		time.Sleep(time.Millisecond)
	}
	var leads atomic.Bool
	s.leaseGate.leads = leads.Load
	const calls = 300
	var tries atomic.Int64
	failed := make(chan error, calls)
	for range calls {
		go func() {
			failed <- s.callAsLeader(t.Context(), MethodRenew, func() bool { tries.Add(1); return leads.Load() })
		}()
	}
	time.Sleep(leaderWait / 2)
	is.Equal(tries.Load(), int64(calls))
	leads.Store(true)
	for range calls {
		is.NoErr(<-failed)
	}
	is.Equal(tries.Load(), int64(2*calls))
}

// Replies to joining routers filled the leader's link; grants came too late and were asked for again.
func TestLeaderNamesRelaysInEachReply(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 1, 3)
	version := f.putLists(1)
	f.awaitVersion(version)
	join := &session.RenewRequest{Instance: "router", Boot: "b", Seq: 1, KnownVersion: version}
	reply, err := f.servers[0].renew(t.Context(), "", join)
	is.NoErr(err)
	is.Equal(reply.Status, session.StatusJoining)
	is.Equal(len(reply.Relays), 3)
	join.Seq, join.KnowsRelays = 2, true
	reply, err = f.servers[0].renew(t.Context(), "", join)
	is.NoErr(err)
	is.Equal(len(reply.Relays), 0)
}

func TestMemberNamesRelaysInEachRelayedReply(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 3, 3)
	f.awaitVersion(f.putLists(1))
	for _, s := range f.servers {
		for seq, known := range []bool{false, true} {
			reply, err := s.renew(t.Context(), "", &session.RenewRequest{Instance: "router", Boot: "b", Seq: uint64(seq + 1), KnowsRelays: known})
			is.NoErr(err)
			is.Equal(len(reply.Relays) > 0, !known)
		}
	}
}

// Each renewal set a timer for a wait that only an election needs.
func TestRenewalAtTheLeaderAllocatesForAWait(t *testing.T) {
	is := is.New(t)
	seed := newSeeds(t, 1)[0]
	seed.start()
	defer seed.stop()
	allocations := testing.AllocsPerRun(100, func() {
		is.NoErr(seed.member.callAsLeader(t.Context(), MethodRenew, func() bool { return true }))
	})
	is.Equal(allocations, 0.0)
}
