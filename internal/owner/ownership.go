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

// MethodHandover tells a new owner what the former one knows of an upstream: a
// Handover is answered by an Acknowledged.
const MethodHandover = "owner.handover"

// handoverTimeout bounds telling one new owner. It is well below the lease, for
// the session's next renewal waits for it.
const handoverTimeout = 500 * time.Millisecond

// Handover is what a former owner tells the next one about an upstream. It is
// sent again while work of the former owner still runs.
type Handover struct {
	From     fleet.InstanceID `msg:"f"`
	Upstream fleet.UpstreamID `msg:"u"`
	Boot     fleet.BootID     `msg:"b"`
	Epoch    fleet.Epoch      `msg:"e"`
	// InFlight is the former owner's work that still runs.
	InFlight int     `msg:"n"`
	Window   float64 `msg:"w"`
	// Chats are those whose cache the upstream holds; sent once.
	Chats []placement.ChatRecord `msg:"k,omitempty"`
}

// Acknowledged answers a message that needs no other answer.
type Acknowledged struct{}

// successor is the owner that took an upstream over from this instance.
type successor struct {
	state  Handover
	member fleet.Member
}

// received is a former owner's latest word about an upstream.
type received struct {
	state   Handover
	adopted bool
}

// View is what a router knows of upstreams, ownership and states.
type View struct {
	Upstreams []fleet.Upstream
	// Out tells whether an upstream takes no new work.
	Out func(fleet.Upstream) bool
	// Pools holds the settings of every pool.
	Pools map[fleet.PoolID]admission.PoolSettings
	// Membership is the current one, and Owner its owner of an upstream.
	Membership fleet.Membership
	Owner      func(fleet.UpstreamID) fleet.InstanceID
}

// Reconcile brings the gate in line with the view: it takes up upstreams that
// this instance owns now, gives up those that it lost and tells their new
// owners. It returns once these have heard, or handoverTimeout has passed.
func (s *Server) Reconcile(ctx context.Context, v View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directory.Store(s.directory.Load().next(v.Upstreams, s))
	for id, settings := range v.Pools {
		s.gate.with(func(core *admission.Gate) { core.SetPoolSettings(id, settings) })
	}
	listed := make(map[fleet.UpstreamID]bool, len(v.Upstreams))
	for _, u := range v.Upstreams {
		listed[u.ID] = true
		if s.keeps(u.ID, v) {
			s.take(u, v.Out(u))
		} else {
			s.lose(u.ID, v)
		}
	}
	for id := range s.owned {
		if !listed[id] {
			s.lose(id, v)
		}
	}
	s.forgetGone(v.Membership)
	s.tellSuccessors(ctx)
}

// keeps tells whether the gate counts for the upstream: this instance may open
// work on it, or it does already and no other instance owns it.
func (s *Server) keeps(id fleet.UpstreamID, v View) bool {
	if s.authorised(id) == RefusedNone {
		return true
	}
	return s.owned[id] != nil && v.Owner(id) == s.cfg.Instance
}

// holding is what this instance knows of an upstream that it owns.
type holding struct {
	upstream fleet.Upstream
	out      bool
	// boot is the one that the upstream's own answers name; empty before the first.
	boot fleet.BootID
	// starts counts the upstream's starts as seen here; the gate takes it as the
	// boot, for answers and the platform's list may name boots differently.
	starts int
}

func (h *holding) gateBoot() fleet.BootID { return fleet.BootID(strconv.Itoa(h.starts)) }

// noteBoot takes the boot that an engine's own answer names, which is newer than
// the platform's list.
func (s *Server) noteBoot(id fleet.UpstreamID, boot fleet.BootID) {
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

// restart starts the upstream's window low again and forgets its cache. The
// caller holds mu.
func (s *Server) restart(h *holding) {
	h.starts++
	s.cache.restarted(h.upstream.ID)
	s.setUpstream(h)
}

// take brings an owned upstream in line with the platform's list and the
// configuration.
func (s *Server) take(u fleet.Upstream, out bool) {
	h := s.owned[u.ID]
	if h == nil {
		h = &holding{upstream: u}
		s.owned[u.ID] = h
		s.cache.own(u.ID)
	}
	listedAnew := u.Boot != h.upstream.Boot && h.upstream.Boot != "" && u.Boot != h.boot
	h.upstream, h.out = u, out
	delete(s.lost, u.ID)
	if listedAnew {
		s.restart(h)
	}
	s.setUpstream(h)
	s.adopt(u.ID)
}

func (s *Server) setUpstream(h *holding) {
	s.gate.change(func(now time.Duration, dst []admission.Settled) []admission.Settled {
		return s.gate.core.SetUpstream(now, admission.UpstreamState{
			ID: h.upstream.ID, Pool: h.upstream.Pool, Boot: h.gateBoot(), Out: h.out, Leaving: h.upstream.Leaving,
		}, dst)
	})
}

// adopt takes over what the former owner told, once this instance owns the
// upstream.
func (s *Server) adopt(id fleet.UpstreamID) {
	from, ok := s.handovers[id]
	h := s.owned[id]
	if !ok || h == nil {
		return
	}
	sameStart := h.boot == "" || from.state.Boot == "" || h.boot == from.state.Boot
	if !from.adopted && sameStart {
		if h.boot == "" {
			h.boot = from.state.Boot
		}
		s.gate.with(func(core *admission.Gate) {
			core.Adopt(admission.Handover{Upstream: id, Boot: h.gateBoot(), InFlight: from.state.InFlight, Window: from.state.Window})
		})
		s.cache.adopt(id, from.state.Chats)
	}
	from.adopted, from.state.Chats = true, nil
	s.handovers[id] = from
	s.setForeign(id, from.state.InFlight)
	if from.state.InFlight == 0 {
		delete(s.handovers, id)
	}
}

func (s *Server) setForeign(id fleet.UpstreamID, n int) {
	s.gate.change(func(now time.Duration, dst []admission.Settled) []admission.Settled {
		return s.gate.core.SetForeign(now, id, n, dst)
	})
}

func (s *Server) lose(id fleet.UpstreamID, v View) {
	h := s.owned[id]
	if h == nil {
		return
	}
	delete(s.owned, id)
	chats := s.cache.give(id)
	var state admission.Handover
	s.gate.change(func(now time.Duration, dst []admission.Settled) []admission.Settled {
		state, dst = s.gate.core.Lose(now, id, dst)
		return dst
	})
	next := v.Owner(id)
	for _, m := range v.Membership.Members {
		if m.ID == next && next != s.cfg.Instance {
			s.lost[id] = successor{member: m, state: Handover{
				From: s.cfg.Instance, Upstream: id, Boot: h.boot, Epoch: v.Membership.Epoch,
				Window: state.Window, Chats: chats,
			}}
		}
	}
}

// forgetGone drops the work of former owners that are no longer members: their
// connections to the upstreams have ended with their lease.
func (s *Server) forgetGone(m fleet.Membership) {
	members := make(map[fleet.InstanceID]bool, len(m.Members))
	for _, member := range m.Members {
		members[member.ID] = true
	}
	for id, from := range s.handovers {
		if !members[from.state.From] {
			delete(s.handovers, id)
			s.setForeign(id, 0)
		}
	}
}

// tellSuccessors sends each new owner what this instance knows, side by side.
// Those that have heard of no work left are done.
func (s *Server) tellSuccessors(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var done []fleet.UpstreamID
	for id, next := range s.lost {
		s.gate.with(func(core *admission.Gate) { next.state.InFlight = core.Running(id) })
		wg.Go(func() {
			var reply Acknowledged
			err := s.cfg.Pool.Call(ctx, next.member.Addr, MethodHandover, &next.state, &reply)
			if err != nil {
				s.log.Debug("handover not delivered", "upstream", string(id), "peer", next.member.Addr, "error", err)
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
		delete(s.lost, id)
	}
}

func (s *Server) handover(_ context.Context, _ string, h *Handover) (*Acknowledged, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	from := s.handovers[h.Upstream]
	if h.Epoch < from.state.Epoch {
		return &Acknowledged{}, nil
	}
	from.adopted = from.adopted && from.state.From == h.From && from.state.Epoch == h.Epoch
	from.state = *h
	s.handovers[h.Upstream] = from
	s.adopt(h.Upstream)
	return &Acknowledged{}, nil
}
