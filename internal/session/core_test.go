package session

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// validProof is a leader lease that is valid throughout a test.
var validProof = Proof{Term: 1, Until: 2 * time.Hour}

// harness is a Grantor with its roster, on one clock.
type harness struct {
	roster  *Roster
	grantor *Grantor
}

func newHarness(now time.Duration, members ...fleet.Member) *harness {
	r := &harness{roster: NewRoster(Settings{})}
	for _, m := range members {
		apply(r.roster, Op{OpJoin, m})
	}
	r.grantor = NewGrantor(now, 1, Settings{}, r.roster, 1)
	return r
}

// commit applies the commands that the Grantor proposes and returns their ops.
func (r *harness) commit(now time.Duration) []Op {
	var ops []Op
	for _, cmd := range r.grantor.Tick(now, validProof) {
		ops = append(ops, cmd.Ops...)
		apply(r.roster, cmd.Ops...)
	}
	r.grantor.SetRoster(now, r.roster)
	return ops
}

func request(m fleet.Member, seq uint64, epoch fleet.Epoch) *RenewRequest {
	return &RenewRequest{Instance: m.ID, Boot: m.Boot, Addr: m.Addr, Zone: m.Zone, Weight: m.Weight, Seq: seq, KnownEpoch: epoch, KnownVersion: 1}
}

func TestGrantorRenew(t *testing.T) {
	a, a2, b := member("a", "a1"), member("a", "a2"), member("b", "b1")
	moved := a
	moved.Addr = "10.0.0.9:7000"
	leaving, busy := request(a, 1, 1), request(a, 1, 1)
	leaving.Leaving, busy.Leaving = true, true
	busy.Loads = []PoolLoad{{Pool: "llm", InFlight: 1, Upstreams: 1}}
	cases := []struct {
		name   string
		leader Proof
		req    *RenewRequest
		status Status
		ops    []OpKind // committed by a tick at the same time
	}{
		{"member", validProof, request(a, 1, 1), StatusGranted, nil},
		{"member, leader lease over", Proof{Term: 1}, request(a, 1, 1), StatusNotLeader, nil},
		{"member, leader lease of a later term", Proof{Term: 2, Until: time.Hour}, request(a, 1, 1), StatusNotLeader, nil},
		{"member that knows a later epoch than this leader", validProof, request(a, 1, 2), StatusNotLeader, nil},
		{"unknown instance", validProof, request(b, 1, 0), StatusJoining, []OpKind{OpJoin}},
		{"next boot while the former boot may hold a lease", validProof, request(a2, 1, 0), StatusJoining, nil},
		{"member with a new address", validProof, request(moved, 1, 1), StatusGranted, []OpKind{OpJoin}},
		{"member releases its lease", validProof, leaving, StatusLeft, []OpKind{OpLeave}},
		{"member leaves with work in flight", validProof, busy, StatusGranted, nil},
		{"leaving boot that is not a member", validProof, &RenewRequest{Instance: "z", Boot: "1", Leaving: true}, StatusLeft, nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			r := newHarness(0, a)
			is.Equal(r.grantor.Renew(0, tc.leader, tc.req).Status, tc.status)
			var kinds []OpKind
			for _, op := range r.commit(0) {
				kinds = append(kinds, op.Kind)
			}
			is.Equal(kinds, tc.ops)
		})
	}
}

func TestNewGrantorWaitsForALease(t *testing.T) {
	is := is.New(t)
	a, b := member("a", "a1"), member("b", "b1")
	r := newHarness(time.Hour, a, b) // a leader's clock may have any value
	is.Equal(len(r.commit(time.Hour+DefaultLease-1)), 0)
	r.grantor.Renew(time.Hour+DefaultLease-1, validProof, request(b, 1, 2))
	is.Equal(len(r.grantor.Tick(time.Hour+DefaultLease, Proof{Term: 1, Until: time.Hour})), 0) // no proof of leadership
	cmds := r.grantor.Tick(time.Hour+DefaultLease, validProof)
	is.Equal(len(cmds), 1)
	is.Equal(cmds[0].Ops[0].Member.ID, a.ID)
	is.Equal(r.grantor.Renew(time.Hour+DefaultLease, validProof, request(a, 1, 2)).Status, StatusJoining) // no lease once its removal is proposed
}

func TestGrantorNextBootJoinsAfterTheLease(t *testing.T) {
	is := is.New(t)
	a, a2 := member("a", "a1"), member("a", "a2")
	r := newHarness(0, a)
	for now := time.Duration(0); now < DefaultLease; now += DefaultRenewInterval {
		is.Equal(r.grantor.Renew(now, validProof, request(a2, 1, 0)).Status, StatusJoining)
		is.Equal(len(r.commit(now)), 0)
	}
	is.Equal(r.commit(DefaultLease)[0].Kind, OpExpire)
	is.Equal(r.commit(DefaultLease)[0].Kind, OpJoin)
	is.Equal(r.grantor.Renew(DefaultLease, validProof, request(a2, 2, 0)).Status, StatusGranted)
}

// TestGrantorBootThatLeavesWhileItJoins checks that a boot that leaves while its join is
// pending is removed without waiting for a lease to expire.
func TestGrantorBootThatLeavesWhileItJoins(t *testing.T) {
	is := is.New(t)
	b := member("b", "b1")
	leaving := request(b, 2, 0)
	leaving.Leaving = true
	r := newHarness(0, member("a", "a1"))
	r.grantor.Renew(0, validProof, request(b, 1, 0))
	is.Equal(r.grantor.Renew(0, validProof, leaving).Status, StatusLeft)
	is.Equal(len(r.commit(0)), 0) // before it was proposed

	r.grantor.Renew(0, validProof, request(b, 1, 0))
	join := r.grantor.Tick(0, validProof)
	r.grantor.Renew(0, validProof, leaving)
	apply(r.roster, join[0].Ops...)
	r.grantor.SetRoster(0, r.roster)
	is.Equal(r.commit(0)[0].Kind, OpLeave) // after
}

func TestGrantorIgnoresTheMemberRecordOfALateRequest(t *testing.T) {
	is := is.New(t)
	r := newHarness(0, member("a", "a1"))
	draining := request(member("a", "a1"), 2, 1)
	draining.Draining = true
	r.grantor.Renew(0, validProof, draining)
	is.Equal(len(r.commit(0)), 1)
	is.True(r.roster.Membership().Members[0].Draining)
	r.grantor.Renew(0, validProof, request(member("a", "a1"), 1, 1)) // sent before
	is.Equal(len(r.commit(0)), 0)
}

func TestGrantorRetriesProposals(t *testing.T) {
	is := is.New(t)
	r := newHarness(0, member("a", "a1"))
	is.Equal(len(r.grantor.Tick(DefaultLease, validProof)), 1)
	is.Equal(len(r.grantor.Tick(DefaultLease+DefaultProposalTimeout-1, validProof)), 0)
	is.Equal(len(r.grantor.Tick(DefaultLease+DefaultProposalTimeout, validProof)), 1)
}

// TestGrantorSettles checks that the settled epoch is the lowest one that a router that
// can hold a lease has acknowledged.
func TestGrantorSettles(t *testing.T) {
	is := is.New(t)
	a, b, c := member("a", "a1"), member("b", "b1"), member("c", "c1")
	r := newHarness(0, a, b)
	settled := func(now time.Duration, m fleet.Member, epoch fleet.Epoch) fleet.Epoch {
		return r.grantor.Renew(now, validProof, request(m, 1, epoch)).Settled
	}
	is.Equal(settled(0, a, 2), fleet.Epoch(0)) // b may hold a lease and has not acknowledged an epoch
	is.Equal(settled(0, b, 2), fleet.Epoch(2))
	r.grantor.Renew(1, validProof, request(c, 1, 0))
	r.commit(1)
	is.Equal(settled(1, c, 0), fleet.Epoch(2)) // c starts at epoch 3, a and b do not know it
	is.Equal(settled(2, a, 3), fleet.Epoch(2))
	late := DefaultLease // b's lease, renewed at 0, is over; a renewed at 2
	is.Equal(settled(late, a, 3), fleet.Epoch(3))
	is.Equal(settled(late, b, 2), fleet.Epoch(3)) // its new lease comes with epoch 3
}

func TestGrantorSumsLoads(t *testing.T) {
	is := is.New(t)
	a, b := member("a", "a1"), member("b", "b1")
	r := newHarness(0, a, b)
	loaded := func(m fleet.Member, seq uint64, inFlight uint32) []PoolMean {
		req := request(m, seq, 2)
		req.Loads = []PoolLoad{{Pool: "llm", InFlight: inFlight, Upstreams: 2}}
		return r.grantor.Renew(0, validProof, req).Means
	}
	loaded(a, 1, 5)
	is.Equal(loaded(b, 1, 3), []PoolMean{{Pool: "llm", InFlight: 8, Upstreams: 4}})
	is.Equal(loaded(b, 2, 1), []PoolMean{{Pool: "llm", InFlight: 6, Upstreams: 4}})
	is.Equal(loaded(b, 1, 9), []PoolMean{{Pool: "llm", InFlight: 6, Upstreams: 4}}) // a late older request
	r.commit(DefaultLease)
	r.grantor.Renew(DefaultLease, validProof, request(a, 2, 2))
	is.Equal(len(r.grantor.loads.sums()), 0) // both have expired
}

// TestStaleConfigurationLosesTheLease checks that a router with an old configuration has
// no lease after ConfigGrace plus a lease, even across an election, and that a router
// that fetches the new configuration keeps its lease.
func TestStaleConfigurationLosesTheLease(t *testing.T) {
	cases := []struct {
		name    string
		elect   time.Duration // after the change
		longest time.Duration
	}{
		{"one leader", time.Hour, DefaultConfigGrace + DefaultLease},
		{"an election before the grace is over", 4 * time.Second, 4*time.Second + DefaultLease},
		{"an election after it", 6 * time.Second, DefaultConfigGrace + DefaultLease},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			const changeAt = 2 * time.Second
			r := newHarness(0, member("a", "a1"), member("b", "b1"))
			stale, fresh := NewHolder(Settings{}, member("a", "a1"), nil), NewHolder(Settings{}, member("b", "b1"), nil)
			var lastValid time.Duration
			for now := time.Duration(0); now < 20*time.Second; now += 100 * time.Millisecond {
				switch now {
				case changeAt:
					r.grantor.SetVersion(now, 2)
				case changeAt + tc.elect:
					r.grantor = NewGrantor(now, 1, Settings{}, r.roster, 2)
				}
				r.renewIfDue(now, stale, 1)
				r.renewIfDue(now, fresh, max(1, fresh.Version()))
				r.commit(now)
				if stale.Valid(now) {
					lastValid = now
				}
				is.New(t).True(now == 0 || fresh.Valid(now))
			}
			t.Logf("lease ended %v after the change", lastValid-changeAt)
			is.New(t).True(lastValid-changeAt <= tc.longest)
			is.New(t).Equal(len(r.roster.Membership().Members), 1)
		})
	}
}

// TestStaleConfigurationKeepsTheLeaseDuringTheGracePeriod checks that the same router keeps its
// lease with the old configuration while a long grace period has not ended.
func TestStaleConfigurationKeepsTheLeaseDuringTheGracePeriod(t *testing.T) {
	r := newHarness(0, member("a", "a1"))
	r.grantor.settings.ConfigGrace = time.Hour
	stale := NewHolder(Settings{}, member("a", "a1"), nil)
	r.grantor.SetVersion(0, 2)
	for now := time.Duration(0); now <= 20*time.Second; now += 100 * time.Millisecond {
		r.renewIfDue(now, stale, 1)
		r.commit(now)
	}
	is.New(t).True(stale.Valid(20 * time.Second))
}

// renewIfDue sends a renewal of the holder to the Grantor and handles the reply, if a
// renewal is due.
func (r *harness) renewIfDue(now time.Duration, h *Holder, version fleet.ConfigVersion) {
	if now >= h.NextRenewal() {
		h.HandleReply(now, r.grantor.Renew(now, validProof, h.Request(now, version, nil)))
	}
}

func TestHolderHandleReply(t *testing.T) {
	self := member("a", "a1")
	one := &fleet.Membership{Epoch: 5, Members: []fleet.Member{self}}
	grant := func(seq uint64) RenewReply {
		return RenewReply{Seq: seq, Status: StatusGranted, Lease: DefaultLease, Epoch: 5, Settled: 5, Version: 3}
	}
	with := func(seq uint64, edit func(*RenewReply)) RenewReply {
		r := grant(seq)
		edit(&r)
		return r
	}
	usable := Settings{}.withDefaults().usableLease(DefaultLease)
	// Requests 1, 2 and 3 are sent at 1 s, 2 s and 3 s; reply 1 came in time.
	cases := []struct {
		name     string
		replies  []RenewReply
		accepted []bool
		until    time.Duration
	}{
		{"in order", []RenewReply{grant(2), grant(3)}, []bool{true, true}, 3*time.Second + usable},
		{"received twice", []RenewReply{grant(2), grant(2)}, []bool{true, false}, 2*time.Second + usable},
		{"in reverse order", []RenewReply{grant(3), grant(2)}, []bool{true, false}, 3*time.Second + usable},
		{"to no request", []RenewReply{grant(9)}, []bool{false}, time.Second + usable},
		{"from a leader that knows an older epoch", []RenewReply{with(2, func(r *RenewReply) { r.Epoch = 4 })}, []bool{false}, time.Second + usable},
		{"from a leader that knows an older configuration", []RenewReply{with(2, func(r *RenewReply) { r.Version = 2 })}, []bool{false}, time.Second + usable},
		{"not from a leader", []RenewReply{{Seq: 2, Status: StatusNotLeader}}, []bool{false}, time.Second + usable},
		{"a newer epoch without its changes", []RenewReply{with(2, func(r *RenewReply) { r.Epoch = 7 })}, []bool{false}, time.Second + usable},
		{"changes with a gap", []RenewReply{with(2, func(r *RenewReply) { r.Epoch, r.Changes = 7, []Change{{Epoch: 7}} })}, []bool{false}, time.Second + usable},
		{"changes in order", []RenewReply{with(2, func(r *RenewReply) { r.Epoch, r.Changes = 7, []Change{{Epoch: 6}, {Epoch: 7}} })}, []bool{true}, 2*time.Second + usable},
		{"stale configuration", []RenewReply{with(2, func(r *RenewReply) { r.Status = StatusStaleConfig })}, []bool{true}, time.Second + usable},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			h := NewHolder(Settings{}, self, func(fleet.Membership, string) fleet.InstanceID { return self.ID })
			h.Request(time.Second, 3, nil)
			first := with(1, func(r *RenewReply) { r.Membership = one })
			is.True(h.HandleReply(time.Second, &first))
			h.Request(2*time.Second, 3, nil)
			h.Request(3*time.Second, 3, nil)
			for i := range tc.replies {
				is.Equal(h.HandleReply(3*time.Second, &tc.replies[i]), tc.accepted[i])
			}
			is.Equal(h.Authority().Until(), tc.until)
			is.True(h.Owns(tc.until-1, "u"))
			is.True(!h.Owns(tc.until, "u")) // a frozen holder that wakes up at the end of its lease
		})
	}
}

func TestHolderReleasesTheLease(t *testing.T) {
	is := is.New(t)
	self := member("a", "a1")
	r := newHarness(0, self)
	h := NewHolder(Settings{}, self, func(fleet.Membership, string) fleet.InstanceID { return self.ID })
	work := []PoolLoad{{Pool: "llm", InFlight: 1, Upstreams: 1}}
	exchange := func(loads []PoolLoad) {
		h.HandleReply(0, r.grantor.Renew(0, validProof, h.Request(0, 1, loads)))
	}
	exchange(work)
	h.Leave()
	exchange(work)
	is.True(h.Valid(1)) // its requests in flight continue
	late := r.grantor.Renew(0, validProof, h.Request(0, 1, work))
	req := h.Request(0, 1, nil)
	is.True(!h.Valid(1)) // from before the request is sent
	h.HandleReply(0, late)
	is.True(!h.Valid(1)) // a late grant doesn't renew the released lease
	h.HandleReply(0, r.grantor.Renew(0, validProof, req))
	is.True(h.HasLeft())
	is.Equal(r.commit(0)[0].Kind, OpLeave)
	is.Equal(len(r.roster.Membership().Members), 0)
}

// TestRenewalsAfterANoticeAreSpread checks that a membership change doesn't cause all
// renewals of a large fleet at the same time, while a new configuration, which operators
// wait for, causes them immediately.
func TestRenewalsAfterANoticeAreSpread(t *testing.T) {
	is := is.New(t)
	const routers, pace = 300, time.Second
	const now = time.Minute
	var tenths [10]int
	for i := range routers {
		self := member(fmt.Sprint("r", i), fmt.Sprint("boot", i))
		h := NewHolder(Settings{}, self, nil)
		h.Request(now, 1, nil)
		is.True(h.HandleReply(now, &RenewReply{Seq: 1, Status: StatusGranted, Lease: 3 * time.Second, Version: 1, Pace: pace}))
		h.nextAt = now + time.Hour
		h.HandleNotice(now, Notice{Epoch: 1, Version: 1})
		is.True(h.NextRenewal() >= now && h.NextRenewal() < now+pace)
		tenths[(h.NextRenewal()-now)*10/pace]++
		h.HandleNotice(now, Notice{Epoch: 1, Version: 2})
		is.Equal(h.NextRenewal(), now)
	}
	for _, n := range tenths {
		is.True(n > 0 && n < routers/4)
	}
}

// The routers of a fleet that have started together ask the leader for leases one after the other,
// those of a small one soon.
func TestStartingRoutersAskForLeasesAtOnce(t *testing.T) {
	is := is.New(t)
	for _, tc := range []struct {
		pace     time.Duration
		min, max time.Duration
	}{
		{30 * time.Millisecond, DefaultSettleInterval, DefaultSettleInterval},
		{3 * time.Second, DefaultRenewInterval * 2 / 3, 2 * DefaultRenewInterval},
	} {
		distinct := map[time.Duration]bool{}
		for i := range 50 {
			h := NewHolder(Settings{}, fleet.Member{ID: "i", Boot: fleet.BootID(fmt.Sprint(i))}, nil)
			request := h.Request(0, 0, nil)
			is.True(h.HandleReply(0, &RenewReply{Seq: request.Seq, Status: StatusJoining, Version: 1, Pace: tc.pace, Relayed: true}))
			is.True(h.NextRenewal() >= tc.min && h.NextRenewal() <= tc.max)
			distinct[h.NextRenewal()] = true
		}
		is.Equal(len(distinct) > 40, tc.min < tc.max)
	}
}
