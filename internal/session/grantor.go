package session

import (
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// Grantor grants leases on behalf of the control log's leader. It is made anew
// at each election and thrown away when the leadership ends.
//
// Every call that grants, settles or removes takes the leader's Proof. A Grantor
// may stall at any point after now was read: what it then sends is derived from
// now, and a lease counts from a send time before now.
//
// It is not safe for concurrent use.
type Grantor struct {
	settings   Settings
	term       uint64
	membership fleet.Membership
	changes    []Change
	sessions   map[sessionKey]*session
	joiners    map[sessionKey]*joiner
	settled    fleet.Epoch
	config     configAge
	loads      loadSums
	noticed    Notice
	nextChange time.Duration // when a change of the membership may be proposed again
}

// Proof is a leader's proof that it leads: its term, and the end of its leader
// lease on the same clock as now, before which no other leader can act.
type Proof struct {
	Term  uint64
	Until time.Duration
}

// proven tells whether the proof holds for this Grantor. One of another term
// proves nothing: between the two terms another leader may have granted leases
// that this Grantor does not know of.
func (g *Grantor) proven(now time.Duration, proof Proof) bool {
	sameTerm := proof.Term == g.term || g.settings.without.term
	return sameTerm && now < proof.Until
}

// sessionKey names one start of one instance.
type sessionKey struct {
	id   fleet.InstanceID
	boot fleet.BootID
}

func keyOf(m fleet.Member) sessionKey { return sessionKey{m.ID, m.Boot} }

// session is what the Grantor knows of one boot that is a member, or was one
// and may still hold a lease.
type session struct {
	member fleet.Member
	// until bounds the holder's lease: at or after it the holder has none.
	until time.Duration
	// removeAt is when the boot is removed unless it renews before.
	removeAt time.Duration
	// acked is an epoch that the holder acts upon, at least, whenever it has a
	// valid lease.
	acked fleet.Epoch
	// committed is set while the boot is in the committed membership.
	committed bool
	// removal is OpLeave or OpExpire once the removal was proposed. From then
	// on this boot gets no lease until the removal is committed and the boot
	// has joined again; so a removal that a later leader commits finds no lease.
	removal    OpKind
	proposedAt time.Duration
	// update is set while the member's address, zone or weight differs from
	// the committed record.
	update  bool
	seq     uint64
	version fleet.ConfigVersion
	loads   []PoolLoad
}

// joiner is a boot that asked for a lease without being a member.
type joiner struct {
	member     fleet.Member
	askedAt    time.Duration
	proposed   bool
	proposedAt time.Duration
	// gone is set once the boot has left again. If its join is committed all
	// the same, its removal follows at once.
	gone bool
}

// NewGrantor returns the Grantor of a leader that has applied the first entry
// of the given term, its own, so that every command of earlier leaders that can still be
// committed is in the roster. It takes every member as just renewed by an
// earlier leader, with unknown acknowledgements, and so waits out a full lease
// before it removes anyone. When the configuration was committed is not known
// either, so that routers must follow it at once: an election prolongs nothing.
func NewGrantor(now time.Duration, term uint64, settings Settings, roster *Roster, version fleet.ConfigVersion) *Grantor {
	g := &Grantor{
		term:     term,
		settings: settings.withDefaults(),
		sessions: make(map[sessionKey]*session),
		joiners:  make(map[sessionKey]*joiner),
		loads:    newLoadSums(),
	}
	g.config = configAge{version: version, required: version}
	g.Committed(now, roster)
	if g.settings.without.grantorWait {
		return g
	}
	for _, s := range g.sessions {
		s.until, s.removeAt = now+g.settings.Lease, now+g.settings.Lease
	}
	return g
}

// Committed takes over the roster after commands were applied.
func (g *Grantor) Committed(now time.Duration, roster *Roster) {
	g.membership = roster.Membership()
	g.changes = roster.state.Changes
	for _, s := range g.sessions {
		s.committed = false
	}
	for _, m := range g.membership.Members {
		g.commit(now, m)
	}
	g.dropEnded(now)
}

func (g *Grantor) commit(now time.Duration, m fleet.Member) {
	key := keyOf(m)
	s := g.sessions[key]
	if s == nil {
		// Just joined: it has no lease yet, so until stays at now.
		s = &session{until: now, removeAt: now + g.settings.Lease}
		g.sessions[key] = s
		if j := g.joiners[key]; j != nil && j.gone {
			s.removal, s.proposedAt = OpLeave, now-g.settings.ProposalTimeout
		}
	}
	delete(g.joiners, key)
	s.committed = true
	if s.update && s.member == m {
		s.update = false
	}
	if !s.update {
		s.member = m
	}
}

// dropEnded forgets boots that are out of the membership and hold no lease.
func (g *Grantor) dropEnded(now time.Duration) {
	for key, s := range g.sessions {
		if !s.committed && now >= s.until {
			g.loads.replace(s.loads, nil)
			delete(g.sessions, key)
		}
	}
}

// SetVersion tells the Grantor the newest committed configuration.
func (g *Grantor) SetVersion(now time.Duration, version fleet.ConfigVersion) {
	g.config.set(now, version)
}

// Renew answers one request. Without proof of leadership it grants nothing.
func (g *Grantor) Renew(now time.Duration, proof Proof, req *RenewRequest) *RenewReply {
	reply := &RenewReply{Seq: req.Seq}
	if !g.proven(now, proof) || req.KnownEpoch > g.membership.Epoch {
		reply.Status = StatusNotLeader
		return reply
	}
	reply.Epoch = g.membership.Epoch
	reply.Version = g.config.version
	reply.Pace = g.pace()
	s := g.sessions[sessionKey{req.Instance, req.Boot}]
	switch {
	case s == nil && req.Leaving:
		g.giveUp(sessionKey{req.Instance, req.Boot})
		reply.Status = StatusLeft
	case s == nil || !s.committed || s.removal == OpExpire:
		reply.Status = g.ask(now, req)
	case s.removal == OpLeave:
		reply.Status = StatusLeft
	default:
		g.renewMember(now, s, req, reply)
	}
	return reply
}

// ask notes a boot that wants to become a member.
func (g *Grantor) ask(now time.Duration, req *RenewRequest) Status {
	if g.config.tooOld(now, req.KnownVersion, g.settings.ConfigGrace) {
		return StatusStaleConfig
	}
	key := sessionKey{req.Instance, req.Boot}
	j := g.joiners[key]
	if j == nil {
		j = &joiner{}
		g.joiners[key] = j
	}
	j.member, j.askedAt = req.member(), now
	return StatusJoining
}

// giveUp notes that a boot which asked to join has left again.
func (g *Grantor) giveUp(key sessionKey) {
	j := g.joiners[key]
	switch {
	case j == nil:
	case j.proposed:
		j.gone = true
	default:
		delete(g.joiners, key)
	}
}

func (g *Grantor) renewMember(now time.Duration, s *session, req *RenewRequest, reply *RenewReply) {
	s.acked = max(s.acked, req.KnownEpoch)
	s.version = max(s.version, req.KnownVersion)
	if req.Seq > s.seq {
		s.seq = req.Seq
		g.loads.replace(s.loads, req.Loads)
		s.loads = req.Loads
	}
	switch {
	case req.gaveBack():
		s.until = now // the holder stopped using it before it sent this
		s.removal, s.proposedAt = OpLeave, now-g.settings.ProposalTimeout
		reply.Status = StatusLeft
	case g.config.tooOld(now, s.version, g.settings.ConfigGrace):
		reply.Status = StatusStaleConfig
	default:
		g.grant(now, s, req, reply)
	}
}

func (g *Grantor) grant(now time.Duration, s *session, req *RenewRequest, reply *RenewReply) {
	if m := req.member(); m != s.member && req.Seq == s.seq { // a late copy changes nothing back
		s.member, s.update = m, true
		s.proposedAt = now - g.settings.ProposalTimeout
	}
	if now >= s.until {
		// No earlier lease is left, so any lease the holder has from here on
		// came with this epoch or a later one.
		s.acked = max(s.acked, g.membership.Epoch)
	}
	s.until = max(s.until, now+g.settings.Lease)
	s.removeAt = s.until
	reply.Status = StatusGranted
	reply.Lease = g.settings.Lease
	g.attachMembership(req.KnownEpoch, reply)
	reply.Settled = g.settle(now)
	reply.Means = g.loads.sums()
}

// attachMembership adds what the holder lacks.
func (g *Grantor) attachMembership(known fleet.Epoch, reply *RenewReply) {
	if known >= g.membership.Epoch {
		return
	}
	changes, ok := changesSince(g.changes, known, g.membership.Epoch)
	if ok && known > 0 {
		reply.Changes = changes
		return
	}
	whole := g.membership
	reply.Membership = &whole
}

// settle returns the largest epoch that every boot which can still hold a
// lease has acknowledged. It never falls: whoever gets a lease later starts at
// the epoch in force or above.
func (g *Grantor) settle(now time.Duration) fleet.Epoch {
	if g.settled == g.membership.Epoch {
		return g.settled
	}
	lowest := g.membership.Epoch
	for _, s := range g.sessions {
		if now < s.until {
			lowest = min(lowest, s.acked)
		}
	}
	g.settled = max(g.settled, lowest)
	return g.settled
}

// Notice returns what to tell every router, and false when that has not
// changed since the last call.
func (g *Grantor) Notice(now time.Duration, proof Proof) (Notice, bool) {
	if !g.proven(now, proof) {
		return Notice{}, false
	}
	n := Notice{Epoch: g.membership.Epoch, Settled: g.settle(now), Version: g.config.version}
	changed := n != g.noticed
	g.noticed = n
	return n, changed
}
