package fleet

import (
	"math/rand/v2"
	"strconv"
)

//go:generate go tool msgp -tests=false -io=false -file types.go
//go:generate go tool msgp -tests=false -io=false -file outcome.go

// InstanceID identifies one instance of the fleet. It stays the same across restarts.
type InstanceID string

// BootID identifies one start of an instance's process or of an upstream.
type BootID string

// NewBootID returns a random BootID for this start of the process. It is short,
// because every router keeps the boot IDs of all routers; 64 random bits suffice to
// distinguish the starts of one instance.
func NewBootID() BootID {
	return BootID(strconv.FormatUint(rand.Uint64(), 36))
}

// AvailabilityZone is the name of a failure domain inside a region.
type AvailabilityZone string

// Region is the name of a group of availability zones that share one control group.
type Region string

// WorkspaceID identifies a workspace.
type WorkspaceID string

// UpstreamID identifies an upstream: one engine, or one process of a service.
type UpstreamID string

// PoolID is the name of a group of upstreams that serve the same requests.
type PoolID string

// ModelName is the name of a model as callers write it in a request.
type ModelName string

// ChatID identifies a chat within a workspace.
type ChatID string

// RequestID identifies one request of a caller. All attempts of the request share it.
type RequestID string

// Epoch is the number of a committed membership of the routers. It never decreases.
type Epoch uint64

// ConfigVersion is the version number of the committed configuration. It never
// decreases.
type ConfigVersion uint64

// FencingNumber orders the claims under which owners carry out orders at an upstream: a
// later claim has a larger number, so that an engine can reject the calls of an earlier
// owner.
type FencingNumber uint64

// Member is one router in the committed membership.
type Member struct {
	ID   InstanceID       `msg:"id"`
	Boot BootID           `msg:"boot"`
	Addr string           `msg:"addr"` // mesh address, IP:port
	Zone AvailabilityZone `msg:"zone"`
	// Weight scales the share of upstreams and workspaces that the member owns; 0
	// means 1.
	Weight uint32 `msg:"weight"`
	// Draining is set while the member drains: it keeps its lease for its in-flight
	// requests and owns nothing, unless every member is draining.
	Draining bool `msg:"draining,omitempty"`
}

// Membership is the set of routers under one epoch, sorted by ID.
type Membership struct {
	Epoch   Epoch    `msg:"epoch"`
	Members []Member `msg:"members"`
}

// Upstream is an entry of the platform's upstream list.
type Upstream struct {
	ID   UpstreamID       `msg:"id" json:"id"`
	Pool PoolID           `msg:"pool" json:"pool"`
	Addr string           `msg:"addr" json:"addr"` // IP:port of its HTTP server
	Zone AvailabilityZone `msg:"zone" json:"zone"`
	Boot BootID           `msg:"boot" json:"boot"`
	// Leaving is set once the platform has announced that the upstream will stop.
	Leaving bool `msg:"leaving" json:"leaving"`
	// Version is the version of its software, and Slots the number of requests that it runs
	// at once; empty and 0 if the platform doesn't tell them.
	Version string `msg:"version,omitempty" json:"version,omitempty"`
	Slots   int    `msg:"slots,omitempty" json:"slots,omitempty"`
}
