package member

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/control"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/operator"
	"github.com/wigeonflow/wigeonflow/internal/placement"
)

// MethodRelay asks a router for the changes of the configuration that it has
// applied: a control.FetchRequest is answered by a control.FetchReply. A router
// that doesn't have them yet waits for them for a while.
const MethodRelay = "config.relay"

const (
	// directRouters is how many routers read changes from the control group, whose
	// links are slow. The others read them from a router before them.
	directRouters = 16
	// relayChildren is how many routers read from each router.
	relayChildren = 4
	// relayPatience is how long a router waits for a change that its reader has
	// already heard of.
	relayPatience = 600 * time.Millisecond
	// relayTimeout bounds one question to a router: its patience, and a large change
	// on its way to several readers.
	relayTimeout = 900 * time.Millisecond
	// firstFetchTimeout bounds the first read from the control group of a router that
	// may ask another one next.
	firstFetchTimeout = 900 * time.Millisecond
	// fetchTimeout bounds bringing the configuration up to date: what was read of a
	// copy by then is kept for the next time.
	fetchTimeout = 2 * time.Second
	// controlFetchTimeout bounds reading from the control group alone. No renewal goes
	// out meanwhile, and it is a renewal that finds a new leader.
	controlFetchTimeout = 1300 * time.Millisecond
	// keptChanges and keptChangeBytes bound the changes that are kept for readers.
	keptChanges     = 64
	keptChangeBytes = 512 << 10
)

// errBehind means that a router can't lead its reader to the version asked for.
var errBehind = fleet.Errors.NewType("relay_behind")

// relay keeps the newest changes for the routers that read them here.
type relay struct {
	mu      sync.Mutex
	changes []operator.Delta // without a gap, newest last
	bytes   int
	changed chan struct{} // closed at the next change
}

func newRelay() *relay { return &relay{changed: make(chan struct{})} }

// applied notes an update that came into force. A whole copy leaves no changes to
// pass on.
func (r *relay) applied(u *operator.Update) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if u.Full != nil {
		r.changes, r.bytes = nil, 0
	}
	for i := range u.Deltas {
		d := &u.Deltas[i]
		if n := len(r.changes); n > 0 && d.Version <= r.changes[n-1].Version {
			continue
		}
		r.changes = append(r.changes, *d)
		r.bytes += d.Msgsize()
	}
	for len(r.changes) > keptChanges || r.bytes > keptChangeBytes && len(r.changes) > 1 {
		r.bytes -= r.changes[0].Msgsize()
		r.changes = slices.Delete(r.changes, 0, 1)
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// after returns the changes that lead from a version to one that is at least the
// wanted one, or nothing; and a channel that is closed when that may differ.
func (r *relay) after(version, wanted fleet.ConfigVersion) ([]operator.Delta, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := len(r.changes)
	if n == 0 || r.changes[n-1].Version < wanted || r.changes[0].Version > version+1 {
		return nil, r.changed
	}
	first := n - int(min(r.changes[n-1].Version-version, fleet.ConfigVersion(n)))
	return slices.Clone(r.changes[first:]), r.changed
}

// serve answers a reader, once the changes that it asks for have come.
func (r *relay) serve(ctx context.Context, _ string, req *control.FetchRequest) (*control.FetchReply, error) {
	patience := time.NewTimer(relayPatience)
	defer patience.Stop()
	for {
		deltas, changed := r.after(req.After, req.AtLeast)
		if deltas != nil {
			return &control.FetchReply{Update: operator.Update{Deltas: deltas}}, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-patience.C:
			return nil, errBehind.New("version %d has not come", req.AtLeast)
		case <-changed:
		}
	}
}

// relayOrder orders the routers as all of them do: those that read from the control
// group come first.
func relayOrder(m fleet.Membership) []fleet.Member {
	order := slices.Clone(m.Members)
	placement.Order(order, "")
	return order
}

// relaySource returns the router that a router reads changes from; ok is false
// where it reads them from the control group.
func relaySource(m fleet.Membership, self fleet.InstanceID) (source fleet.Member, ok bool) {
	if len(m.Members) <= directRouters {
		return fleet.Member{}, false
	}
	order := relayOrder(m)
	i := slices.IndexFunc(order, func(m fleet.Member) bool { return m.ID == self })
	if i < directRouters {
		return fleet.Member{}, false // also where this router isn't a member yet
	}
	return order[(i-directRouters)/relayChildren], true
}

// relayReserve returns another router to ask where a source, or the control group,
// doesn't answer: one of those that read from the control group.
func relayReserve(m fleet.Membership, self fleet.InstanceID, draw int) (reserve fleet.Member, ok bool) {
	if len(m.Members) <= directRouters {
		return fleet.Member{}, false
	}
	order := relayOrder(m)
	reserve = order[draw%directRouters]
	return reserve, reserve.ID != self
}

// fetch brings the newest committed configuration into the view, by the shortest
// way that answers. atLeast is a version that is known to be committed.
func (k *Keeper) fetch(ctx context.Context, atLeast fleet.ConfigVersion) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	membership := k.Authority().Membership()
	reserve, large := relayReserve(membership, k.cfg.Self.ID, rand.IntN(directRouters))
	if large && k.cfg.Pool != nil && k.view.Version() > 0 {
		if source, ok := relaySource(membership, k.cfg.Self.ID); ok {
			if k.fetchRelayed(ctx, source, atLeast) {
				return
			}
		} else if k.fetchControl(ctx, atLeast, firstFetchTimeout) {
			return
		}
		if k.fetchRelayed(ctx, reserve, atLeast) {
			return
		}
	}
	k.fetchControl(ctx, atLeast, controlFetchTimeout)
}

// fetchRelayed reads changes from another router and tells whether this one is up to
// date then.
func (k *Keeper) fetchRelayed(ctx context.Context, source fleet.Member, atLeast fleet.ConfigVersion) bool {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	request := control.FetchRequest{After: k.view.Version(), AtLeast: atLeast}
	var reply control.FetchReply
	if err := k.cfg.Pool.Call(ctx, source.Addr, MethodRelay, &request, &reply); err != nil {
		k.log.Info("configuration not read from a router", "peer", string(source.ID), "version", uint64(atLeast), "error", err)
		return false
	}
	return k.apply(&reply.Update) && k.view.Version() >= atLeast
}
