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

// MethodRelay returns the configuration changes that a router has applied, or for a reader
// without any the complete configuration: a control.FetchRequest is answered by a
// control.FetchReply. A router that has not applied the requested version yet waits for it,
// for up to relayWait, and then fails with errBehind.
const MethodRelay = "config.relay"

const (
	// directRouters is the number of routers that read changes from the control
	// group, whose links are slow. The others read them from another router.
	directRouters = 16
	// relayChildren is the maximum number of routers that read from one router.
	relayChildren = 4
	// relayWait is how long a router waits for a change that a reader requests but
	// that it has not applied yet.
	relayWait = 600 * time.Millisecond
	// relayTimeout bounds one request to a router. It covers relayWait and the
	// transfer of a large change to several readers.
	relayTimeout = 900 * time.Millisecond
	// firstFetchTimeout bounds reading from the control group if the router can read
	// from another router afterwards.
	firstFetchTimeout = 900 * time.Millisecond
	// fetchTimeout bounds bringing the configuration up to date. The pages of a copy
	// that were read are kept for the next fetch.
	fetchTimeout = 2 * time.Second
	// controlFetchTimeout bounds reading from the control group as the last resort. No
	// renewal is sent meanwhile, and only a renewal finds a new leader.
	controlFetchTimeout = 1300 * time.Millisecond
	// keptChanges and keptChangeBytes bound the changes that a router keeps for
	// readers.
	keptChanges     = 64
	keptChangeBytes = 512 << 10
)

// errBehind means that a router does not have the changes that a reader requested: it has
// not applied the version yet, or no longer keeps the changes that lead to it.
var errBehind = fleet.Errors.NewType("relay_behind")

// relay keeps the newest configuration changes for other routers. It is safe for
// concurrent use.
type relay struct {
	mu      sync.Mutex
	full    *operator.State  // to which the kept changes lead; nil once one of them was dropped
	changes []operator.Delta // consecutive versions, newest last
	bytes   int              // estimated encoded size of changes
	changed chan struct{}    // closed at the next change
}

func newRelay() *relay { return &relay{changed: make(chan struct{})} }

// add records an update that came into force. A full copy discards the changes kept
// so far, because they do not lead to its version.
func (r *relay) add(u *operator.Update) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if u.Full != nil {
		r.full, r.changes, r.bytes = u.Full, nil, 0
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
		r.full = nil
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// changesAfter returns the changes that lead from version to atLeast or a later one, or nil
// if they are not kept. It also returns a channel that is closed when the kept
// changes are updated.
func (r *relay) changesAfter(version, atLeast fleet.ConfigVersion) ([]operator.Delta, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := len(r.changes)
	if n == 0 || r.changes[n-1].Version < atLeast || r.changes[0].Version > version+1 {
		return nil, r.changed
	}
	first := n - int(min(r.changes[n-1].Version-version, fleet.ConfigVersion(n)))
	return slices.Clone(r.changes[first:]), r.changed
}

// complete returns the complete configuration of the version atLeast or a later one, as a copy
// and the changes since, or nil if it isn't kept. It also returns a channel like changesAfter.
func (r *relay) complete(atLeast fleet.ConfigVersion) (*operator.Update, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.full == nil {
		return nil, r.changed
	}
	u := &operator.Update{Full: r.full, Deltas: slices.Clone(r.changes)}
	if newest := u.Full.Version + fleet.ConfigVersion(len(u.Deltas)); newest < atLeast {
		return nil, r.changed
	}
	return u, r.changed
}

// hasDropped reports whether this router has applied the requested version, but can't answer the
// request, now or later.
func (r *relay) hasDropped(req *control.FetchRequest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := len(r.changes)
	return n > 0 && r.changes[n-1].Version >= req.AtLeast && r.changes[0].Version > req.After+1 && r.full == nil
}

// updateFor returns the update that answers a request, or nil if it isn't kept, and a channel
// like changesAfter.
func (r *relay) updateFor(req *control.FetchRequest) (*operator.Update, <-chan struct{}) {
	if req.After == 0 {
		if u, changed := r.complete(req.AtLeast); u != nil {
			return u, changed
		}
	}
	deltas, changed := r.changesAfter(req.After, req.AtLeast)
	if deltas == nil {
		return nil, changed
	}
	return &operator.Update{Deltas: deltas}, changed
}

// serve answers MethodRelay once it has the changes up to the requested version, or
// returns errBehind after relayWait.
func (r *relay) serve(ctx context.Context, _ string, req *control.FetchRequest) (*control.FetchReply, error) {
	timeout := time.NewTimer(relayWait)
	defer timeout.Stop()
	for {
		update, changed := r.updateFor(req)
		if update != nil {
			return &control.FetchReply{Update: *update}, nil
		}
		if r.hasDropped(req) {
			return nil, errBehind.New("this router no longer keeps the changes that lead from configuration version %d to %d", req.After, req.AtLeast)
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-timeout.C:
			return nil, errBehind.New("the changes from configuration version %d to %d were not available within %v", req.After, req.AtLeast, relayWait)
		case <-changed:
		}
	}
}

// relayOrder returns the members in an order that is the same on all routers. The first
// directRouters read from the control group.
func relayOrder(m fleet.Membership) []fleet.Member {
	order := slices.Clone(m.Members)
	placement.SortByHash(order, "")
	return order
}

// relaySource returns the router from which self reads changes; ok is false if it
// reads them from the control group.
func relaySource(m fleet.Membership, self fleet.InstanceID) (source fleet.Member, ok bool) {
	if len(m.Members) <= directRouters {
		return fleet.Member{}, false
	}
	order := relayOrder(m)
	i := slices.IndexFunc(order, func(m fleet.Member) bool { return m.ID == self })
	if i < directRouters {
		return fleet.Member{}, false // also if self is not a member yet
	}
	return order[(i-directRouters)/relayChildren], true
}

// relayFallback returns a router to read from if the source or the control group does
// not answer: one of those that read from the control group, selected by the random
// number draw. ok is false if the fleet has at most directRouters members, or
// the selected router is self.
func relayFallback(m fleet.Membership, self fleet.InstanceID, draw int) (fallback fleet.Member, ok bool) {
	if len(m.Members) <= directRouters {
		return fleet.Member{}, false
	}
	order := relayOrder(m)
	fallback = order[draw%directRouters]
	return fallback, fallback.ID != self
}

// copySource returns the router from which self reads the complete configuration when it starts; ok
// is false if it reads it from the control group. After a joint restart the links of the
// control members don't carry a copy for each router of a large fleet: its relays read
// theirs there, and the other routers one of the relays.
func copySource(relays []fleet.Member, self fleet.Member) (source fleet.Member, ok bool) {
	isSelf := func(m fleet.Member) bool { return m.ID == self.ID }
	if len(relays) < placement.MaxRelays || slices.ContainsFunc(relays, isSelf) {
		return fleet.Member{}, false
	}
	return placement.NearestFirst(relays, self)[0], true
}

// fetch brings the view up to date. In a large fleet it reads from the router's relay
// source or, if it has none, from the control group, and then from the fallback
// router. If these fail, or there are none, it reads from the control group. atLeast
// is a version that is known to be committed.
func (k *Keeper) fetch(ctx context.Context, atLeast fleet.ConfigVersion) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	if source, ok := copySource(k.Relays(), k.cfg.Self); ok && k.cfg.Pool != nil && k.view.Version() == 0 {
		if k.fetchRelayed(ctx, source, atLeast) {
			return
		}
	}
	membership := k.Authority().Membership()
	fallback, hasFallback := relayFallback(membership, k.cfg.Self.ID, rand.IntN(directRouters))
	if hasFallback && k.cfg.Pool != nil && k.view.Version() > 0 {
		if source, ok := relaySource(membership, k.cfg.Self.ID); ok {
			if k.fetchRelayed(ctx, source, atLeast) {
				return
			}
		} else if k.fetchControl(ctx, atLeast, firstFetchTimeout) {
			return
		}
		if k.fetchRelayed(ctx, fallback, atLeast) {
			return
		}
	}
	k.fetchControl(ctx, atLeast, controlFetchTimeout)
}

// fetchRelayed reads changes from another router and reports whether the view has
// reached atLeast.
func (k *Keeper) fetchRelayed(ctx context.Context, source fleet.Member, atLeast fleet.ConfigVersion) bool {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	request := control.FetchRequest{After: k.view.Version(), AtLeast: atLeast}
	var reply control.FetchReply
	err := k.cfg.Guard.Confine("configuration: read from a router", func() error {
		return k.cfg.Pool.Call(ctx, source.Addr, MethodRelay, &request, &reply)
	})
	if err != nil {
		k.log.Info("configuration changes not read from a router", "peer", string(source.ID), "version", uint64(atLeast), "error", err)
		return false
	}
	return k.applyRelayed(&reply.Update) && k.view.Version() >= atLeast
}
