package session

//go:generate go tool msgp -tests=false -io=false -file message.go

import (
	"time"

	"github.com/wigeonflow/wigeonflow/internal/deflate"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/mesh"
	"github.com/wigeonflow/wigeonflow/internal/rollout"
)

// PoolLoad is the load of one router at the upstreams of a pool that it owns.
type PoolLoad struct {
	Pool     fleet.PoolID `msg:"p"`
	InFlight uint32       `msg:"f"`
	// Upstreams is the number of the pool's upstreams that the router owns.
	Upstreams uint32 `msg:"u"`
	// Warm and WarmUpstreams are the in-flight requests at, and the number of, the
	// upstreams that are past their cold start.
	Warm          uint32 `msg:"w,omitempty"`
	WarmUpstreams uint32 `msg:"x,omitempty"`
}

// PoolMean holds the sums of the PoolLoads of a pool over the fleet. InFlight divided
// by Upstreams is the mean load of an upstream.
type PoolMean struct {
	Pool      fleet.PoolID `msg:"p"`
	InFlight  uint32       `msg:"f"`
	Upstreams uint32       `msg:"u"`
	// Warm and WarmUpstreams are the sums for upstreams past their cold start.
	Warm          uint32 `msg:"w,omitempty"`
	WarmUpstreams uint32 `msg:"x,omitempty"`
}

// RenewRequest requests a lease from the control leader. From a router that is not a
// member yet it is a request to join.
type RenewRequest struct {
	Instance fleet.InstanceID       `msg:"i"`
	Boot     fleet.BootID           `msg:"b"`
	Addr     string                 `msg:"a"`
	Zone     fleet.AvailabilityZone `msg:"z"`
	Weight   uint32                 `msg:"w,omitempty"`
	// Seq numbers the requests of one boot, from 1.
	Seq uint64 `msg:"s"`
	// KnownEpoch is the newest epoch that the holder has adopted. It is also an
	// acknowledgement: the holder never returns to an older one.
	KnownEpoch fleet.Epoch `msg:"e"`
	// KnownVersion is the configuration in force at the router.
	KnownVersion fleet.ConfigVersion `msg:"v"`
	Loads        []PoolLoad          `msg:"l,omitempty"`
	// Leaving announces a planned stop. If nothing is in flight, the request
	// releases the lease.
	Leaving bool `msg:"x,omitempty"`
	// Draining requests that other members own this one's keys.
	Draining bool `msg:"g,omitempty"`
	// AcceptsPacked is set if the holder reads RenewReply.Packed. Earlier releases don't.
	AcceptsPacked bool `msg:"k,omitempty"`
	// KnowsRelays is set if the router was told of the relays lately.
	KnowsRelays bool `msg:"kr,omitempty"`
	// Note is data that the router wants new routers to have, up to MaxNote bytes; empty for
	// none. The leader doesn't read it.
	Note []byte `msg:"no,omitempty"`
	// NoteID names what Note is about: it changes when that does, unlike the note's details. The
	// log holds one note for each ID; 0 keeps the note out of it.
	NoteID uint64 `msg:"ni,omitempty"`
	// Rollouts holds what the router has seen of the roll-outs under way.
	Rollouts []rollout.Report `msg:"ro,omitempty"`
}

const (
	// MaxNote bounds a note in bytes; longer ones are ignored.
	MaxNote = 4 << 10
	// noteLife is how long the leader keeps a note that no router sends again. It covers a
	// restart of all routers.
	noteLife = 30 * time.Second
)

// member returns the member record that the request describes.
func (r *RenewRequest) member() fleet.Member {
	return fleet.Member{ID: r.Instance, Boot: r.Boot, Addr: r.Addr, Zone: r.Zone, Weight: r.Weight, Draining: r.Draining}
}

// releasesLease reports whether the request releases the lease.
func (r *RenewRequest) releasesLease() bool {
	if !r.Leaving {
		return false
	}
	for _, l := range r.Loads {
		if l.InFlight > 0 {
			return false
		}
	}
	return true
}

// Status is the outcome of a renewal.
type Status uint8

// Statuses of a RenewReply.
const (
	// StatusGranted extends the lease.
	StatusGranted Status = iota + 1
	// StatusNotLeader means that the instance cannot prove its leadership; send the
	// renewal to another control instance.
	StatusNotLeader
	// StatusJoining means that the router's join is not committed yet; renew again
	// soon.
	StatusJoining
	// StatusStaleConfig means that the router must fetch the configuration
	// before it gets a lease.
	StatusStaleConfig
	// StatusLeft confirms that the lease was released.
	StatusLeft
)

// RenewReply answers a RenewRequest.
type RenewReply struct {
	// Seq is the Seq of the request.
	Seq    uint64 `msg:"s"`
	Status Status `msg:"t"`
	// Lease is counted from the instant at which the holder sent the request; zero
	// unless granted.
	Lease time.Duration `msg:"d,omitempty"`
	// Epoch is the newest committed epoch.
	Epoch fleet.Epoch `msg:"e"`
	// Changes lead from the request's KnownEpoch to Epoch. If the history does not
	// reach back that far, Membership holds the complete membership instead.
	Changes    []Change          `msg:"c,omitempty"`
	Membership *fleet.Membership `msg:"m,omitempty"`
	// Packed is Membership, deflated, in its place: the leader packs it once an epoch.
	Packed []byte `msg:"k,omitempty"`
	// Settled is the newest epoch that every router that can hold a lease has
	// acknowledged.
	Settled fleet.Epoch `msg:"o"`
	// Version is the newest committed configuration version.
	Version fleet.ConfigVersion `msg:"v"`
	Means   []PoolMean          `msg:"n,omitempty"`
	// Pace is the mean time between renewals of a router that waits for a grant or
	// for an epoch to settle.
	Pace time.Duration `msg:"p,omitempty"`
	// Control are the current mesh addresses of the control group, if the leader
	// knows them. They may differ from the addresses in the settings.
	Control []string `msg:"g,omitempty"`
	// Relays are routers from which a router that isn't a member yet may read state
	// that they already have: after all routers were killed, every router waits until
	// the lease of its former boot ends.
	Relays []fleet.Member `msg:"r,omitempty"`
	// Relayed marks the reply of a member that doesn't lead to a router without a
	// configuration: it confirms the version and grants nothing.
	Relayed bool `msg:"rl,omitempty"`
	// Note is the newest note of any router, sent NoteAge ago, for a router that has none.
	Note    []byte        `msg:"no,omitempty"`
	NoteAge time.Duration `msg:"na,omitempty"`
}

// Granted reports whether the reply extends the lease.
func (r *RenewReply) Granted() bool { return r.Status == StatusGranted }

// Withhold takes back a grant that was not sent. The grantor goes on as if the router held the
// lease, which is safe.
func (r *RenewReply) Withhold() {
	r.Status, r.Lease, r.Membership, r.Packed, r.Changes, r.Means = StatusJoining, 0, nil, nil, nil, nil
}

// maxMembershipBytes bounds an unpacked membership: a hundred thousand members.
const maxMembershipBytes = 16 << 20

// packMembership returns a membership as in RenewReply.Packed.
func packMembership(m *fleet.Membership) ([]byte, error) {
	encoded, err := m.MarshalMsg(nil)
	if err != nil {
		return nil, err
	}
	return deflate.Compress(encoded), nil
}

// unpackMembership is the reverse of packMembership.
func unpackMembership(packed []byte) (*fleet.Membership, error) {
	encoded, err := deflate.Decompress(packed, maxMembershipBytes)
	if err != nil {
		return nil, err
	}
	m := new(fleet.Membership)
	return m, mesh.Decode(encoded, m)
}

// Notice announces that a renewal would return something new. The control leader
// sends it to every router whenever it changes. It grants nothing, so losing,
// delaying or duplicating it is harmless.
type Notice struct {
	Epoch   fleet.Epoch         `msg:"e"`
	Settled fleet.Epoch         `msg:"o"`
	Version fleet.ConfigVersion `msg:"v"`
}
