package owner

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/admission"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/operator"
	"github.com/wigeonflow/wigeonflow/internal/upstream"
)

// orderPoll is the interval at which open orders are checked.
const orderPoll = 200 * time.Millisecond

// orders carries out operators' orders at the upstreams that this instance owns. It is
// safe for concurrent use.
type orders struct {
	server  *Server
	mu      sync.Mutex
	runners map[fleet.UpstreamID]*operator.Runner
}

// run checks the open orders at regular intervals until ctx ends.
func (o *orders) run(ctx context.Context) {
	fleet.Every(ctx, orderPoll, o.startSteps)
}

// startSteps starts the next step of each open order.
func (o *orders) startSteps(ctx context.Context) {
	index := o.server.cfg.Index()
	for id, t := range o.server.directory.Load().targets {
		order, ok := index.Order(id)
		pool := index.Pool(t.upstream.Pool)
		if !ok || pool == nil || order.Finished() {
			continue
		}
		o.startStep(ctx, t, order, pool.ChecksFencing)
	}
}

// startStep starts the next step of the upstream's runner in the background.
func (o *orders) startStep(ctx context.Context, t target, order operator.Order, checksFencing bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	runner := o.runners[t.upstream.ID]
	if runner == nil {
		runner = operator.NewRunner(operator.RunnerSettings{
			Upstream: t.upstream.ID, Instance: o.server.cfg.Instance, Boot: o.server.cfg.Boot,
		})
		o.runners[t.upstream.ID] = runner
	}
	runner.SetChecksFencing(checksFencing)
	runner.SetOrder(order)
	now, authority := o.server.cfg.Clock(), o.server.cfg.Authority()
	step := runner.Next(now, authority.Owns(now, string(t.upstream.ID)), authority.Until())
	if step.Kind != operator.StepNone {
		go o.execute(ctx, t, runner, step)
	}
}

// execute carries out one step and reports its result to the runner.
func (o *orders) execute(ctx context.Context, t target, runner *operator.Runner, step operator.Step) {
	var report func(now time.Duration)
	switch step.Kind {
	case operator.StepClaim:
		a, err := o.server.cfg.Orders(ctx, &step.Claim, nil)
		report = func(time.Duration) { runner.HandleClaim(a, err == nil) }
	case operator.StepFinish:
		a, err := o.server.cfg.Orders(ctx, nil, &step.Finish)
		o.server.log.Info("order ended", "upstream", string(t.upstream.ID), "succeeded", step.Finish.Succeeded, "detail", step.Finish.Detail, "error", err)
		report = func(time.Duration) { runner.HandleFinish(a, err == nil) }
	case operator.StepRead:
		result := o.readState(ctx, t, step)
		report = func(now time.Duration) { runner.HandleRead(now, result) }
	default:
		result, detail := o.sendOrder(ctx, t, step)
		report = func(now time.Duration) { runner.HandleCall(now, result, detail) }
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	report(o.server.cfg.Clock())
}

// stepContext returns a context that ends at the step's deadline.
func (o *orders) stepContext(ctx context.Context, step operator.Step) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, max(step.Deadline-o.server.cfg.Clock(), 0))
}

// readState reads whether the engine is in the state that the order asks for.
func (o *orders) readState(ctx context.Context, t target, step operator.Step) operator.ReadResult {
	ctx, cancel := o.stepContext(ctx, step)
	defer cancel()
	state, err := t.engine.State(ctx)
	switch {
	case err != nil:
		return operator.ReadUnknown
	case fulfilled(step.Spec, state):
		return operator.ReadDone
	default:
		return operator.ReadOther
	}
}

// fulfilled reports whether an engine is in the state that an order asks for.
func fulfilled(spec operator.OrderSpec, state upstream.OrderState) bool {
	switch spec.Action {
	case operator.ActionLoad:
		return slices.Contains(state.Models, loadedName(spec))
	case operator.ActionUnload:
		return !slices.Contains(state.Models, loadedName(spec))
	default:
		return state.Role == spec.Role
	}
}

// loadedName returns the name under which an engine lists the model that an order
// loads: MODEL[:ADAPTER][@VERSION].
func loadedName(spec operator.OrderSpec) fleet.ModelName {
	name := spec.Model
	if spec.Adapter != "" {
		name += fleet.ModelName(":" + spec.Adapter)
	}
	if spec.Release != "" {
		name += fleet.ModelName("@" + spec.Release)
	}
	return name
}

// sendOrder sends the order to the engine. It resets the engine's window as after a start,
// since loading costs as much.
func (o *orders) sendOrder(ctx context.Context, t target, step operator.Step) (operator.CallResult, string) {
	ctx, cancel := o.stepContext(ctx, step)
	defer cancel()
	if o.server.checkAuthority(t.upstream.ID) != RejectionNone {
		return operator.CallUnknown, "no lease"
	}
	o.server.gate.withCore(func(core *admission.Gate) { core.RestartWindow(t.upstream.ID) })
	err := t.engine.Order(ctx, upstream.Order{
		Kind: string(step.Spec.Action), Model: step.Spec.Model, Adapter: step.Spec.Adapter,
		Version: step.Spec.Release, Role: step.Spec.Role, Fence: step.Fencing,
	})
	var stale *upstream.StaleFenceError
	switch {
	case err == nil:
		return operator.CallAccepted, ""
	case errors.As(err, &stale):
		return operator.CallFenced, err.Error()
	default:
		return operator.CallUnknown, err.Error()
	}
}
