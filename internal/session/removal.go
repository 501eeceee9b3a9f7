package session

import (
	"cmp"
	"slices"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// Tick returns the commands to propose now: removals of members whose lease
// has run out or was given back, joins and updates. It returns none without proof
// of leadership. Call it a few times a second.
func (g *Grantor) Tick(now time.Duration, proof Proof) []Command {
	if !g.proven(now, proof) {
		return nil
	}
	g.dropEnded(now)
	if now < g.nextChange {
		return nil
	}
	ops := append(g.removals(now), g.updates(now)...)
	ops = append(ops, g.joins(now)...)
	if len(ops) == 0 {
		return nil
	}
	g.nextChange = now + g.changeSpacing()
	return []Command{{Ops: ops}}
}

// known counts the boots that have a session or ask for one.
func (g *Grantor) known() int { return len(g.sessions) + len(g.joiners) }

// changeSpacing returns how far apart changes of the membership are proposed. Every
// router renews after each one: a large fleet that starts at once must not bring
// hundreds of renewals with each of dozens of epochs.
func (g *Grantor) changeSpacing() time.Duration {
	return max(time.Duration(g.known())*changePerRouter-changeFree, 0)
}

// pace returns how often a router may renew while it joins or waits for an epoch.
func (g *Grantor) pace() time.Duration { return time.Duration(g.known()) * pacePerRouter }

func (g *Grantor) removals(now time.Duration) []Op {
	var ops []Op
	for _, s := range g.sessions {
		if !s.committed {
			continue
		}
		if s.removal == 0 && now >= s.until && now >= s.removeAt {
			s.removal, s.proposedAt = OpExpire, now-g.settings.ProposalTimeout
		}
		if s.removal != 0 && g.due(now, s.proposedAt) {
			s.proposedAt = now
			ops = append(ops, Op{Kind: s.removal, Member: fleet.Member{ID: s.member.ID, Boot: s.member.Boot}})
		}
	}
	return sorted(ops)
}

func (g *Grantor) updates(now time.Duration) []Op {
	var ops []Op
	for _, s := range g.sessions {
		if s.committed && s.update && s.removal == 0 && g.due(now, s.proposedAt) {
			s.proposedAt = now
			ops = append(ops, Op{Kind: OpJoin, Member: s.member})
		}
	}
	return sorted(ops)
}

func (g *Grantor) joins(now time.Duration) []Op {
	var ops []Op
	for key, j := range g.joiners {
		switch {
		case now >= j.askedAt+g.settings.Lease:
			delete(g.joiners, key) // gave up
		case j.gone || j.proposed && !g.due(now, j.proposedAt):
		case g.blocked(now, key):
		default:
			j.proposed, j.proposedAt = true, now
			ops = append(ops, Op{Kind: OpJoin, Member: j.member})
		}
	}
	return sorted(ops)
}

// blocked tells whether some boot of the same instance is still a member or
// may still hold a lease: a restarted process joins only after that.
func (g *Grantor) blocked(now time.Duration, key sessionKey) bool {
	for other, s := range g.sessions {
		if other.id == key.id && (s.committed || now < s.until) {
			return true
		}
	}
	return false
}

// due tells whether a command proposed at that time may be proposed again.
func (g *Grantor) due(now, proposedAt time.Duration) bool {
	return now >= proposedAt+g.settings.ProposalTimeout
}

// sorted orders ops by instance, so that equal states propose equal commands.
func sorted(ops []Op) []Op {
	slices.SortFunc(ops, func(a, b Op) int {
		return cmp.Or(cmp.Compare(a.Member.ID, b.Member.ID), cmp.Compare(a.Member.Boot, b.Member.Boot))
	})
	return ops
}
