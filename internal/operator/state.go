package operator

//go:generate go tool msgp -tests=false -io=false -unexported -file state.go

import (
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/lists"
	"github.com/wigeonflow/wigeonflow/internal/routes"
)

// State is the configuration of one version. It is never changed once it is
// published.
type State struct {
	Version fleet.ConfigVersion `msg:"v" json:"version"`
	Lists   lists.Both          `msg:"l" json:"lists"`
	// What is out of service, each ordered.
	ZonesOut     []string `msg:"z,omitempty" json:"zones_out"`
	InstancesOut []string `msg:"i,omitempty" json:"instances_out"`
	UpstreamsOut []string `msg:"u,omitempty" json:"upstreams_out"`
	// Orders holds the newest order of each upstream, ordered by upstream.
	Orders []Order `msg:"o,omitempty" json:"orders"`
	// Fencing is the largest fencing number handed out.
	Fencing fleet.FencingNumber `msg:"f" json:"fencing"`
	// Routes is the routing table in force; nil before the first.
	Routes *routes.Document `msg:"t,omitempty" json:"-"`
}

// Delta is what one version changed.
type Delta struct {
	Version fleet.ConfigVersion `msg:"v"`
	// Workspaces were added or changed; Removed are gone.
	Workspaces []lists.Workspace   `msg:"w,omitempty"`
	Removed    []fleet.WorkspaceID `msg:"r,omitempty"`
	// Plans and Allowances replace the former ones where set.
	Plans      *planList         `msg:"p,omitempty"`
	Allowances *lists.Allowances `msg:"a,omitempty"`
	Switch     *Switch           `msg:"s,omitempty"`
	Order      *Order            `msg:"o,omitempty"`
	// Routes changes the routing table where set.
	Routes *routes.Patch `msg:"t,omitempty"`
}

// planList is a list of plans that may be set and empty.
type planList struct {
	Plans []lists.Plan `msg:"p"`
}

// Switch takes something out of service or back in.
type Switch struct {
	Kind Kind   `msg:"k"`
	Name string `msg:"n"`
	Out  bool   `msg:"o"`
}

// Update brings a router from its version to a newer one: by Deltas in order,
// or by a Full copy when it is too far behind. Both are empty when it is up to
// date.
type Update struct {
	Full   *State  `msg:"f,omitempty"`
	Deltas []Delta `msg:"d,omitempty"`
}

// snapshot is the whole of a Config.
type snapshot struct {
	State      State             `msg:"state"`
	Deltas     []Delta           `msg:"deltas"`
	Operations []operationRecord `msg:"operations"`
}

// operationRecord keeps the first answer to an operation.
type operationRecord struct {
	ID string `msg:"i"`
	// Digest is the SHA-256 of the whole command.
	Digest []byte `msg:"d"`
	Answer Answer `msg:"a"`
}
