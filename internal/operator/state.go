package operator

//go:generate go tool msgp -tests=false -io=false -unexported -file state.go

import (
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/lists"
	"github.com/wigeonflow/wigeonflow/internal/rollout"
	"github.com/wigeonflow/wigeonflow/internal/routes"
)

// State is the configuration at one version. It is immutable once published.
type State struct {
	Version fleet.ConfigVersion `msg:"v" json:"version"`
	Lists   lists.Config        `msg:"l" json:"lists"`
	// Names of what is out of service; each list is sorted.
	ZonesOut     []string `msg:"z,omitempty" json:"zones_out"`
	InstancesOut []string `msg:"i,omitempty" json:"instances_out"`
	UpstreamsOut []string `msg:"u,omitempty" json:"upstreams_out"`
	// Orders holds the newest order of each upstream, sorted by upstream.
	Orders []Order `msg:"o,omitempty" json:"orders"`
	// Fencing is the largest fencing number issued.
	Fencing fleet.FencingNumber `msg:"f" json:"fencing"`
	// Rollouts holds the newest roll-out of each pool, sorted by pool.
	Rollouts []rollout.Rollout `msg:"ro,omitempty" json:"rollouts,omitempty"`
	// Routes is the routing table in force; nil if there is none yet.
	Routes *routes.Document `msg:"t,omitempty" json:"-"`
}

// Delta holds the changes that one version made.
type Delta struct {
	Version fleet.ConfigVersion `msg:"v"`
	// Workspaces holds the added and changed workspaces, Removed the IDs of the
	// deleted ones.
	Workspaces []lists.Workspace   `msg:"w,omitempty"`
	Removed    []fleet.WorkspaceID `msg:"r,omitempty"`
	// Plans and Allowances replace the previous ones if set.
	Plans      *planList         `msg:"p,omitempty"`
	Allowances *lists.Allowances `msg:"a,omitempty"`
	Switch     *Switch           `msg:"s,omitempty"`
	Order      *Order            `msg:"o,omitempty"`
	// Routes patches the routing table if set.
	Routes *routes.Patch `msg:"t,omitempty"`
	// Rollout replaces the roll-out of its pool if set.
	Rollout *rollout.Rollout `msg:"ro,omitempty"`
}

// planList wraps a list of plans, so that an empty list differs from none.
type planList struct {
	Plans []lists.Plan `msg:"p"`
}

// Switch is a change that takes a zone, an instance or an upstream out of service
// or back in.
type Switch struct {
	Kind Kind   `msg:"k"`
	Name string `msg:"n"`
	Out  bool   `msg:"o"`
}

// Update brings a router from its version to a newer one: by consecutive Deltas,
// or by a Full copy if it is too far behind. Both are empty if it is up to date.
type Update struct {
	Full   *State  `msg:"f,omitempty"`
	Deltas []Delta `msg:"d,omitempty"`
}

// snapshot is the encoded form of a Config.
type snapshot struct {
	State      State             `msg:"state"`
	Deltas     []Delta           `msg:"deltas"`
	Operations []operationRecord `msg:"operations"`
}

// operationRecord stores the answer to an operation, so that a retry gets the
// same one.
type operationRecord struct {
	ID string `msg:"i"`
	// Digest is the command's fingerprint, see Command.fingerprint.
	Digest []byte `msg:"d"`
	Answer Answer `msg:"a"`
}
