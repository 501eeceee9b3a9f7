package admission

//go:generate go tool msgp -tests=false -io=false -file messages.go

import "github.com/wigeonflow/wigeonflow/internal/fleet"

// Sums is the load of those upstreams of one pool that accept new work.
type Sums struct {
	// InFlight is the number of requests in flight on upstreams that are past their
	// start, and Upstreams the number of these upstreams.
	InFlight  int `msg:"f"`
	Upstreams int `msg:"u"`
	// All and AllUpstreams include upstreams that are starting.
	All          int `msg:"a"`
	AllUpstreams int `msg:"n"`
}

// PoolLoad is the load of one pool in the response to a session renewal.
type PoolLoad struct {
	// Total sums over all instances.
	Total Sums `msg:"t"`
	// Own is the part of Total that this instance reported. The gate replaces it
	// by its current sums.
	Own Sums `msg:"o"`
}

// Load is one instance's part of a pool's sums, as its session renewal reports it.
type Load struct {
	Pool fleet.PoolID `msg:"p"`
	Sums `msg:"s"`
	// Waiting is the number of requests queued at this instance's upstreams of the pool.
	Waiting int `msg:"w,omitempty"`
}

// Handover is the state of an upstream that a former owner passes to the next one.
type Handover struct {
	Upstream fleet.UpstreamID `msg:"u"`
	Boot     fleet.BootID     `msg:"b"`
	// InFlight is the number of requests that the former owner knows to be in flight.
	InFlight int `msg:"f"`
	// Window is the concurrency that the upstream has sustained.
	Window float64 `msg:"w"`
}
