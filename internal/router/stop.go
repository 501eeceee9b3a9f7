package router

import (
	"context"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// stopPoll is the interval at which a stopping router checks for running requests.
const stopPoll = 50 * time.Millisecond

// errGracePeriod is the type of errors of a stop whose context ended first.
var errGracePeriod = fleet.Errors.NewType("grace_period_over")

// Drain makes the router report itself as not ready, and returns when ctx ends or after
// the drain notice, within which the load balancer learns that it is not ready. The router
// keeps serving meanwhile.
func (r *Router) Drain(ctx context.Context) {
	r.log.Info("draining", "running", r.entry.Running())
	r.stop.Store(fleet.NewPlannedStop(ctx, r.cfg.Clock(), r.cfg.Settings.DrainNotice))
	r.stopping.Store(true)
	fleet.Pause(ctx, r.cfg.Settings.DrainNotice)
}

// Stop stops the router once callers' requests have ended: it hands its upstreams and
// plan homes over to the other members, completes the requests that other entries run
// here, and returns the lease. Call Drain and stop the callers' server before it. It
// returns an error if ctx ends first.
func (r *Router) Stop(ctx context.Context) error {
	err := r.await(ctx, func() bool { return r.entry.Running() == 0 })
	r.setDraining(true)
	if err == nil {
		err = r.await(ctx, func() bool { return r.owner.Running() == 0 })
	}
	r.keeper.Leave()
	if err == nil {
		err = r.await(ctx, r.hasLeft)
	}
	r.cancel()
	r.wg.Wait()
	return err
}

// setDraining starts or cancels the handover of this router's upstreams and plan homes to the
// other members.
func (r *Router) setDraining(draining bool) { r.keeper.SetDraining(draining) }

// hasLeft reports whether the lease was returned and no request runs here.
func (r *Router) hasLeft() bool { return r.keeper.HasLeft() && r.owner.Running() == 0 }

// await waits until done returns true. It returns an error if ctx ends first.
func (r *Router) await(ctx context.Context, done func() bool) error {
	if !fleet.Await(ctx, stopPoll, done) {
		return errGracePeriod.New("the grace period ended before the router had stopped: %d callers' requests and %d requests at upstreams running", r.entry.Running(), r.owner.Running())
	}
	return nil
}
