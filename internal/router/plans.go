package router

import (
	"context"
	"sync"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/entry"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/mesh"
	"github.com/wigeonflow/wigeonflow/internal/plan"
)

//go:generate go tool msgp -tests=false -io=false -file plans.go

// MethodBorrow asks a workspace's plan home for credits: a plan.BorrowRequest
// is answered by a BorrowAnswer.
const MethodBorrow = "plan.borrow"

// BorrowAnswer is a home's reply.
type BorrowAnswer struct {
	Reply plan.BorrowReply `msg:"r"`
	// Opening means that the home has no usage records and grants less than the plan
	// until it knows how much is in use.
	Opening bool `msg:"o"`
	// Presuming means that the home counts tokens as used because a router was lost
	// before it had reported its use.
	Presuming bool `msg:"p,omitempty"`
}

const (
	// borrowTick is the interval of the borrower's requests that no caller waits for.
	borrowTick = 50 * time.Millisecond
	// borrowTimeout bounds one request to a plan home.
	borrowTimeout = time.Second
	// startTimeout bounds the time that a caller waits for credits.
	startTimeout = 5 * time.Second
	// creditPoll is the shortest interval at which a waiting caller checks for credits
	// if no reply arrives.
	creditPoll = 100 * time.Millisecond
	// grantWait bounds the time that a caller waits while the home has no credits to grant.
	grantWait = 500 * time.Millisecond
)

// plans runs the plan cores: the home of the workspaces whose use this router counts, and
// the borrower for its own callers. It is safe for concurrent use.
type plans struct {
	router *Router

	mu         sync.Mutex
	home       *plan.Home
	borrower   *plan.Borrower
	waiters    map[fleet.WorkspaceID]chan struct{} // closed when a reply was applied
	members    map[fleet.InstanceID]fleet.Member
	handedOver map[fleet.WorkspaceID]plan.UsageRecord // from former homes, not yet adopted
	claimed    map[fleet.WorkspaceID]time.Duration    // when homes without usage records were claimed
	opening    map[fleet.WorkspaceID]bool             // Opening in the latest replies
	presuming  map[fleet.WorkspaceID]bool             // Presuming in the latest replies
	reconciled homesInput
}

func newPlans(r *Router, server *mesh.Server) *plans {
	p := &plans{
		router: r, home: plan.NewHome(r.self.Boot), borrower: plan.NewBorrower(r.self.ID, r.self.Boot),
		waiters:    make(map[fleet.WorkspaceID]chan struct{}),
		handedOver: make(map[fleet.WorkspaceID]plan.UsageRecord),
		claimed:    make(map[fleet.WorkspaceID]time.Duration),
		opening:    make(map[fleet.WorkspaceID]bool),
		presuming:  make(map[fleet.WorkspaceID]bool),
	}
	server.Handle(MethodBorrow, mesh.Unary(p.handleBorrow))
	server.Handle(MethodUsageRecords, mesh.Unary(p.receiveUsageRecords))
	server.Handle(MethodReport, mesh.Unary(p.handleReportRequest))
	return p
}

// charge is the part of a plan that a running request has reserved. It implements
// entry.Charge.
type charge struct {
	plans  *plans
	ticket plan.Ticket
	once   sync.Once
}

// Settle implements entry.Charge.
func (c *charge) Settle(tokens int64) {
	c.once.Do(func() {
		c.plans.mu.Lock()
		defer c.plans.mu.Unlock()
		c.plans.borrower.Settle(c.plans.router.cfg.Clock(), c.ticket, tokens)
	})
}

// errPlanHome is the type of errors of requests whose plan home could not be reached in
// time.
var errPlanHome = fleet.Errors.NewType("plan_home_unreachable")

// Start implements entry.Plans. A request that finds no credits waits until they are
// borrowed. If the home has none to grant, it waits grantWait at most, for credits that
// other routers may return meanwhile.
func (p *plans) Start(ctx context.Context, workspace fleet.WorkspaceID, tokens int64) (entry.Charge, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	began := p.router.cfg.Clock()
	waits := false // whether the borrower counts this request as waiting
	for {
		result, changed, opening := p.startRequest(workspace, tokens, waits)
		if result.Kind == plan.Started {
			return &charge{plans: p, ticket: result.Ticket}, 0, nil
		}
		waits = waits || result.Kind == plan.Wait
		rejected := result.RetryAfter > 0 && !opening
		if rejected && (result.Kind == plan.Exhausted || p.router.cfg.Clock()-began >= grantWait) {
			p.abandon(workspace, tokens, waits)
			return nil, result.RetryAfter, p.checkPresumedUse(workspace)
		}
		if result.RetryAfter == 0 {
			p.requestCredits(workspace)
		}
		select {
		case <-changed:
		case <-time.After(max(min(result.RetryAfter, grantWait), creditPoll)):
		case <-ctx.Done():
			p.abandon(workspace, tokens, waits)
			return nil, 0, fleet.At(errPlanHome.Wrap(ctx.Err(), "borrow"), "plan.borrow", string(p.homeOf(workspace)))
		}
	}
}

// startRequest takes a request's credits from those that the borrower holds; waiting is
// set if the request waits already. The channel is closed when the home's next reply was
// applied; it may be nil if the request does not wait. The last result reports whether the home
// is still opening (see BorrowAnswer).
func (p *plans) startRequest(workspace fleet.WorkspaceID, tokens int64, waiting bool) (plan.StartResult, <-chan struct{}, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.router.cfg.Clock()
	var result plan.StartResult
	if waiting {
		result = p.borrower.Retry(now, workspace, tokens)
	} else {
		result = p.borrower.Start(now, workspace, tokens)
	}
	wait := p.waiters[workspace]
	if wait == nil && result.Kind == plan.Wait {
		wait = make(chan struct{})
		p.waiters[workspace] = wait
	}
	return result, wait, p.opening[workspace]
}

// errUnknownUse is the type of errors of requests rejected for use that their plan's
// home only presumes.
var errUnknownUse = fleet.Errors.NewType("plan_use_unknown")

// checkPresumedUse returns an error if a plan may be exhausted only because its home
// presumes use, or nil if the reported use exhausts it.
func (p *plans) checkPresumedUse(workspace fleet.WorkspaceID) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.presuming[workspace] {
		return nil
	}
	return fleet.At(errUnknownUse.New("the plan may not be exhausted: a router was lost before it reported its use"), "plan.borrow", string(workspace))
}

// setFlag sets the flag of a workspace, or deletes it so that the map stays small.
func setFlag(set map[fleet.WorkspaceID]bool, workspace fleet.WorkspaceID, in bool) {
	if in {
		set[workspace] = true
		return
	}
	delete(set, workspace)
}

// abandon withdraws a request that waits for credits.
func (p *plans) abandon(workspace fleet.WorkspaceID, tokens int64, waits bool) {
	if !waits {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.borrower.Abandon(workspace, tokens)
}

// requestCredits sends a request for credits, unless one is in flight.
func (p *plans) requestCredits(workspace fleet.WorkspaceID) {
	p.mu.Lock()
	request, ok := p.borrower.NextRequest(p.router.cfg.Clock(), workspace)
	p.mu.Unlock()
	if ok {
		go p.sendRequest(request)
	}
}

// sendRequest sends a request to the home and applies its reply.
func (p *plans) sendRequest(request plan.BorrowRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	var answer BorrowAnswer
	err := p.router.cfg.Guard.Confine("plan: borrow credits", func() (err error) {
		answer, err = p.callHome(ctx, request)
		return err
	})
	reply := answer.Reply
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.router.cfg.Clock()
	if err != nil {
		p.router.log.Debug("cannot borrow credits from the plan home", "workspace", string(request.Workspace), "error", err)
		p.borrower.HandleFailure(now, request.Workspace)
		return
	}
	p.borrower.HandleReply(now, reply)
	setFlag(p.opening, request.Workspace, answer.Opening)
	setFlag(p.presuming, request.Workspace, answer.Presuming)
	if reply.NeedHistory {
		if again, ok := p.borrower.NextRequest(now, request.Workspace); ok {
			go p.sendRequest(again)
		}
	}
	if wait := p.waiters[request.Workspace]; wait != nil {
		close(wait)
		delete(p.waiters, request.Workspace)
	}
}

// callHome returns the reply of the workspace's plan home, which may be this router.
func (p *plans) callHome(ctx context.Context, request plan.BorrowRequest) (BorrowAnswer, error) {
	home := p.homeOf(request.Workspace)
	if home == p.router.self.ID {
		reply, err := p.handleBorrow(ctx, "", &request)
		if err != nil {
			return BorrowAnswer{}, err
		}
		return *reply, nil
	}
	member, ok := p.router.member(home)
	if !ok {
		return BorrowAnswer{}, errPlanHome.New("workspace %s has no plan home yet", request.Workspace)
	}
	var reply BorrowAnswer
	err := p.router.pool.Call(ctx, member.Addr, MethodBorrow, &request, &reply)
	return reply, err
}

// homeOf returns the plan home of a workspace; empty before the first placement.
func (p *plans) homeOf(workspace fleet.WorkspaceID) fleet.InstanceID {
	table := p.router.table.Load()
	if table == nil {
		return ""
	}
	return table.Home(workspace)
}

// handleBorrow serves MethodBorrow. A router whose lease has ended grants no credits, since
// another one may be the home by now.
func (p *plans) handleBorrow(_ context.Context, _ string, request *plan.BorrowRequest) (*BorrowAnswer, error) {
	if !p.router.keeper.Authority().Owns(p.router.cfg.Clock(), homeKey(request.Workspace)) {
		return &BorrowAnswer{Opening: true, Reply: plan.BorrowReply{
			Workspace: request.Workspace, Sequence: request.Sequence, Refusal: plan.RejectionNotHome,
		}}, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	reply := p.home.Borrow(p.router.cfg.Clock(), *request)
	_, opening := p.claimed[request.Workspace]
	return &BorrowAnswer{
		Reply: reply, Opening: opening || reply.Refusal == plan.RejectionNotHome,
		Presuming: p.home.PresumesUse(p.router.cfg.Clock(), request.Workspace),
	}, nil
}

// run sends the borrower's due requests, which no caller waits for, and asks for
// reports until ctx ends.
func (p *plans) run(ctx context.Context) {
	ticker := time.NewTicker(borrowTick)
	defer ticker.Stop()
	var due []plan.BorrowRequest
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if round%reportTicks == 0 {
			p.requestReports(ctx)
		}
		p.mu.Lock()
		due = p.borrower.DueRequests(p.router.cfg.Clock(), due[:0])
		p.mu.Unlock()
		for _, request := range due {
			go p.sendRequest(request)
		}
	}
}

// setPlans applies the plans of the configuration in force.
func (p *plans) setPlans() {
	plans := p.router.view.Index().Plans()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.home.SetPlans(p.router.cfg.Clock(), plans)
}
