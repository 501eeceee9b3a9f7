package control

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/wigeonflow/wigeonflow/internal/consensus"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/ledger"
	"github.com/wigeonflow/wigeonflow/internal/operator"
	"github.com/wigeonflow/wigeonflow/internal/session"
)

const (
	// tickInterval is the time between ticks of the grantor.
	tickInterval = 100 * time.Millisecond
	// proposeTimeout bounds a proposal that the leader itself makes.
	proposeTimeout = 2 * time.Second
)

// leader runs the session grantor while this member leads the control group.
type leader struct {
	log          hclog.Logger
	clock        fleet.Clock
	group        *consensus.Group
	settings     session.Settings
	limits       ledger.Limits
	stateMachine *stateMachine
	roster       *session.Roster // read under stateMachine.withReadLock
	ledger       *ledger.State   // read under stateMachine.withReadLock
	config       *operator.Config
	notes        *session.NoteStore // read under stateMachine.withReadLock
	wake         chan struct{}      // capacity 1; signals that a command was applied

	ledgerClock ledgerClock
	notices     *noticePublisher
	rollouts    *rollouts

	mu      sync.Mutex
	grantor *session.Grantor // nil while another member leads
}

// leadershipProof returns the leader lease on the fleet clock. It reads the clock before the
// lease, so that a pause in between makes the returned end too early, never too
// late.
func (l *leader) leadershipProof() (now time.Duration, proof session.Proof) {
	now = l.clock()
	lease, ok := l.group.LeaderLease()
	if !ok {
		return now, session.Proof{}
	}
	return now, session.Proof{Term: lease.Term, Until: now + lease.Remaining}
}

// run handles leadership changes, applied commands and ticks until ctx ends.
func (l *leader) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer l.notices.publish(session.Notice{}, false)
	for {
		select {
		case <-ctx.Done():
			return
		case change := <-l.group.LeadershipChanges():
			l.leadershipChanged(change)
		case <-l.wake:
			l.updateGrantor()
		case <-ticker.C:
			l.tick(ctx)
		}
	}
}

// leadershipChanged replaces the grantor by a new one if this member leads now, and
// discards it otherwise.
func (l *leader) leadershipChanged(change consensus.Leadership) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.grantor = nil
	l.rollouts.setLeading(change.Leading)
	l.log.Info("leadership changed", "leading", change.Leading, "term", change.Term)
	if !change.Leading {
		l.notices.publish(session.Notice{}, false)
		return
	}
	l.stateMachine.withReadLock(func() {
		l.grantor = session.NewGrantor(l.clock(), change.Term, l.settings, l.roster, l.configVersion())
		note := l.notes.Get()
		l.grantor.RestoreNote(l.clock(), note, time.Since(time.UnixMilli(note.At)))
		l.ledgerClock.set(ledger.NewClock(l.ledger, l.clock()))
	})
	now, proof := l.leadershipProof()
	notice, _ := l.grantor.NextNotice(now, proof)
	l.notices.publish(notice, true)
	go l.proposeLedger(context.Background(), ledger.Command{Op: ledger.OpSetLimits, Limits: &l.limits})
}

func (l *leader) configVersion() fleet.ConfigVersion { return l.config.Committed().State.Version }

// updateGrantor passes the committed membership and configuration version to the
// grantor and publishes the resulting notice. It is called after commands were applied.
func (l *leader) updateGrantor() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.grantor == nil {
		return
	}
	l.stateMachine.withReadLock(func() {
		now := l.clock()
		l.grantor.SetRoster(now, l.roster)
		l.grantor.SetVersion(now, l.configVersion())
		l.grantor.SetStoredNote(l.notes.Get())
	})
	l.publishNotice()
}

// publishNotice publishes a new notice if it changed. The caller must hold mu, and the
// grantor must be set.
func (l *leader) publishNotice() {
	now, proof := l.leadershipProof()
	if notice, changed := l.grantor.NextNotice(now, proof); changed {
		l.notices.publish(notice, true)
	}
}

// tick proposes the membership commands, the note and the steps of roll-outs that are due, and ends
// the ledger records of orphaned processes.
func (l *leader) tick(ctx context.Context) {
	if note, due := l.dueNote(); due {
		go l.propose(ctx, tagged(tagNote, note))
	}
	for _, command := range l.dueCommands() {
		encoded, err := command.MarshalMsg(nil)
		if err != nil {
			l.log.Error("cannot encode membership command", "error", err)
			continue
		}
		go l.propose(ctx, tagged(tagRoster, encoded))
	}
	for _, process := range l.orphanedProcesses() {
		go l.proposeLedger(ctx, process.EndTenures())
	}
	l.rollouts.tick(ctx)
}

// orphanedProcesses returns the processes that have begun ledger records and are no
// longer members under the same boot. The requests of these records may have run.
func (l *leader) orphanedProcesses() (orphaned []ledger.RecordOwner) {
	l.mu.Lock()
	leading := l.grantor != nil
	l.mu.Unlock()
	if !leading {
		return nil
	}
	l.stateMachine.withReadLock(func() {
		members := make(map[ledger.Process]bool)
		for _, m := range l.roster.Membership().Members {
			members[ledger.Process{Owner: m.ID, Boot: m.Boot}] = true
		}
		for _, p := range l.ledger.RecordOwners() {
			if !members[p.Process] {
				orphaned = append(orphaned, p)
			}
		}
	})
	return orphaned
}

func (l *leader) proposeLedger(ctx context.Context, command ledger.Command) {
	command.Now = l.ledgerClock.get().Now(l.clock())
	encoded, err := command.Encode()
	if err != nil {
		l.log.Error("cannot encode ledger command", "error", err)
		return
	}
	l.propose(ctx, tagged(tagLedger, encoded))
}

// dueCommands returns the membership commands that the grantor wants committed.
func (l *leader) dueCommands() []session.Command {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.grantor == nil {
		return nil
	}
	now, proof := l.leadershipProof()
	defer l.publishNotice() // expired leases may settle an epoch
	return l.grantor.Tick(now, proof)
}

// dueNote returns the encoded note that the grantor wants committed.
func (l *leader) dueNote() (encoded []byte, due bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.grantor == nil {
		return nil, false
	}
	now, proof := l.leadershipProof()
	note, age, due := l.grantor.DueNote(now, proof)
	if !due {
		return nil, false
	}
	note.At = time.Now().Add(-age).UnixMilli()
	encoded, err := note.MarshalMsg(nil)
	if err != nil {
		l.log.Error("cannot encode the note of the routers", "error", err)
		return nil, false
	}
	return encoded, true
}

// propose commits a command of the leader itself. It does not retry: what the command
// is for stays due until it is committed, and is proposed again at a later tick.
func (l *leader) propose(ctx context.Context, command []byte) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if _, err := l.group.Propose(ctx, command); err != nil {
		l.log.Warn("leader's command not committed", "step", "leader.propose", "error", err)
	}
}

// confirm returns what a router without a configuration is told; it returns nil if this member
// does not lead.
func (l *leader) confirm() *session.RenewReply {
	return l.ask(func(now time.Duration, proof session.Proof) *session.RenewReply {
		return l.grantor.Confirm(now, proof, new(session.RenewRequest))
	})
}

// renew answers one router's renewal; it returns nil if this member does not lead.
func (l *leader) renew(req *session.RenewRequest) *session.RenewReply {
	reply := l.ask(func(now time.Duration, proof session.Proof) *session.RenewReply {
		defer l.publishNotice() // the router may be the last to acknowledge an epoch
		return l.grantor.Renew(now, proof, req)
	})
	if reply != nil && reply.Status != session.StatusNotLeader {
		l.rollouts.report(req)
	}
	return reply
}

// ask returns the reply of f, which may use the grantor, or nil if this member does not lead.
func (l *leader) ask(f func(now time.Duration, proof session.Proof) *session.RenewReply) *session.RenewReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.grantor == nil {
		return nil
	}
	now, proof := l.leadershipProof()
	// An operator may have received the answer to a change before updateGrantor runs. The
	// reply must already name that version.
	l.grantor.SetVersion(now, l.configVersion())
	return f(now, proof)
}
