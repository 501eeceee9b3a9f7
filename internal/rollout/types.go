package rollout

//go:generate go tool msgp -tests=false -io=false -file types.go

import (
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// State is the state of a roll-out. It only grows.
type State uint8

// States of a roll-out.
const (
	// InProgress sends the new version Share of the pool's requests.
	InProgress State = iota + 1
	// Finishing sends the old version no new requests, while those that it runs end.
	Finishing
	// Completed means that operators stop the upstreams of other versions at once.
	Completed
	// RolledBack means that the new version gets nothing any more.
	RolledBack
)

// FullShare is the Share at which the new version gets all requests.
const FullShare = 1000

// Rollout is an order to move a pool's traffic to upstreams of another version, and its course.
type Rollout struct {
	// ID is the configuration version that the order made.
	ID   fleet.ConfigVersion `msg:"i" json:"id"`
	Pool fleet.PoolID        `msg:"p" json:"pool"`
	// To is the new version.
	To       string        `msg:"t" json:"to"`
	Duration time.Duration `msg:"d" json:"duration_ns"`
	// StartedAt is the time of day of the order in milliseconds since 1970.
	StartedAt int64 `msg:"a" json:"started_at_ms"`
	// Step numbers the steps from 1; each one is a change of State or Share.
	Step  uint32 `msg:"n" json:"step"`
	State State  `msg:"s" json:"state"`
	// Share is the part of the pool's requests, of FullShare, that the new version may get.
	Share uint16 `msg:"h" json:"share"`
	// Reason tells operators what the last step rests on.
	Reason string `msg:"r,omitempty" json:"reason,omitempty"`
	// Rejected holds the versions, one a line, whose own roll-outs were rolled back and which no order
	// has named since. They get nothing, see Excludes.
	Rejected string `msg:"x,omitempty" json:"rejected,omitempty"`
}

// Report is what a router has seen of one roll-out since it learned of it. Its counters only grow
// during one boot of the router.
type Report struct {
	ID   fleet.ConfigVersion `msg:"i"`
	Pool fleet.PoolID        `msg:"p"`
	// Step is the newest step that the router acts upon.
	Step uint32 `msg:"n"`
	// RunningOld and RunningNew are the requests that run now at upstreams of the old versions
	// and of the new one.
	RunningOld uint32  `msg:"o"`
	RunningNew uint32  `msg:"w"`
	Counts     []Count `msg:"c,omitempty"`
}

// LatencyBuckets is the number of buckets of a latency distribution: bucket i counts the answers
// of up to 2^(i/2) * 4 ms, the last one all longer ones.
const LatencyBuckets = 24

// Count is what a router has seen of one route, at upstreams of one zone and of the old versions or
// the new one.
type Count struct {
	Route string                 `msg:"r"`
	Zone  fleet.AvailabilityZone `msg:"z"`
	New   bool                   `msg:"n,omitempty"`
	// Answers counts the answers, and Failed those of them that were failures of the upstream.
	Answers uint32 `msg:"a"`
	Failed  uint32 `msg:"f,omitempty"`
	// Latency counts answers by the time to the first event of a stream or to a complete answer,
	// Pause by the longest pause of a stream, both up to the last bucket with a count.
	Latency []uint32 `msg:"l,omitempty"`
	Pause   []uint32 `msg:"p,omitempty"`
}
