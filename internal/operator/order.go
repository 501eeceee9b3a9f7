package operator

//go:generate go tool msgp -tests=false -io=false -file order.go

import (
	"cmp"
	"slices"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// Action is the operation that an engine performs for an order.
type Action string

// Actions of an order.
const (
	ActionLoad   Action = "load"
	ActionUnload Action = "unload"
	ActionRole   Action = "role"
)

// OrderSpec is an order as an operator submits it.
type OrderSpec struct {
	Upstream fleet.UpstreamID `msg:"u" json:"upstream"`
	Action   Action           `msg:"a" json:"action"`
	Model    fleet.ModelName  `msg:"m,omitempty" json:"model,omitempty"`
	Adapter  string           `msg:"ad,omitempty" json:"adapter,omitempty"`
	// Release is the version of the model or adapter.
	Release string `msg:"r,omitempty" json:"release,omitempty"`
	Role    string `msg:"ro,omitempty" json:"role,omitempty"`
	// Supersede allows the order to replace an unfinished one of the upstream.
	Supersede bool `msg:"s,omitempty" json:"supersede,omitempty"`
}

// OrderState is the progress of an order.
type OrderState uint8

// States of an Order.
const (
	OrderPending OrderState = iota + 1
	OrderClaimed
	OrderSucceeded
	OrderFailed
)

// String returns the state's name.
func (s OrderState) String() string {
	switch s {
	case OrderPending:
		return "pending"
	case OrderClaimed:
		return "claimed"
	case OrderSucceeded:
		return "succeeded"
	case OrderFailed:
		return "failed"
	default:
		return "unknown"
	}
}

// MarshalText implements encoding.TextMarshaler; JSON holds the state's name.
func (s OrderState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. An unknown name gives 0.
func (s *OrderState) UnmarshalText(text []byte) error {
	for state := OrderPending; state <= OrderFailed; state++ {
		if state.String() == string(text) {
			*s = state
			return nil
		}
	}
	*s = 0
	return nil
}

// Order is the newest order of one upstream and its progress.
type Order struct {
	Spec      OrderSpec           `msg:"s" json:"spec"`
	Operation string              `msg:"o" json:"operation"`
	Version   fleet.ConfigVersion `msg:"v" json:"version"`
	State     OrderState          `msg:"st" json:"state"`
	// Fencing, Holder and Boot are those of the last claim. Fencing is carried
	// over to the next order, whose claim gets a larger one.
	Fencing fleet.FencingNumber `msg:"f" json:"fencing"`
	Holder  fleet.InstanceID    `msg:"h,omitempty" json:"holder,omitempty"`
	Boot    fleet.BootID        `msg:"b,omitempty" json:"boot,omitempty"`
	Detail  string              `msg:"d,omitempty" json:"detail,omitempty"`
}

// Finished reports whether the order has succeeded or failed.
func (o *Order) Finished() bool { return o.State == OrderSucceeded || o.State == OrderFailed }

// Claim requests the fencing number under which an owner executes an order.
type Claim struct {
	Upstream  fleet.UpstreamID `msg:"u"`
	Operation string           `msg:"o"`
	Instance  fleet.InstanceID `msg:"i"`
	Boot      fleet.BootID     `msg:"b"`
	// After is the newest fencing number of the upstream that the claimant knows.
	// A claim with an older number is stale, so that a delayed duplicate of a
	// previous owner's claim cannot take the order from the next owner.
	After fleet.FencingNumber `msg:"a"`
}

// Finish reports the result of an order executed under a fencing number.
type Finish struct {
	Upstream  fleet.UpstreamID    `msg:"u"`
	Fencing   fleet.FencingNumber `msg:"f"`
	Succeeded bool                `msg:"s"`
	Detail    string              `msg:"d,omitempty"`
}

// findOrder returns the index of an upstream's order, or the index at which to
// insert it.
func findOrder(orders []Order, id fleet.UpstreamID) (int, bool) {
	return slices.BinarySearchFunc(orders, id, func(o Order, id fleet.UpstreamID) int {
		return cmp.Compare(o.Spec.Upstream, id)
	})
}

// withOrder returns a copy of orders with o as the order of its upstream.
func withOrder(orders []Order, o Order) []Order {
	out := slices.Clone(orders)
	i, found := findOrder(out, o.Spec.Upstream)
	if found {
		out[i] = o
		return out
	}
	return slices.Insert(out, i, o)
}

// addOrder adds a new order to the state. It returns CodeBusy if the upstream has
// an unfinished one that spec does not supersede.
func (s *State) addOrder(spec OrderSpec, operation string) (Order, Code) {
	o := Order{Spec: spec, Operation: operation, Version: s.Version + 1, State: OrderPending}
	if i, found := findOrder(s.Orders, spec.Upstream); found {
		if !s.Orders[i].Finished() && !spec.Supersede {
			return Order{}, CodeBusy
		}
		o.Fencing = s.Orders[i].Fencing
	}
	s.Orders = withOrder(s.Orders, o)
	return o, CodeAccepted
}

// claimOrder issues a fencing number larger than all previous ones. A repeated claim
// by the same process gets the same number. A claim that is rejected with CodeNoOrder
// or CodeStale gets the newest number of the upstream, or 0 if it has none.
func (s *State) claimOrder(c Claim) (fleet.FencingNumber, Code) {
	i, found := findOrder(s.Orders, c.Upstream)
	if !found {
		return 0, CodeNoOrder
	}
	o := s.Orders[i]
	switch {
	case o.Finished() || o.Operation != c.Operation:
		return o.Fencing, CodeNoOrder
	case o.State == OrderClaimed && o.Holder == c.Instance && o.Boot == c.Boot:
		return o.Fencing, CodeAccepted
	case o.Fencing != c.After:
		return o.Fencing, CodeStale
	}
	s.Fencing++
	o.State, o.Fencing, o.Holder, o.Boot = OrderClaimed, s.Fencing, c.Instance, c.Boot
	s.Orders = withOrder(s.Orders, o)
	return o.Fencing, CodeAccepted
}

// finishOrder records the result of an order. It returns CodeStale if the finish does not
// name the fencing number of the order's last claim.
func (s *State) finishOrder(f Finish) Code {
	i, found := findOrder(s.Orders, f.Upstream)
	if !found {
		return CodeNoOrder
	}
	o := s.Orders[i]
	if o.Fencing != f.Fencing || o.State == OrderPending {
		return CodeStale
	}
	if o.Finished() {
		return CodeAccepted // a duplicate report
	}
	o.State, o.Detail = OrderFailed, f.Detail
	if f.Succeeded {
		o.State = OrderSucceeded
	}
	s.Orders = withOrder(s.Orders, o)
	return CodeAccepted
}
