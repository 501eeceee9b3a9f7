package owner

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/admission"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/placement"
)

//go:generate go tool msgp -tests=false -io=false -file ownership.go

// MethodHandover passes the state of an upstream from its former owner to the new one:
// a Handover is answered by an Empty.
const MethodHandover = "owner.handover"

// handoverTimeout bounds the handovers of one Reconcile. It is well below the lease,
// because the session's next renewal waits for them.
const handoverTimeout = 500 * time.Millisecond

// Handover is the state of an upstream that its former owner sends to the new one. It is
// sent repeatedly while requests of the former owner are in flight.
type Handover struct {
	From     fleet.InstanceID `msg:"f"`
	Upstream fleet.UpstreamID `msg:"u"`
	Boot     fleet.BootID     `msg:"b"`
	Epoch    fleet.Epoch      `msg:"e"`
	// InFlight is the number of the former owner's requests in flight.
	InFlight int     `msg:"n"`
	Window   float64 `msg:"w"`
	// Chats are the chats that the upstream has cached. They are sent with
	// each repetition, and the new owner adopts them once.
	Chats []placement.ChatRecord `msg:"k,omitempty"`
}

// Empty answers a message that needs no other answer.
type Empty struct{}

// outgoingHandover is the handover of an upstream that this instance has released, to be
// sent to member, the new owner.
type outgoingHandover struct {
	state  Handover
	member fleet.Member
}

// receivedHandover is the latest handover from an upstream's former owner.
type receivedHandover struct {
	state   Handover
	adopted bool
}

// View is a router's view of upstreams, ownership and pool settings.
type View struct {
	Upstreams []fleet.Upstream
	// Out reports whether an upstream is out of service and accepts no new requests.
	Out func(fleet.Upstream) bool
	// Pools holds the settings of every pool.
	Pools map[fleet.PoolID]admission.PoolSettings
	// Membership is the current one, and Owner returns an upstream's owner under it.
	Membership fleet.Membership
	Owner      func(fleet.UpstreamID) fleet.InstanceID
}

// Reconcile brings the gate in line with the view: it claims the upstreams that this
// instance owns, releases the others and sends handovers to their new owners. It
// returns once these have replied, or after handoverTimeout.
func (s *Server) Reconcile(ctx context.Context, v View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directory.Store(s.directory.Load().next(v.Upstreams, s))
	for id, settings := range v.Pools {
		s.gate.withCore(func(core *admission.Gate) { core.SetPoolSettings(id, settings) })
	}
	listed := make(map[fleet.UpstreamID]bool, len(v.Upstreams))
	for _, u := range v.Upstreams {
		listed[u.ID] = true
		if s.manages(u.ID, v) {
			s.claim(u, v.Out(u))
		} else {
			s.release(u.ID, v)
		}
	}
	for id := range s.owned {
		if !listed[id] {
			s.release(id, v)
		}
	}
	s.discardFormerMembers(v.Membership)
	s.sendHandovers(ctx)
}

// manages reports whether the gate manages the upstream: either this instance may send
// requests to it, or the gate manages it already and no other instance owns it.
func (s *Server) manages(id fleet.UpstreamID, v View) bool {
	if s.checkAuthority(id) == RejectionNone {
		return true
	}
	return s.owned[id] != nil && v.Owner(id) == s.cfg.Instance
}

// ownedUpstream is the state of an upstream that this instance owns.
type ownedUpstream struct {
	upstream fleet.Upstream
	out      bool
	// boot is the boot ID in the upstream's own answers; empty before the first.
	boot fleet.BootID
	// starts counts the upstream's observed starts. It serves as the boot ID for the
	// gate, because the upstream's answers and the upstream list may use different ones.
	starts int
}

// gateBoot returns the boot ID that the gate uses for the upstream.
func (h *ownedUpstream) gateBoot() fleet.BootID { return fleet.BootID(strconv.Itoa(h.starts)) }

// recordBoot records the boot ID in an engine's own answer, which is more recent than
// the upstream list, and restarts the upstream's state if it has changed.
func (s *Server) recordBoot(id fleet.UpstreamID, boot fleet.BootID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.owned[id]
	if h == nil || boot == "" || boot == h.boot {
		return
	}
	restarted := h.boot != ""
	h.boot = boot
	if restarted {
		s.restart(h)
	}
}

// restart resets the upstream's window and discards its cache records. The caller holds
// mu.
func (s *Server) restart(h *ownedUpstream) {
	h.starts++
	s.cache.recordRestart(h.upstream.ID)
	s.updateGate(h)
}

// claim claims an upstream if it is not owned yet, and brings it in line with the
// upstream list and the configuration.
func (s *Server) claim(u fleet.Upstream, out bool) {
	h := s.owned[u.ID]
	if h == nil {
		h = &ownedUpstream{upstream: u}
		s.owned[u.ID] = h
		s.cache.addOwned(u.ID)
	}
	restarted := u.Boot != h.upstream.Boot && h.upstream.Boot != "" && u.Boot != h.boot
	h.upstream, h.out = u, out
	delete(s.outgoing, u.ID)
	if restarted {
		s.restart(h)
	}
	s.updateGate(h)
	s.adopt(u.ID)
}

// updateGate passes the state of an owned upstream to the gate.
func (s *Server) updateGate(h *ownedUpstream) {
	s.gate.updateCore(func(now time.Duration, dst []admission.QueuedDecision) []admission.QueuedDecision {
		return s.gate.core.SetUpstream(now, admission.UpstreamState{
			ID: h.upstream.ID, Pool: h.upstream.Pool, Boot: h.gateBoot(), Out: h.out, Leaving: h.upstream.Leaving,
		}, dst)
	})
}

// adopt adopts the state in the former owner's handover, if this instance owns the
// upstream and has received one. State of another boot is discarded. The caller
// holds mu.
func (s *Server) adopt(id fleet.UpstreamID) {
	from, ok := s.incoming[id]
	h := s.owned[id]
	if !ok || h == nil {
		return
	}
	sameBoot := h.boot == "" || from.state.Boot == "" || h.boot == from.state.Boot
	if !from.adopted && sameBoot {
		if h.boot == "" {
			h.boot = from.state.Boot
		}
		s.gate.withCore(func(core *admission.Gate) {
			core.Adopt(admission.Handover{Upstream: id, Boot: h.gateBoot(), InFlight: from.state.InFlight, Window: from.state.Window})
		})
		s.cache.adopt(id, from.state.Chats)
	}
	from.adopted, from.state.Chats = true, nil
	s.incoming[id] = from
	s.setForeignInFlight(id, from.state.InFlight)
	if from.state.InFlight == 0 {
		delete(s.incoming, id)
	}
}

// setForeignInFlight sets the number of a former owner's requests in flight at an upstream.
func (s *Server) setForeignInFlight(id fleet.UpstreamID, n int) {
	s.gate.updateCore(func(now time.Duration, dst []admission.QueuedDecision) []admission.QueuedDecision {
		return s.gate.core.SetForeignInFlight(now, id, n, dst)
	})
}

// release releases an upstream, and prepares the handover if another member owns it.
func (s *Server) release(id fleet.UpstreamID, v View) {
	h := s.owned[id]
	if h == nil {
		return
	}
	delete(s.owned, id)
	chats := s.cache.export(id)
	var state admission.Handover
	s.gate.updateCore(func(now time.Duration, dst []admission.QueuedDecision) []admission.QueuedDecision {
		state, dst = s.gate.core.Release(now, id, dst)
		return dst
	})
	next := v.Owner(id)
	for _, m := range v.Membership.Members {
		if m.ID == next && next != s.cfg.Instance {
			s.outgoing[id] = outgoingHandover{member: m, state: Handover{
				From: s.cfg.Instance, Upstream: id, Boot: h.boot, Epoch: v.Membership.Epoch,
				Window: state.Window, Chats: chats,
			}}
		}
	}
}

// discardFormerMembers discards the handovers of former owners that are no longer
// members: their connections to the upstreams, and so their requests, have ended with
// their lease.
func (s *Server) discardFormerMembers(m fleet.Membership) {
	members := make(map[fleet.InstanceID]bool, len(m.Members))
	for _, member := range m.Members {
		members[member.ID] = true
	}
	for id, from := range s.incoming {
		if !members[from.state.From] {
			delete(s.incoming, id)
			s.setForeignInFlight(id, 0)
		}
	}
}

// sendHandovers sends the pending handovers concurrently. A handover is complete once
// one without requests in flight was delivered.
func (s *Server) sendHandovers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var done []fleet.UpstreamID
	for id, next := range s.outgoing {
		s.gate.withCore(func(core *admission.Gate) { next.state.InFlight = core.Running(id) })
		wg.Go(func() {
			var reply Empty
			err := s.cfg.Pool.Call(ctx, next.member.Addr, MethodHandover, &next.state, &reply)
			if err != nil {
				s.log.Debug("cannot deliver the handover to the new owner", "upstream", string(id), "peer", next.member.Addr, "error", err)
				return
			}
			if next.state.InFlight == 0 {
				mu.Lock()
				done = append(done, id)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	for _, id := range done {
		delete(s.outgoing, id)
	}
}

// handleHandover serves MethodHandover. It ignores handovers of an earlier epoch than the
// latest one received.
func (s *Server) handleHandover(_ context.Context, _ string, h *Handover) (*Empty, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	from := s.incoming[h.Upstream]
	if h.Epoch < from.state.Epoch {
		return &Empty{}, nil
	}
	from.adopted = from.adopted && from.state.From == h.From && from.state.Epoch == h.Epoch
	from.state = *h
	s.incoming[h.Upstream] = from
	s.adopt(h.Upstream)
	return &Empty{}, nil
}
