package router

import (
	"context"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// stopPoll spaces looks at what still runs.
const stopPoll = 50 * time.Millisecond

// errGracePeriod means that work was still running when a stop had to end.
var errGracePeriod = fleet.Errors.NewType("grace_period_over")

// Drain makes the router answer as not ready while it goes on serving what
// arrives, until the balancer has seen it.
func (r *Router) Drain(ctx context.Context) {
	r.log.Info("draining", "running", r.entry.Running())
	r.stopping.Store(true)
	fleet.Pause(ctx, r.cfg.Settings.DrainNotice)
}

// Stop ends the router once callers' requests have ended: it has the other
// members take its upstreams and plan homes over, finishes the work that other
// entries run here, and gives the lease back. Drain and the end of the callers'
// server come before it. It returns an error where ctx ends with work running.
func (r *Router) Stop(ctx context.Context) error {
	err := r.await(ctx, func() bool { return r.entry.Running() == 0 })
	r.drain(true)
	if err == nil {
		err = r.await(ctx, func() bool { return r.owner.Running() == 0 })
	}
	r.keeper.Leave()
	if err == nil {
		err = r.await(ctx, r.left)
	}
	r.cancel()
	r.wg.Wait()
	return err
}

// drain has the other members own what this one does, or takes that back.
func (r *Router) drain(draining bool) { r.keeper.Drain(draining) }

// left tells whether the lease is back and nothing runs here.
func (r *Router) left() bool { return r.keeper.Left() && r.owner.Running() == 0 }

func (r *Router) await(ctx context.Context, done func() bool) error {
	if !fleet.Await(ctx, stopPoll, done) {
		return errGracePeriod.New("%d callers' requests and %d at upstreams still run", r.entry.Running(), r.owner.Running())
	}
	return nil
}
