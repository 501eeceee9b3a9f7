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
	// MethodBooks hands the books of workspaces to their new home: a BooksRequest
	// is answered by an owner.Acknowledged.
	MethodBooks = "plan.books"
	// MethodReport has a router report its use of workspaces to a home that took
	// over without books: a ReportRequest is answered by an owner.Acknowledged.
	MethodReport = "plan.report"
)

const (
	// booksTimeout bounds handing books over. It is well below the lease, for the
	// session's next renewal waits for it.
	booksTimeout = 500 * time.Millisecond
	// openingTime is how long a home without books waits for the credits of the
	// former one to lapse, clock drift included.
	openingTime = plan.CreditLifetime + plan.CreditLifetime/16
	// reportRounds is how many borrowTicks pass between requests for reports.
	reportRounds = 5
)

// BooksRequest carries what a former home counted.
type BooksRequest struct {
	Books []plan.Books `msg:"b"`
}

// ReportRequest names workspaces whose new home needs to hear of their use.
type ReportRequest struct {
	Workspaces []fleet.WorkspaceID `msg:"w"`
}

// homesSeen is the state that the homes were last brought in line with.
type homesSeen struct {
	epoch, settled fleet.Epoch
	version        fleet.ConfigVersion
	valid          bool
}

// reconcile takes up the workspaces that this router is the home of now, gives
// up the others with their books, and frees the slots of members that are gone.
func (p *plans) reconcile(ctx context.Context, m fleet.Membership, ring *placement.Ring) {
	authority := p.router.keeper.Authority()
	now := p.router.cfg.Clock()
	seen := homesSeen{epoch: m.Epoch, settled: authority.Settled(), version: p.router.view.Version(), valid: authority.Valid(now)}
	p.mu.Lock()
	if seen == p.seen || m.Epoch == 0 || !seen.valid {
		p.mu.Unlock()
		return
	}
	p.seen = seen
	p.dropMembers(now, m)
	released := make(map[fleet.InstanceID][]plan.Books)
	for _, w := range p.router.view.Index().WorkspaceIDs() {
		home := ring.Home(w)
		owns := home == p.router.self.ID && authority.Owns(now, homeKey(w))
		switch counts := p.home.Counts(w); {
		case owns && !counts:
			p.take(now, w)
		case counts && home != p.router.self.ID:
			if books, ok := p.home.Release(now, w); ok {
				released[home] = append(released[home], books)
			}
			delete(p.taken, w)
		}
	}
	p.mu.Unlock()
	p.handOver(ctx, released)
}

// dropMembers frees what members that are gone have held. The caller holds mu.
func (p *plans) dropMembers(now time.Duration, m fleet.Membership) {
	members := make(map[fleet.InstanceID]fleet.Member, len(m.Members))
	for _, member := range m.Members {
		members[member.ID] = member
	}
	for id, old := range p.members {
		if current, ok := members[id]; !ok || current.Boot != old.Boot {
			p.home.Lost(now, id)
		}
	}
	p.members = members
}

// take becomes the home of a workspace, with the books where they were handed
// over. The caller holds mu.
func (p *plans) take(now time.Duration, w fleet.WorkspaceID) {
	if books, ok := p.handed[w]; ok {
		delete(p.handed, w)
		p.home.TakeOver(now, books)
		return
	}
	peers := make([]fleet.InstanceID, 0, len(p.members))
	for id := range p.members {
		peers = append(peers, id)
	}
	p.home.Take(now, w, peers)
	p.taken[w] = now
}

// handOver sends the books to their new homes, side by side. Books that do not
// arrive are made up for by reports.
func (p *plans) handOver(ctx context.Context, released map[fleet.InstanceID][]plan.Books) {
	ctx, cancel := context.WithTimeout(ctx, booksTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for home, books := range released {
		member, ok := p.router.member(home)
		if !ok {
			continue
		}
		wg.Go(func() {
			var reply owner.Acknowledged
			err := p.router.pool.Call(ctx, member.Addr, MethodBooks, &BooksRequest{Books: books}, &reply)
			if err != nil {
				p.router.log.Info("books not handed over", "peer", member.Addr, "error", err)
			}
		})
	}
	wg.Wait()
}

func (p *plans) takeBooks(_ context.Context, _ string, request *BooksRequest) (*owner.Acknowledged, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, books := range request.Books {
		if !p.home.Counts(books.Workspace) {
			p.handed[books.Workspace] = books
		}
	}
	return &owner.Acknowledged{}, nil
}

// askReports asks the borrowers that homes without books have not heard of.
func (p *plans) askReports(ctx context.Context) {
	silent := make(map[fleet.InstanceID][]fleet.WorkspaceID)
	p.mu.Lock()
	now := p.router.cfg.Clock()
	for w, at := range p.taken {
		peers := p.home.Silent(w)
		if len(peers) == 0 && now-at >= openingTime {
			delete(p.taken, w)
		}
		for _, peer := range peers {
			silent[peer] = append(silent[peer], w)
		}
	}
	members := p.members
	p.mu.Unlock()
	for id, workspaces := range silent {
		if member, ok := members[id]; ok {
			go p.askReport(ctx, member, workspaces)
		}
	}
}

func (p *plans) askReport(ctx context.Context, member fleet.Member, workspaces []fleet.WorkspaceID) {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	var reply owner.Acknowledged
	if err := p.router.pool.Call(ctx, member.Addr, MethodReport, &ReportRequest{Workspaces: workspaces}, &reply); err != nil {
		p.router.log.Debug("use not reported", "peer", member.Addr, "error", err)
	}
}

func (p *plans) report(_ context.Context, _ string, request *ReportRequest) (*owner.Acknowledged, error) {
	for _, w := range request.Workspaces {
		p.ask(w)
	}
	return &owner.Acknowledged{}, nil
}
