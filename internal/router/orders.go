package router

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/control"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/lists"
	"github.com/wigeonflow/wigeonflow/internal/operator"
	"github.com/wigeonflow/wigeonflow/internal/upstream"
)

// orderInterval spaces looks at the orders.
const orderInterval = 100 * time.Millisecond

// orderJob carries out the orders of one upstream.
type orderJob struct {
	upstream fleet.Upstream
	checks   bool
	engine   upstream.Engine

	mu     sync.Mutex
	runner *operator.Runner
}

// orderLoop carries out the orders of the engines that this router owns.
func (r *Router) orderLoop(ctx context.Context) {
	jobs := make(map[fleet.UpstreamID]*orderJob)
	ticker := time.NewTicker(orderInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		r.stepOrders(ctx, jobs)
	}
}

func (r *Router) stepOrders(ctx context.Context, jobs map[fleet.UpstreamID]*orderJob) {
	index := r.view.Index()
	for _, order := range index.Orders() {
		if order.Finished() {
			continue
		}
		if job := r.orderJob(jobs, index, order.Spec.Upstream); job != nil {
			r.stepOrder(ctx, job, order)
		}
	}
}

// orderJob returns the job of a listed engine, or nil. An engine at another
// address, or in a pool that checks numbers otherwise, starts a new one.
func (r *Router) orderJob(jobs map[fleet.UpstreamID]*orderJob, index *operator.Index, id fleet.UpstreamID) *orderJob {
	upstreams := *r.upstreams.Load()
	i := slices.IndexFunc(upstreams, func(u fleet.Upstream) bool { return u.ID == id })
	if i < 0 {
		return nil
	}
	u := upstreams[i]
	pool := index.Pool(u.Pool)
	if pool == nil || pool.Kind != lists.KindEngine {
		return nil
	}
	job := jobs[id]
	if job == nil || job.upstream.Addr != u.Addr || job.checks != pool.ChecksFencing {
		job = &orderJob{
			upstream: u, checks: pool.ChecksFencing, engine: upstream.NewEngine(u.Addr, upstream.NewHTTPClient()),
			runner: operator.NewRunner(operator.RunnerSettings{
				Upstream: id, Instance: r.self.ID, Boot: r.self.Boot, ChecksFencing: pool.ChecksFencing,
			}),
		}
		jobs[id] = job
	}
	return job
}

func (r *Router) stepOrder(ctx context.Context, job *orderJob, order operator.Order) {
	now := r.cfg.Clock()
	authority := r.authority.Load()
	job.mu.Lock()
	job.runner.Offer(order)
	step := job.runner.Next(now, authority.Owns(now, string(job.upstream.ID)), authority.Until())
	job.mu.Unlock()
	switch step.Kind {
	case operator.StepClaim:
		r.wg.Go(func() { r.sayOrder(ctx, job, control.OrderRequest{Claim: &step.Claim}, job.runner.Claimed) })
	case operator.StepFinish:
		r.wg.Go(func() { r.sayOrder(ctx, job, control.OrderRequest{Finish: &step.Finish}, job.runner.Finished) })
	case operator.StepRead:
		r.wg.Go(func() { r.readOrder(ctx, job, step) })
	case operator.StepCall:
		r.wg.Go(func() { r.giveOrder(ctx, job, step) })
	}
}

// sayOrder commits a claim or a finish and tells the runner.
func (r *Router) sayOrder(ctx context.Context, job *orderJob, request control.OrderRequest, told func(operator.Answer, bool)) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Settings.Session.Lease)
	defer cancel()
	var answer operator.Answer
	err := r.control.Call(ctx, control.MethodOrder, &request, &answer)
	if err != nil {
		r.log.Warn("order not committed", "upstream", job.upstream.ID, "error", err)
	}
	if f := request.Finish; err == nil && f != nil {
		r.log.Info("order ended", "upstream", f.Upstream, "fencing", uint64(f.Fencing), "succeeded", f.Succeeded, "detail", f.Detail)
	}
	job.mu.Lock()
	defer job.mu.Unlock()
	told(answer, err == nil)
}

func (r *Router) readOrder(ctx context.Context, job *orderJob, step operator.Step) {
	ctx, cancel := context.WithTimeout(ctx, step.Deadline-r.cfg.Clock())
	defer cancel()
	state, err := job.engine.State(ctx)
	result := operator.ReadUnknown
	if err == nil {
		result = readResult(step.Spec, state)
	}
	job.mu.Lock()
	defer job.mu.Unlock()
	job.runner.Read(r.cfg.Clock(), result)
}

// readResult tells whether an engine is as an order wants it.
func readResult(spec operator.OrderSpec, state upstream.OrderState) operator.ReadResult {
	loaded := slices.Contains(state.Models, loadedName(spec))
	done := spec.Action == operator.ActionLoad && loaded ||
		spec.Action == operator.ActionUnload && !loaded ||
		spec.Action == operator.ActionRole && state.Role == spec.Role
	if done {
		return operator.ReadDone
	}
	return operator.ReadOther
}

// loadedName returns how an engine lists what was loaded:
// MODEL[:ADAPTER][@RELEASE].
func loadedName(spec operator.OrderSpec) fleet.ModelName {
	name := string(spec.Model)
	if spec.Adapter != "" {
		name += ":" + spec.Adapter
	}
	if spec.Release != "" {
		name += "@" + spec.Release
	}
	return fleet.ModelName(name)
}

// giveOrder gives the order to the engine. It looks at the lease once more, as
// the last thing before the call.
func (r *Router) giveOrder(ctx context.Context, job *orderJob, step operator.Step) {
	ctx, cancel := context.WithTimeout(ctx, step.Deadline-r.cfg.Clock())
	defer cancel()
	order := upstream.Order{
		Kind: string(step.Spec.Action), Model: step.Spec.Model, Adapter: step.Spec.Adapter,
		Version: step.Spec.Release, Role: step.Spec.Role, Fence: step.Fencing,
	}
	result := operator.CallUnknown
	now := r.cfg.Clock()
	if authority := r.authority.Load(); authority.Owns(now, string(job.upstream.ID)) && now < step.Deadline {
		result = callResult(job.engine.Order(ctx, order))
	}
	if step.Spec.Action == operator.ActionLoad {
		r.owner.Cold(job.upstream.ID)
	}
	job.mu.Lock()
	defer job.mu.Unlock()
	job.runner.Called(r.cfg.Clock(), result, "")
}

func callResult(err error) operator.CallResult {
	var stale *upstream.StaleFenceError
	switch {
	case err == nil:
		return operator.CallTaken
	case errors.As(err, &stale):
		return operator.CallFenced
	default:
		return operator.CallUnknown
	}
}
