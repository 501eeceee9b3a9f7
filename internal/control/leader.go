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
	// tickInterval spaces the grantor's decisions.
	tickInterval = 100 * time.Millisecond
	// proposeTimeout bounds a proposal of the leader itself.
	proposeTimeout = 2 * time.Second
)

// leader runs the session grantor while this member leads the control group.
type leader struct {
	log      hclog.Logger
	clock    fleet.Clock
	group    *consensus.Group
	settings session.Settings
	limits   ledger.Limits
	machine  *machine
	roster   *session.Roster // read under machine.read
	ledger   *ledger.State   // read under machine.read
	config   *operator.Config
	wake     chan struct{} // capacity 1: a command was applied

	ledgerClock ledgerClock
	board       *board

	mu      sync.Mutex
	grantor *session.Grantor // nil while another member leads
}

// proof returns the leader lease on the fleet clock. The clock is read first: a
// pause before the look at the lease makes its end earlier than true.
func (l *leader) proof() (now time.Duration, proof session.Proof) {
	now = l.clock()
	lease, ok := l.group.LeaderLease()
	if !ok {
		return now, session.Proof{}
	}
	return now, session.Proof{Term: lease.Term, Until: now + lease.Left}
}

// run follows the leadership until ctx ends.
func (l *leader) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer l.board.show(session.Notice{}, false)
	for {
		select {
		case <-ctx.Done():
			return
		case change := <-l.group.LeadershipChanges():
			l.lead(change)
		case <-l.wake:
			l.refresh()
		case <-ticker.C:
			l.tick(ctx)
		}
	}
}

func (l *leader) lead(change consensus.Leadership) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.grantor = nil
	l.log.Info("leadership changed", "leading", change.Leading, "term", change.Term)
	if !change.Leading {
		l.board.show(session.Notice{}, false)
		return
	}
	l.machine.read(func() {
		l.grantor = session.NewGrantor(l.clock(), change.Term, l.settings, l.roster, l.version())
		l.ledgerClock.set(ledger.NewClock(l.ledger, l.clock()))
	})
	now, proof := l.proof()
	notice, _ := l.grantor.Notice(now, proof)
	l.board.show(notice, true)
	go l.proposeLedger(context.Background(), ledger.Command{Op: ledger.OpSetLimits, Limits: &l.limits})
}

func (l *leader) version() fleet.ConfigVersion { return l.config.Committed().State.Version }

// refresh hands what was applied to the grantor.
func (l *leader) refresh() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.grantor == nil {
		return
	}
	l.machine.read(func() {
		now := l.clock()
		l.grantor.Committed(now, l.roster)
		l.grantor.SetVersion(now, l.version())
	})
	l.announce()
}

// announce shows the routers what has changed. The caller holds mu and leads.
func (l *leader) announce() {
	now, proof := l.proof()
	if notice, changed := l.grantor.Notice(now, proof); changed {
		l.board.show(notice, true)
	}
}

func (l *leader) tick(ctx context.Context) {
	for _, command := range l.due() {
		encoded, err := command.MarshalMsg(nil)
		if err != nil {
			l.log.Error("roster command not encoded", "error", err)
			continue
		}
		go l.propose(ctx, tagged(tagRoster, encoded))
	}
	for _, gone := range l.lapsed() {
		go l.proposeLedger(ctx, gone.Lapse())
	}
}

// lapsed returns the processes that hold begun records and no session. What
// they began may have run.
func (l *leader) lapsed() (gone []ledger.Holding) {
	l.mu.Lock()
	leading := l.grantor != nil
	l.mu.Unlock()
	if !leading {
		return nil
	}
	l.machine.read(func() {
		members := make(map[ledger.Process]bool)
		for _, m := range l.roster.Membership().Members {
			members[ledger.Process{Owner: m.ID, Boot: m.Boot}] = true
		}
		for _, h := range l.ledger.Holdings() {
			if !members[h.Process] {
				gone = append(gone, h)
			}
		}
	})
	return gone
}

func (l *leader) proposeLedger(ctx context.Context, command ledger.Command) {
	command.Now = l.ledgerClock.get().Now(l.clock())
	encoded, err := command.Encode()
	if err != nil {
		l.log.Error("ledger command not encoded", "error", err)
		return
	}
	l.propose(ctx, tagged(tagLedger, encoded))
}

func (l *leader) due() []session.Command {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.grantor == nil {
		return nil
	}
	now, proof := l.proof()
	defer l.announce() // leases that ran out may settle an epoch
	return l.grantor.Tick(now, proof)
}

// propose appends a command of the leader itself. What it is for stays due until
// it is committed, so that it is proposed again where it was lost.
func (l *leader) propose(ctx context.Context, command []byte) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if _, err := l.group.Propose(ctx, command); err != nil {
		l.log.Warn("command not committed", "step", "leader.propose", "error", err)
	}
}

// renew answers one router's renewal; nil where this member does not lead.
func (l *leader) renew(req *session.RenewRequest) *session.RenewReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.grantor == nil {
		return nil
	}
	now, proof := l.proof()
	// An operator may have been answered before refresh has run: the reply must
	// name that version all the same.
	l.grantor.SetVersion(now, l.version())
	defer l.announce() // the router may be the last to acknowledge an epoch
	return l.grantor.Renew(now, proof, req)
}
