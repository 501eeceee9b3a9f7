package router

import (
	"context"
	"sync"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/owner"
	"github.com/wigeonflow/wigeonflow/internal/placement"
	"github.com/wigeonflow/wigeonflow/internal/plan"
)

//go:generate go tool msgp -tests=false -io=false -file homes.go

const (
	// MethodUsageRecords hands over the usage records of workspaces to their new home: a
	// UsageRecordsRequest is answered by an owner.Empty.
	MethodUsageRecords = "plan.books"
	// MethodReport asks a router to report its use of workspaces to their new home, which
	// has no usage records: a ReportRequest is answered by an owner.Empty.
	MethodReport = "plan.report"
)

const (
	// usageRecordsTimeout bounds the handover of usage records to all new homes. It is
	// well below the lease, because the session's next renewal waits for it.
	usageRecordsTimeout = 500 * time.Millisecond
	// openingTime is the time after which all credits of the former home have expired,
	// with a margin for clock drift.
	openingTime = plan.CreditLifetime + plan.CreditLifetime/16
	// reportTicks is the interval of requests for reports, in units of borrowTick.
	reportTicks = 5
)

// UsageRecordsRequest carries the usage records of a former home.
type UsageRecordsRequest struct {
	Books []plan.UsageRecord `msg:"b"`
}

// ReportRequest holds the workspaces whose use is to be reported to their new home.
type ReportRequest struct {
	Workspaces []fleet.WorkspaceID `msg:"w"`
}

// homesInput is the state with which the homes were last reconciled.
type homesInput struct {
	epoch, settled fleet.Epoch
	version        fleet.ConfigVersion
	valid          bool
}

// reconcile claims the workspaces whose home this router is, releases the others and
// hands over their usage records, and releases the credits of members that have left.
func (p *plans) reconcile(ctx context.Context, m fleet.Membership, ring *placement.Ring) {
	authority := p.router.keeper.Authority()
	now := p.router.cfg.Clock()
	input := homesInput{epoch: m.Epoch, settled: authority.Settled(), version: p.router.view.Version(), valid: authority.Valid(now)}
	p.mu.Lock()
	if input == p.reconciled || m.Epoch == 0 || !input.valid {
		p.mu.Unlock()
		return
	}
	p.reconciled = input
	p.releaseFormerMembers(now, m)
	released := make(map[fleet.InstanceID][]plan.UsageRecord)
	for _, w := range p.router.view.Index().WorkspaceIDs() {
		home := ring.Home(w)
		owns := home == p.router.self.ID && authority.Owns(now, homeKey(w))
		switch isHome := p.home.IsHomeOf(w); {
		case owns && !isHome:
			p.claim(now, w)
		case isHome && home != p.router.self.ID:
			if record, ok := p.home.Release(now, w); ok {
				released[home] = append(released[home], record)
			}
			delete(p.claimed, w)
		}
	}
	p.mu.Unlock()
	p.handOver(ctx, released)
}

// releaseFormerMembers releases the credits of members that have left or restarted. The caller
// holds mu.
func (p *plans) releaseFormerMembers(now time.Duration, m fleet.Membership) {
	members := make(map[fleet.InstanceID]fleet.Member, len(m.Members))
	for _, member := range m.Members {
		members[member.ID] = member
	}
	for id, old := range p.members {
		if current, ok := members[id]; !ok || current.Boot != old.Boot {
			p.home.RecordLost(now, id)
		}
	}
	p.members = members
}

// claim makes this router the home of a workspace, with the usage records of the former
// home if it has handed them over. The caller holds mu.
func (p *plans) claim(now time.Duration, w fleet.WorkspaceID) {
	if record, ok := p.handedOver[w]; ok {
		delete(p.handedOver, w)
		p.home.ClaimWithRecord(now, record)
		return
	}
	peers := make([]fleet.InstanceID, 0, len(p.members))
	for id := range p.members {
		peers = append(peers, id)
	}
	p.home.ClaimWithoutRecord(now, w, peers)
	p.claimed[w] = now
}

// handOver sends usage records to their new homes concurrently. If they do not arrive,
// the new home asks the other routers for reports instead.
func (p *plans) handOver(ctx context.Context, released map[fleet.InstanceID][]plan.UsageRecord) {
	ctx, cancel := context.WithTimeout(ctx, usageRecordsTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for home, records := range released {
		member, ok := p.router.member(home)
		if !ok {
			continue
		}
		wg.Go(func() {
			err := p.router.cfg.Guard.Confine("plan: hand over usage records", func() error {
				var reply owner.Empty
				return p.router.pool.Call(ctx, member.Addr, MethodUsageRecords, &UsageRecordsRequest{Books: records}, &reply)
			})
			if err != nil {
				p.router.log.Info("cannot hand over usage records to the new plan home", "peer", member.Addr, "error", err)
			}
		})
	}
	wg.Wait()
}

// receiveUsageRecords serves MethodUsageRecords. The records are used when this router
// claims their workspaces.
func (p *plans) receiveUsageRecords(_ context.Context, _ string, request *UsageRecordsRequest) (*owner.Empty, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, record := range request.Books {
		if !p.home.IsHomeOf(record.Workspace) {
			p.handedOver[record.Workspace] = record
		}
	}
	return &owner.Empty{}, nil
}

// requestReports asks borrowers for the reports that are still missing at homes without
// usage records.
func (p *plans) requestReports(ctx context.Context) {
	unreported := make(map[fleet.InstanceID][]fleet.WorkspaceID)
	p.mu.Lock()
	now := p.router.cfg.Clock()
	for w, at := range p.claimed {
		peers := p.home.Unreported(w)
		if len(peers) == 0 && now-at >= openingTime {
			delete(p.claimed, w)
		}
		for _, peer := range peers {
			unreported[peer] = append(unreported[peer], w)
		}
	}
	members := p.members
	p.mu.Unlock()
	for id, workspaces := range unreported {
		if member, ok := members[id]; ok {
			go p.requestReport(ctx, member, workspaces)
		}
	}
}

// requestReport asks a router for a report. A failure is only logged, since reports are
// requested again while they are missing.
func (p *plans) requestReport(ctx context.Context, member fleet.Member, workspaces []fleet.WorkspaceID) {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	err := p.router.cfg.Guard.Confine("plan: request a report", func() error {
		var reply owner.Empty
		return p.router.pool.Call(ctx, member.Addr, MethodReport, &ReportRequest{Workspaces: workspaces}, &reply)
	})
	if err != nil {
		p.router.log.Debug("cannot ask the router for a report of use", "peer", member.Addr, "error", err)
	}
}

// handleReportRequest serves MethodReport. It reports the use with a request for credits.
func (p *plans) handleReportRequest(_ context.Context, _ string, request *ReportRequest) (*owner.Empty, error) {
	for _, w := range request.Workspaces {
		p.requestCredits(w)
	}
	return &owner.Empty{}, nil
}
