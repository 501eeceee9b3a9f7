package operator

import (
	"context"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// Backend is what the operators' interface needs of the control member that it
// runs on.
type Backend interface {
	// Propose commits an encoded Command and returns the encoded Answer. Its
	// errors are of type ErrNotLeader or ErrUnavailable when the command was
	// not proposed; any other error means that it may still be committed.
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// Committed returns a configuration that holds every change which was
	// accepted before the call. It returns ErrNotLeader or ErrUnavailable when
	// this member cannot tell.
	Committed(ctx context.Context) (*Committed, error)
	// Status returns the state of the fleet, or the errors of Committed.
	Status(ctx context.Context) (*Status, error)
	// Upstreams returns the upstreams, ordered by ID, or the errors of
	// Committed.
	Upstreams(ctx context.Context) ([]UpstreamStatus, error)
	// Leader returns the IP:port at which operators reach the leader, or "".
	Leader() string
	// Leads tells whether this member leads, as far as it knows.
	Leads() bool
}

// Status is the state of the fleet as the control leader knows it.
type Status struct {
	Leader  fleet.InstanceID    `json:"leader"`
	Version fleet.ConfigVersion `json:"version"`
	// InForce is the lowest version among the routers that hold a lease.
	InForce fleet.ConfigVersion `json:"in_force"`
	// Slowest names a router at InForce.
	Slowest fleet.InstanceID `json:"slowest,omitempty"`
	Epoch   fleet.Epoch      `json:"epoch"`
	Settled fleet.Epoch      `json:"settled"`
	// LossesLeft is how many control members may be lost before changes stop.
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
	// Behind is how many log entries the member lacks.
	Behind uint64 `json:"behind"`
	// Reachable is set while the leader hears from the member.
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
	// LeaseLeft is in nanoseconds; 0 when the router has no lease.
	LeaseLeft time.Duration `json:"lease_left"`
	InFlight  uint32        `json:"in_flight"`
	Upstreams uint32        `json:"upstreams"`
}

// UpstreamStatus is the state of one upstream.
type UpstreamStatus struct {
	fleet.Upstream
	Out   bool             `json:"out"`
	Owner fleet.InstanceID `json:"owner,omitempty"`
	Order *Order           `json:"order,omitempty"`
}

// Describe fills in what the configuration says, and InForce and Slowest from
// the routers.
func (s *Status) Describe(c *State) {
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
