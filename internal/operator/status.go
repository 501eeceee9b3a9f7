package operator

import (
	"context"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// Backend gives the operators' HTTP API access to the control member that it
// runs on.
type Backend interface {
	// Propose commits an encoded Command and returns the encoded Answer. Its
	// errors are of type ErrNotLeader or ErrUnavailable if the command was not
	// proposed; after any other error it may still be committed.
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// Committed returns a configuration that includes every change accepted
	// before the call. It returns ErrNotLeader or ErrUnavailable if this member
	// cannot guarantee that.
	Committed(ctx context.Context) (*Committed, error)
	// Status returns the state of the fleet, or the errors of Committed.
	Status(ctx context.Context) (*Status, error)
	// Upstreams returns the upstreams, sorted by ID, or the errors of Committed.
	Upstreams(ctx context.Context) ([]UpstreamStatus, error)
	// Leader returns the IP:port at which operators reach the leader, or "" if it
	// is unknown or this member itself.
	Leader() string
	// Leads reports whether this member leads, as far as it knows.
	Leads() bool
}

// Status is the state of the fleet as the control leader knows it.
type Status struct {
	Leader  fleet.InstanceID    `json:"leader"`
	Version fleet.ConfigVersion `json:"version"`
	// InForce is the lowest version among the routers that hold a lease, or
	// Version if there are none.
	InForce fleet.ConfigVersion `json:"in_force"`
	// Slowest is the ID of a router whose version is InForce.
	Slowest fleet.InstanceID `json:"slowest,omitempty"`
	Epoch   fleet.Epoch      `json:"epoch"`
	Settled fleet.Epoch      `json:"settled"`
	// LossesLeft is how many control members may fail before changes are no
	// longer accepted.
	LossesLeft   int             `json:"losses_left"`
	Control      []ControlStatus `json:"control"`
	Routers      []RouterStatus  `json:"routers"`
	ZonesOut     []string        `json:"zones_out"`
	InstancesOut []string        `json:"instances_out"`
	UpstreamsOut []string        `json:"upstreams_out"`
	Orders       []Order         `json:"orders"`
}

// ControlStatus is the state of one control member.
type ControlStatus struct {
	Instance fleet.InstanceID `json:"instance"`
	Addr     string           `json:"addr"`
	// Role is "leader", "voter" or "learner".
	Role string `json:"role"`
	// Behind is the number of committed log entries that the member has not yet
	// acknowledged to the leader.
	Behind uint64 `json:"behind"`
	// Reachable is set while the leader receives messages from the member.
	Reachable bool `json:"reachable"`
}

// RouterStatus is the state of one router.
type RouterStatus struct {
	Instance fleet.InstanceID       `json:"instance"`
	Boot     fleet.BootID           `json:"boot"`
	Addr     string                 `json:"addr"`
	Zone     fleet.AvailabilityZone `json:"zone"`
	Version  fleet.ConfigVersion    `json:"version"`
	Epoch    fleet.Epoch            `json:"epoch"`
	// LeaseLeft is in nanoseconds; 0 if the router has no lease.
	LeaseLeft time.Duration `json:"lease_left"`
	InFlight  uint32        `json:"in_flight"`
	Upstreams uint32        `json:"upstreams"`
}

// UpstreamStatus is the state of one upstream.
type UpstreamStatus struct {
	fleet.Upstream
	// Out is set if operators took the upstream or its zone out of service.
	Out   bool             `json:"out"`
	Owner fleet.InstanceID `json:"owner,omitempty"`
	Order *Order           `json:"order,omitempty"`
}

// SetConfig sets the fields that come from the configuration, and computes InForce
// and Slowest from s.Routers.
func (s *Status) SetConfig(c *State) {
	s.Version = c.Version
	s.ZonesOut, s.InstancesOut, s.UpstreamsOut = c.ZonesOut, c.InstancesOut, c.UpstreamsOut
	s.Orders = c.Orders
	s.InForce, s.Slowest = c.Version, ""
	for _, r := range s.Routers {
		if r.LeaseLeft > 0 && (s.Slowest == "" || r.Version < s.InForce) {
			s.InForce, s.Slowest = r.Version, r.Instance
		}
	}
}
