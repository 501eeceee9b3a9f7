package control

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/wigeonflow/wigeonflow/internal/consensus"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
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
	roster   *session.Roster // read under machine.read
	machine  *machine
	version  func() fleet.ConfigVersion // read under machine.read
	wake     chan struct{}              // capacity 1: a command was applied

	mu      sync.Mutex
	grantor *session.Grantor // nil while another member leads
}

// leaseUntil returns the end of the leader lease on the fleet clock. The clock
// is read first: a pause before time.Until makes the result earlier than true.
func (l *leader) leaseUntil() (now, until time.Duration) {
	now = l.clock()
	end, ok := l.group.LeaderLease()
	if !ok {
		return now, now
	}
	return now, now + time.Until(end)
}

// run follows the leadership until ctx ends.
func (l *leader) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
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
		return
	}
	l.machine.read(func() {
		l.grantor = session.NewGrantor(l.clock(), l.settings, l.roster, l.version())
	})
}

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
}

func (l *leader) due() []session.Command {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.grantor == nil {
		return nil
	}
	now, until := l.leaseUntil()
	return l.grantor.Tick(now, until)
}

// propose appends a roster command. The grantor proposes it again where the
// outcome stays unknown.
func (l *leader) propose(ctx context.Context, command []byte) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if _, err := l.group.Propose(ctx, command); err != nil {
		l.log.Warn("roster change not committed", "error", err)
	}
}

// renew answers one router's renewal; nil where this member does not lead.
func (l *leader) renew(req *session.RenewRequest) *session.RenewReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.grantor == nil {
		return nil
	}
	now, until := l.leaseUntil()
	return l.grantor.Renew(now, until, req)
}
