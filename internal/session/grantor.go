package session

import (
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// Grantor grants leases on behalf of the control log's leader. It is created at each
// election and discarded when the leadership ends.
//
// Every call that grants, settles or removes takes the leader's Proof. The process
// may be suspended at any point after now was read: whatever it sends afterwards is
// derived from now, and a lease is counted from a send time before now.
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
	config     configRequirement
	loads      loadSums
	lastNotice Notice
	note       heldNote      // newest note of any router
	nextChange time.Duration // earliest time of the next membership change

	packed      []byte // membership as in RenewReply.Packed; nil until a router asks for it
	packedEpoch fleet.Epoch
}

// Proof is a leader's proof of its leadership: its term, and the end of its leader
// lease on the same clock as now. Before it no other leader can act.
type Proof struct {
	Term  uint64
	Until time.Duration
}

// proven reports whether the proof is valid for this Grantor. A proof of another
// term is not: between the two terms another leader may have granted leases that
// this Grantor does not know.
func (g *Grantor) proven(now time.Duration, proof Proof) bool {
	sameTerm := proof.Term == g.term || g.settings.disabled.term
	return sameTerm && now < proof.Until
}

// sessionKey identifies one boot of one instance.
type sessionKey struct {
	id   fleet.InstanceID
	boot fleet.BootID
}

func keyOf(m fleet.Member) sessionKey { return sessionKey{m.ID, m.Boot} }

// session is the state of one boot that is a member, or was one and may still hold a
// lease.
type session struct {
	member fleet.Member
	// until is an upper bound of the end of the holder's lease.
	until time.Duration
	// removeAt is when the removal of the boot is proposed, unless the boot renews first.
	removeAt time.Duration
	// acked is a lower bound of the holder's epoch while it has a valid lease.
	acked fleet.Epoch
	// committed reports whether the boot is in the committed membership.
	committed bool
	// removal is OpLeave or OpExpire once the boot is to be removed. From then on
	// this boot gets no lease until the removal is committed and the boot has
	// joined again. So the boot holds no lease even if a later leader commits the
	// removal.
	removal    OpKind
	proposedAt time.Duration
	// updatePending is set while member differs from the committed record, for example
	// in its address, zone or weight.
	updatePending bool
	seq           uint64
	version       fleet.ConfigVersion
	loads         []PoolLoad
}

// joiner is a boot that requested a lease without being a member.
type joiner struct {
	member      fleet.Member
	requestedAt time.Duration
	proposed    bool
	proposedAt  time.Duration
	// left is set if the boot leaves before its join is committed. If the join is
	// committed afterwards, the boot is removed immediately.
	left bool
}

// NewGrantor returns the Grantor of a leader that has applied the first entry of its
// term, so that the roster contains every command of earlier leaders that can still
// be committed. An earlier leader may have just renewed any member's lease, and the
// acknowledged epochs are unknown, so the Grantor waits for a full lease before it
// removes a member. It does not know when the configuration was committed either, so
// routers must have version in force immediately: an election extends no grace
// period.
func NewGrantor(now time.Duration, term uint64, settings Settings, roster *Roster, version fleet.ConfigVersion) *Grantor {
	g := &Grantor{
		term:     term,
		settings: settings.withDefaults(),
		sessions: make(map[sessionKey]*session),
		joiners:  make(map[sessionKey]*joiner),
		loads:    newLoadSums(),
	}
	g.config = configRequirement{version: version, required: version}
	g.SetRoster(now, roster)
	if g.settings.disabled.grantorWait {
		return g
	}
	for _, s := range g.sessions {
		s.until, s.removeAt = now+g.settings.Lease, now+g.settings.Lease
	}
	return g
}

// SetRoster adopts the roster after commands were applied.
func (g *Grantor) SetRoster(now time.Duration, roster *Roster) {
	g.membership = roster.Membership()
	g.changes = roster.state.Changes
	for _, s := range g.sessions {
		s.committed = false
	}
	for _, m := range g.membership.Members {
		g.commitMember(now, m)
	}
	g.deleteEndedSessions(now)
}

// commitMember records that m is in the committed membership.
func (g *Grantor) commitMember(now time.Duration, m fleet.Member) {
	key := keyOf(m)
	s := g.sessions[key]
	if s == nil {
		// It just joined and has no lease yet, so until is now.
		s = &session{until: now, removeAt: now + g.settings.Lease}
		g.sessions[key] = s
		if j := g.joiners[key]; j != nil && j.left {
			s.removal, s.proposedAt = OpLeave, now-g.settings.ProposalTimeout
		}
	}
	delete(g.joiners, key)
	s.committed = true
	if s.updatePending && s.member == m {
		s.updatePending = false
	}
	if !s.updatePending {
		s.member = m
	}
}

// deleteEndedSessions deletes the sessions of boots that are not members and hold no lease.
func (g *Grantor) deleteEndedSessions(now time.Duration) {
	for key, s := range g.sessions {
		if !s.committed && now >= s.until {
			g.loads.replace(s.loads, nil)
			delete(g.sessions, key)
		}
	}
}

// SetVersion records the newest committed configuration version.
func (g *Grantor) SetVersion(now time.Duration, version fleet.ConfigVersion) {
	g.config.recordCommit(now, version)
}

// Confirm returns the part of a renewal's reply that grants nothing: the newest version and epoch,
// the pace and the note. It replies StatusNotLeader like Renew.
func (g *Grantor) Confirm(now time.Duration, proof Proof, req *RenewRequest) *RenewReply {
	reply := &RenewReply{Seq: req.Seq, Status: StatusJoining}
	if !g.proven(now, proof) || req.KnownEpoch > g.membership.Epoch {
		reply.Status = StatusNotLeader
		return reply
	}
	reply.Epoch = g.membership.Epoch
	reply.Version = g.config.version
	reply.Pace = g.pace()
	g.note.exchange(now, req, reply)
	return reply
}

// Renew handles one renewal. It replies StatusNotLeader and grants nothing without a valid
// proof of leadership, or if the router knows a later epoch than this Grantor.
func (g *Grantor) Renew(now time.Duration, proof Proof, req *RenewRequest) *RenewReply {
	reply := g.Confirm(now, proof, req)
	if reply.Status == StatusNotLeader {
		return reply
	}
	s := g.sessions[sessionKey{req.Instance, req.Boot}]
	switch {
	case s == nil && req.Leaving:
		g.cancelJoin(sessionKey{req.Instance, req.Boot})
		reply.Status = StatusLeft
	case s == nil || !s.committed || s.removal == OpExpire:
		reply.Status = g.recordJoiner(now, req)
	case s.removal == OpLeave:
		reply.Status = StatusLeft
	default:
		g.renewMember(now, s, req, reply)
	}
	return reply
}

// RestoreNote adopts the note of the log, whose time of day is age ago. It is called before the
// first renewal, so that routers which have all restarted know of it before they serve.
func (g *Grantor) RestoreNote(now time.Duration, n StoredNote, age time.Duration) {
	g.note.restore(now, n, max(age, 0))
}

// SetStoredNote records the note that the log holds now.
func (g *Grantor) SetStoredNote(n StoredNote) { g.note.stored = n.ID }

// DueNote returns the note that is to be written to the log, without its time of day, and its age.
// ok is false if there is none, and without a valid proof.
func (g *Grantor) DueNote(now time.Duration, proof Proof) (n StoredNote, age time.Duration, ok bool) {
	if !g.proven(now, proof) {
		return StoredNote{}, 0, false
	}
	return g.note.due(now)
}

// recordJoiner records a boot that requests to become a member.
func (g *Grantor) recordJoiner(now time.Duration, req *RenewRequest) Status {
	if g.config.tooOld(now, req.KnownVersion, g.settings.ConfigGrace) {
		return StatusStaleConfig
	}
	key := sessionKey{req.Instance, req.Boot}
	j := g.joiners[key]
	if j == nil {
		j = &joiner{}
		g.joiners[key] = j
	}
	j.member, j.requestedAt = req.member(), now
	return StatusJoining
}

// cancelJoin handles a boot that leaves again before its join is committed.
func (g *Grantor) cancelJoin(key sessionKey) {
	j := g.joiners[key]
	switch {
	case j == nil:
	case j.proposed:
		j.left = true
	default:
		delete(g.joiners, key)
	}
}

// renewMember handles the renewal of a committed member: it releases, rejects or extends
// the lease.
func (g *Grantor) renewMember(now time.Duration, s *session, req *RenewRequest, reply *RenewReply) {
	s.acked = max(s.acked, req.KnownEpoch)
	s.version = max(s.version, req.KnownVersion)
	if req.Seq > s.seq {
		s.seq = req.Seq
		g.loads.replace(s.loads, req.Loads)
		s.loads = req.Loads
	}
	switch {
	case req.releasesLease():
		s.until = now // the holder stopped using the lease before it sent the request
		s.removal, s.proposedAt = OpLeave, now-g.settings.ProposalTimeout
		reply.Status = StatusLeft
	case g.config.tooOld(now, s.version, g.settings.ConfigGrace):
		reply.Status = StatusStaleConfig
	default:
		g.grant(now, s, req, reply)
	}
}

// grant extends the lease of s and adds the membership and the loads to the reply.
func (g *Grantor) grant(now time.Duration, s *session, req *RenewRequest, reply *RenewReply) {
	if m := req.member(); m != s.member && req.Seq == s.seq { // a late older request must not revert the member
		s.member, s.updatePending = m, true
		s.proposedAt = now - g.settings.ProposalTimeout
	}
	if now >= s.until {
		// Any earlier lease has expired, so a lease that the holder has from now
		// on came with this epoch or a later one.
		s.acked = max(s.acked, g.membership.Epoch)
	}
	s.until = max(s.until, now+g.settings.Lease)
	s.removeAt = s.until
	reply.Status = StatusGranted
	reply.Lease = g.settings.Lease
	g.attachMembership(req, reply)
	reply.Settled = g.settle(now)
	reply.Means = g.loads.sums()
}

// attachMembership adds the changes since the known epoch to the reply, or the
// complete membership if the history doesn't reach back that far.
func (g *Grantor) attachMembership(req *RenewRequest, reply *RenewReply) {
	known := req.KnownEpoch
	if known >= g.membership.Epoch {
		return
	}
	changes, ok := changesSince(g.changes, known, g.membership.Epoch)
	if ok && known > 0 {
		reply.Changes = changes
		return
	}
	if req.AcceptsPacked {
		reply.Packed = g.packedMembership()
	}
	if reply.Packed == nil {
		complete := g.membership
		reply.Membership = &complete
	}
}

// packedMembership returns the membership as in RenewReply.Packed, or nil if it can't be packed.
func (g *Grantor) packedMembership() []byte {
	if g.packed == nil || g.packedEpoch != g.membership.Epoch {
		packed, err := packMembership(&g.membership)
		if err != nil {
			return nil
		}
		g.packed, g.packedEpoch = packed, g.membership.Epoch
	}
	return g.packed
}

// settle returns the largest epoch that every boot that can still hold a lease has
// acknowledged. It never decreases: a boot that gets a lease later starts at the
// current epoch or above.
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

// NextNotice returns the notice to send to every router, and whether it has changed
// since the last call.
func (g *Grantor) NextNotice(now time.Duration, proof Proof) (Notice, bool) {
	if !g.proven(now, proof) {
		return Notice{}, false
	}
	n := Notice{Epoch: g.membership.Epoch, Settled: g.settle(now), Version: g.config.version}
	changed := n != g.lastNotice
	g.lastNotice = n
	return n, changed
}
