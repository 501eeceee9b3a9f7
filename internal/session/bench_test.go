package session

import (
	"fmt"
	"testing"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// fleetSizes are the numbers of routers that the benchmarks compare.
var fleetSizes = []int{3, 9, 50, 200, 410}

const (
	benchPools = 10 // the pools of nine models and of one service
	benchBoot  = "3f0c6a0e-7d0a-4a57-9d59-0d6c3b1f9a11"
)

func benchMember(i int) fleet.Member {
	return fleet.Member{
		ID: fleet.InstanceID(fmt.Sprintf("router-%03d", i)), Boot: benchBoot,
		Addr: fmt.Sprintf("10.20.%d.%d:7400", i/250, i%250), Zone: "bostandyk", Weight: 1,
	}
}

// benchLoads returns the loads of router i for the given number of pools. With 600
// upstreams in the fleet most routers own upstreams of one or two pools.
func benchLoads(i, pools int) []PoolLoad {
	var loads []PoolLoad
	for p := range pools {
		loads = append(loads, PoolLoad{Pool: fleet.PoolID(fmt.Sprintf("pool-%02d", (i+p)%benchPools)), InFlight: 25, Upstreams: 1, Warm: 25, WarmUpstreams: 1})
	}
	return loads
}

type benchFleet struct {
	roster  *Roster
	grantor *Grantor
	reqs    []*RenewRequest
}

func newBenchFleet(n int) *benchFleet {
	f := &benchFleet{roster: NewRoster(Settings{})}
	var ops []Op
	for i := range n {
		ops = append(ops, Op{OpJoin, benchMember(i)})
	}
	apply(f.roster, ops...)
	f.grantor = NewGrantor(0, 1, Settings{}, f.roster, 17)
	for i := range n {
		req := request(benchMember(i), 1, 1)
		req.KnownVersion, req.Loads = 17, benchLoads(i, 2)
		f.reqs = append(f.reqs, req)
		f.grantor.Renew(0, validProof, req)
	}
	return f
}

// raiseEpoch commits a membership change that no router has acknowledged.
func (f *benchFleet) raiseEpoch() {
	m := benchMember(0)
	m.Weight = 1 + uint32(f.roster.Membership().Epoch)
	apply(f.roster, Op{OpJoin, m})
	f.grantor.SetRoster(0, f.roster)
}

// BenchmarkRenew measures one renewal at the leader, from encoded request to encoded
// reply, with the epoch settled and not settled.
func BenchmarkRenew(b *testing.B) {
	for _, n := range fleetSizes {
		for _, settled := range []bool{true, false} {
			b.Run(fmt.Sprintf("routers=%d/settled=%v", n, settled), func(b *testing.B) {
				f := newBenchFleet(n)
				if !settled {
					f.raiseEpoch()
				}
				var wires [][]byte
				for _, req := range f.reqs {
					wire, _ := req.MarshalMsg(nil)
					wires = append(wires, wire)
				}
				buf := make([]byte, 0, 4096)
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					var req RenewRequest
					if _, err := req.UnmarshalMsg(wires[i%n]); err != nil {
						b.Fatal(err)
					}
					req.Seq = uint64(i)
					buf, _ = f.grantor.Renew(time.Millisecond, validProof, &req).MarshalMsg(buf[:0])
				}
			})
		}
	}
}

// BenchmarkTick measures the leader's periodic check of all sessions.
func BenchmarkTick(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("routers=%d", n), func(b *testing.B) {
			f := newBenchFleet(n)
			for b.Loop() {
				f.grantor.Tick(time.Millisecond, validProof)
			}
		})
	}
}

// BenchmarkOwns measures the check before each dispatch, without the cost of the
// OwnerFunc itself.
func BenchmarkOwns(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("routers=%d", n), func(b *testing.B) {
			f := newBenchFleet(n)
			self := benchMember(1)
			h := NewHolder(Settings{}, self, func(fleet.Membership, string) fleet.InstanceID { return self.ID })
			h.HandleReply(0, f.grantor.Renew(0, validProof, h.Request(0, 17, nil)))
			a := h.Authority()
			for b.Loop() {
				if !a.Valid(1) {
					b.Fatal("the lease isn't valid after a granted renewal")
				}
				a.Owns(1, "upstream")
			}
		})
	}
}

// TestEncodedSizes logs the encoded sizes of renewals and notices, and checks that
// renewals and membership changes use at most half of the budget for control traffic.
func TestEncodedSizes(t *testing.T) {
	const (
		budget         = 2048 // bytes per second and router
		changesPerDay  = 2 * (350 + 9)
		secondsPerDay  = 24 * 60 * 60
		unsettledFor   = 2 // seconds of more frequent renewals after a change
		noticesPerStep = 2 // one for a new epoch, one when it settles
	)
	for _, n := range fleetSizes {
		f := newBenchFleet(n)
		size := func(m interface{ MarshalMsg([]byte) ([]byte, error) }) int {
			b, err := m.MarshalMsg(nil)
			if err != nil {
				t.Fatal(err)
			}
			return len(b)
		}
		req := f.reqs[1]
		request := size(req)
		reply := size(f.grantor.Renew(1, validProof, req))
		f.raiseEpoch()
		delta := size(f.grantor.Renew(1, validProof, req))
		join := *req
		join.KnownEpoch = 0
		full := size(f.grantor.Renew(1, validProof, &join))
		notice := size(&Notice{Epoch: 1000, Settled: 1000, Version: 1000})
		steady := request + reply
		quicker := unsettledFor * int(DefaultRenewInterval/DefaultSettleInterval) * (request + reply)
		perChange := delta - reply + noticesPerStep*notice + quicker
		daily := changesPerDay * perChange / secondsPerDay
		t.Logf("%3d routers: request %d B, reply %d B, with a change %d B, with the complete membership %d B, notice %d B; per router %d B/s steady, %d B/s for changes",
			n, request, reply, delta, full, notice, steady, daily)
		if steady+daily > budget/2 {
			t.Errorf("%d routers: control traffic of %d B/s per router exceeds half the budget, %d B/s", n, steady+daily, budget/2)
		}
	}
}
