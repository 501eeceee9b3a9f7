package admission

//go:generate go tool msgp -tests=false -io=false -file messages.go

import "github.com/wigeonflow/wigeonflow/internal/fleet"

// Sums is the load of a set of upstreams of one pool that take new work.
type Sums struct {
	// InFlight and Upstreams are the requests in flight on the upstreams that
	// are past their start, and the number of these.
	InFlight  int `msg:"f"`
	Upstreams int `msg:"u"`
	// All and AllUpstreams count those that are starting as well.
	All          int `msg:"a"`
	AllUpstreams int `msg:"n"`
}

// PoolLoad is what a session renewal answers about one pool.
type PoolLoad struct {
	// Total sums over all instances.
	Total Sums `msg:"t"`
	// Own is the part of Total that this instance reported. The gate replaces it
	// by its present numbers.
	Own Sums `msg:"o"`
}

// Load is one instance's part of a pool's sums, for its session renewal.
type Load struct {
	Pool fleet.PoolID `msg:"p"`
	Sums `msg:"s"`
	// Waiting is the number of queued requests.
	Waiting int `msg:"w,omitempty"`
}

// Handover is what a former owner tells the next one about an upstream.
type Handover struct {
	Upstream fleet.UpstreamID `msg:"u"`
	Boot     fleet.BootID     `msg:"b"`
	// InFlight is the work that still runs under the former owner.
	InFlight int `msg:"f"`
	// Window is the concurrency that the upstream has been seen to bear.
	Window float64 `msg:"w"`
}
