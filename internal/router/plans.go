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
	// Opening means that the home has taken over without books and lends less
	// than the plan until it knows what is in use.
	Opening bool `msg:"o"`
	// Presuming means that tokens count as used that nobody knows of, since a
	// router was lost before it had reported them.
	Presuming bool `msg:"p,omitempty"`
}

const (
	// borrowTick spaces the borrower's requests that no caller waits for.
	borrowTick = 50 * time.Millisecond
	// borrowTimeout bounds one request to a plan home.
	borrowTimeout = time.Second
	// startTimeout bounds how long a caller waits for its plan's counts.
	startTimeout = 5 * time.Second
	// borrowRetry spaces a caller's looks at its plan without news of credits.
	borrowRetry = 100 * time.Millisecond
	// lendWait is how long a caller waits while the home has nothing to lend.
	lendWait = 500 * time.Millisecond
)

// plans runs the plan cores: the home of the workspaces that this router counts
// for, and the borrower for its own callers.
type plans struct {
	router *Router

	mu       sync.Mutex
	home     *plan.Home
	borrower *plan.Borrower
	waiters  map[fleet.WorkspaceID]chan struct{} // closed when a reply is taken
	members  map[fleet.InstanceID]fleet.Member
	handed   map[fleet.WorkspaceID]plan.Books    // from former homes, not yet taken over
	taken    map[fleet.WorkspaceID]time.Duration // when homes without books were taken
	opening  map[fleet.WorkspaceID]bool          // as their homes last told
	presumed map[fleet.WorkspaceID]bool          // likewise: Presuming
	seen     homesSeen
}

func newPlans(r *Router, server *mesh.Server) *plans {
	p := &plans{
		router: r, home: plan.NewHome(r.self.Boot), borrower: plan.NewBorrower(r.self.ID, r.self.Boot),
		waiters:  make(map[fleet.WorkspaceID]chan struct{}),
		handed:   make(map[fleet.WorkspaceID]plan.Books),
		taken:    make(map[fleet.WorkspaceID]time.Duration),
		opening:  make(map[fleet.WorkspaceID]bool),
		presumed: make(map[fleet.WorkspaceID]bool),
	}
	server.Handle(MethodBorrow, mesh.Unary(p.borrow))
	server.Handle(MethodBooks, mesh.Unary(p.takeBooks))
	server.Handle(MethodReport, mesh.Unary(p.report))
	return p
}

// charge is what a running request holds of its plan.
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

// errPlanHome means that the plan's counts could not be reached in time.
var errPlanHome = fleet.Errors.NewType("plan_home_unreachable")

// Start implements entry.Plans. A request that finds no credits waits while they
// are fetched; one that the home has no room for waits lendWait at most, for
// credits that other routers are about to give back.
func (p *plans) Start(ctx context.Context, workspace fleet.WorkspaceID, tokens int64) (entry.Charge, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	first := p.router.cfg.Clock()
	waits := false // the borrower counts this request among those that wait
	for {
		answer, changed, opening := p.try(workspace, tokens, waits)
		if answer.Step == plan.Started {
			return &charge{plans: p, ticket: answer.Ticket}, 0, nil
		}
		waits = waits || answer.Step == plan.Wait
		refused := answer.RetryAfter > 0 && !opening
		if refused && (answer.Step == plan.Over || p.router.cfg.Clock()-first >= lendWait) {
			p.abandon(workspace, tokens, waits)
			return nil, answer.RetryAfter, p.unknownUse(workspace)
		}
		if answer.RetryAfter == 0 {
			p.ask(workspace)
		}
		select {
		case <-changed:
		case <-time.After(max(min(answer.RetryAfter, lendWait), borrowRetry)):
		case <-ctx.Done():
			p.abandon(workspace, tokens, waits)
			return nil, 0, fleet.At(errPlanHome.Wrap(ctx.Err(), "borrow"), "plan.borrow", string(p.homeOf(workspace)))
		}
	}
}

// try looks at the credits in hand, again where the request waits already. It
// returns what tells of new ones, and whether the home is still opening.
func (p *plans) try(workspace fleet.WorkspaceID, tokens int64, again bool) (plan.Answer, <-chan struct{}, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.router.cfg.Clock()
	var answer plan.Answer
	if again {
		answer = p.borrower.Retry(now, workspace, tokens)
	} else {
		answer = p.borrower.Start(now, workspace, tokens)
	}
	wait := p.waiters[workspace]
	if wait == nil && answer.Step == plan.Wait {
		wait = make(chan struct{})
		p.waiters[workspace] = wait
	}
	return answer, wait, p.opening[workspace]
}

// errUnknownUse means that the plan may have room, which its home cannot know.
var errUnknownUse = fleet.Errors.NewType("plan_use_unknown")

// unknownUse is the error of a refusal for presumed use, nil where the plan has
// no room for all that is known.
func (p *plans) unknownUse(workspace fleet.WorkspaceID) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.presumed[workspace] {
		return nil
	}
	return fleet.At(errUnknownUse.New("a router was lost before it reported its use"), "plan.borrow", string(workspace))
}

// mark keeps a set of workspaces without empty entries.
func mark(set map[fleet.WorkspaceID]bool, workspace fleet.WorkspaceID, in bool) {
	if in {
		set[workspace] = true
		return
	}
	delete(set, workspace)
}

func (p *plans) abandon(workspace fleet.WorkspaceID, tokens int64, waits bool) {
	if !waits {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.borrower.Abandon(workspace, tokens)
}

// ask sends a request for credits, unless one is on its way.
func (p *plans) ask(workspace fleet.WorkspaceID) {
	p.mu.Lock()
	request, ok := p.borrower.Ask(p.router.cfg.Clock(), workspace)
	p.mu.Unlock()
	if ok {
		go p.send(request)
	}
}

// send asks the home and takes its reply.
func (p *plans) send(request plan.BorrowRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	answer, err := p.call(ctx, request)
	reply := answer.Reply
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.router.cfg.Clock()
	if err != nil {
		p.router.log.Debug("credits not borrowed", "workspace", string(request.Workspace), "error", err)
		p.borrower.Failed(now, request.Workspace)
		return
	}
	p.borrower.Take(now, reply)
	mark(p.opening, request.Workspace, answer.Opening)
	mark(p.presumed, request.Workspace, answer.Presuming)
	if reply.NeedHistory {
		if again, ok := p.borrower.Ask(now, request.Workspace); ok {
			go p.send(again)
		}
	}
	if wait := p.waiters[request.Workspace]; wait != nil {
		close(wait)
		delete(p.waiters, request.Workspace)
	}
}

func (p *plans) call(ctx context.Context, request plan.BorrowRequest) (BorrowAnswer, error) {
	home := p.homeOf(request.Workspace)
	if home == p.router.self.ID {
		reply, err := p.borrow(ctx, "", &request)
		if err != nil {
			return BorrowAnswer{}, err
		}
		return *reply, nil
	}
	member, ok := p.router.member(home)
	if !ok {
		return BorrowAnswer{}, errPlanHome.New("the workspace has no home")
	}
	var reply BorrowAnswer
	err := p.router.pool.Call(ctx, member.Addr, MethodBorrow, &request, &reply)
	return reply, err
}

func (p *plans) homeOf(workspace fleet.WorkspaceID) fleet.InstanceID {
	table := p.router.table.Load()
	if table == nil {
		return ""
	}
	return table.Home(workspace)
}

// borrow serves MethodBorrow. A router whose lease has run out counts for
// nobody: another may be the home by now.
func (p *plans) borrow(_ context.Context, _ string, request *plan.BorrowRequest) (*BorrowAnswer, error) {
	if !p.router.keeper.Authority().Owns(p.router.cfg.Clock(), homeKey(request.Workspace)) {
		return &BorrowAnswer{Opening: true, Reply: plan.BorrowReply{
			Workspace: request.Workspace, Sequence: request.Sequence, Refusal: plan.RefusalNotHome,
		}}, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	reply := p.home.Borrow(p.router.cfg.Clock(), *request)
	_, opening := p.taken[request.Workspace]
	return &BorrowAnswer{
		Reply: reply, Opening: opening || reply.Refusal == plan.RefusalNotHome,
		Presuming: p.home.Presuming(p.router.cfg.Clock(), request.Workspace),
	}, nil
}

// run sends what is due without a caller waiting until ctx ends.
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
		if round%reportRounds == 0 {
			p.askReports(ctx)
		}
		p.mu.Lock()
		due = p.borrower.Due(p.router.cfg.Clock(), due[:0])
		p.mu.Unlock()
		for _, request := range due {
			go p.send(request)
		}
	}
}

// setPlans takes the first list of the configuration in force.
func (p *plans) setPlans() {
	plans := p.router.view.Index().Plans()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.home.SetPlans(p.router.cfg.Clock(), plans)
}
