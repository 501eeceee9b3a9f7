package session

import (
	"cmp"
	"slices"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// Tick returns the commands to propose now: removals of members whose lease expired
// or was released, updates and joins. It returns none without a valid proof of
// leadership, or within changeInterval after the last ones. Call it a few times per second.
func (g *Grantor) Tick(now time.Duration, proof Proof) []Command {
	if !g.proven(now, proof) {
		return nil
	}
	g.deleteEndedSessions(now)
	if now < g.nextChange {
		return nil
	}
	ops := append(g.dueRemovals(now), g.dueUpdates(now)...)
	ops = append(ops, g.dueJoins(now)...)
	if len(ops) == 0 {
		return nil
	}
	g.nextChange = now + g.changeInterval()
	return []Command{{Ops: ops}}
}

// knownBoots returns the number of boots that have a session or request one.
func (g *Grantor) knownBoots() int { return len(g.sessions) + len(g.joiners) }

// changeInterval returns the minimum time between proposed membership changes. Every
// router renews after each change: a large fleet that starts all at once must not
// cause hundreds of renewals for each of dozens of epochs.
func (g *Grantor) changeInterval() time.Duration {
	return max(time.Duration(g.knownBoots())*changePerRouter-changeAllowance, 0)
}

// pace returns the mean time between renewals of a router that joins or waits for an
// epoch to settle.
func (g *Grantor) pace() time.Duration { return time.Duration(g.knownBoots()) * pacePerRouter }

// dueRemovals returns the ops that remove members whose lease expired or was released,
// and records them as proposed at now.
func (g *Grantor) dueRemovals(now time.Duration) []Op {
	var ops []Op
	for _, s := range g.sessions {
		if !s.committed {
			continue
		}
		if s.removal == 0 && now >= s.until && now >= s.removeAt {
			s.removal, s.proposedAt = OpExpire, now-g.settings.ProposalTimeout
		}
		if s.removal != 0 && g.retryDue(now, s.proposedAt) {
			s.proposedAt = now
			ops = append(ops, Op{Kind: s.removal, Member: fleet.Member{ID: s.member.ID, Boot: s.member.Boot}})
		}
	}
	return sortOps(ops)
}

// dueUpdates returns the ops for members whose record changed, and records them as
// proposed at now.
func (g *Grantor) dueUpdates(now time.Duration) []Op {
	var ops []Op
	for _, s := range g.sessions {
		if s.committed && s.updatePending && s.removal == 0 && g.retryDue(now, s.proposedAt) {
			s.proposedAt = now
			ops = append(ops, Op{Kind: OpJoin, Member: s.member})
		}
	}
	return sortOps(ops)
}

// dueJoins returns the ops that add joiners, and records them as proposed at now. It
// deletes joiners that have not renewed their request for a lease duration.
func (g *Grantor) dueJoins(now time.Duration) []Op {
	var ops []Op
	for key, j := range g.joiners {
		switch {
		case now >= j.requestedAt+g.settings.Lease:
			delete(g.joiners, key)
		case j.left || j.proposed && !g.retryDue(now, j.proposedAt):
		case g.joinBlocked(now, key):
		default:
			j.proposed, j.proposedAt = true, now
			ops = append(ops, Op{Kind: OpJoin, Member: j.member})
		}
	}
	return sortOps(ops)
}

// joinBlocked reports whether any boot of the same instance is still a member or may
// still hold a lease: a restarted process joins only after that.
func (g *Grantor) joinBlocked(now time.Duration, key sessionKey) bool {
	for other, s := range g.sessions {
		if other.id == key.id && (s.committed || now < s.until) {
			return true
		}
	}
	return false
}

// retryDue reports whether a command last proposed at proposedAt may be proposed
// again.
func (g *Grantor) retryDue(now, proposedAt time.Duration) bool {
	return now >= proposedAt+g.settings.ProposalTimeout
}

// sortOps sorts ops by instance, so that equal states propose equal commands.
func sortOps(ops []Op) []Op {
	slices.SortFunc(ops, func(a, b Op) int {
		return cmp.Or(cmp.Compare(a.Member.ID, b.Member.ID), cmp.Compare(a.Member.Boot, b.Member.Boot))
	})
	return ops
}
