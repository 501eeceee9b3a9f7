package router

import (
	"context"
	"net/url"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/admission"
	"github.com/wigeonflow/wigeonflow/internal/control"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/ledger"
	"github.com/wigeonflow/wigeonflow/internal/operator"
	"github.com/wigeonflow/wigeonflow/internal/session"
	"github.com/wigeonflow/wigeonflow/internal/settings"
)

const (
	// minRenewPause bounds how often a router renews while it waits for a grant.
	minRenewPause = 20 * time.Millisecond
	// pressedPause is the time between renewals while work waits for a load bound
	// that a newer mean may raise.
	pressedPause = 200 * time.Millisecond
)

func sessionSettings(s settings.Settings) session.Settings {
	return session.Settings{Lease: s.Session.Lease, RenewInterval: s.Session.RenewInterval}
}

// hostOf returns the IP:port of a base URL that the settings have checked.
func hostOf(base string) string {
	u, err := url.Parse(base)
	if err != nil {
		return base
	}
	return u.Host
}

// renewLoop keeps the session lease until ctx ends.
func (r *Router) renewLoop(ctx context.Context) {
	for ctx.Err() == nil {
		r.renew(ctx)
		r.awaitRenewal(ctx)
	}
}

// awaitRenewal waits until the next renewal is due.
func (r *Router) awaitRenewal(ctx context.Context) {
	renewed := r.cfg.Clock()
	for {
		left := max(r.nextRenewal(), renewed+minRenewPause) - r.cfg.Clock()
		if r.owner.Pressed() {
			left = min(left, renewed+pressedPause-r.cfg.Clock())
		}
		if left <= 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-r.noticed: // look at the time of the next renewal again
		case <-time.After(min(left, pressedPause)):
		}
	}
}

// watchLoop renews at once whenever the control leader has something new.
func (r *Router) watchLoop(ctx context.Context) {
	r.control.Watch(ctx, func(n session.Notice) {
		r.holderMu.Lock()
		now := r.cfg.Clock()
		r.holder.Notice(now, n)
		due := r.holder.NextRenewal() <= now
		r.holderMu.Unlock()
		if !due {
			return
		}
		select {
		case r.noticed <- struct{}{}:
		default:
		}
	})
}

func (r *Router) nextRenewal() time.Duration {
	r.holderMu.Lock()
	defer r.holderMu.Unlock()
	return r.holder.NextRenewal()
}

// renew makes one renewal and takes its reply. An epoch or a version that the
// reply brings is in force before a renewal acknowledges it.
func (r *Router) renew(ctx context.Context) {
	request := r.renewRequest()
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Settings.Session.Lease/2)
	defer cancel()
	var reply session.RenewReply
	if err := r.control.Call(ctx, control.MethodRenew, request, &reply); err != nil {
		r.log.Warn("session not renewed", "error", err)
		return
	}
	r.takeReply(&reply, request.Loads)
	if reply.Version > r.view.Version() {
		r.fetchConfig(ctx)
	}
}

func (r *Router) renewRequest() *session.RenewRequest {
	loads := poolLoads(r.owner.Loads())
	r.holderMu.Lock()
	defer r.holderMu.Unlock()
	request := r.holder.Request(r.cfg.Clock(), fleet.ConfigVersion(r.inForce.Load()), loads)
	r.publishAuthority()
	return request
}

// publishAuthority hands the holder's authority to those who dispatch. The
// caller holds holderMu.
func (r *Router) publishAuthority() {
	authority := r.holder.Authority()
	r.authority.Store(&authority)
	if now := r.cfg.Clock(); authority.Valid(now) {
		lease := r.tenure.Renewed(now, authority.Until())
		r.leases.Store(&lease)
	}
}

func (r *Router) takeReply(reply *session.RenewReply, own []session.PoolLoad) {
	r.holderMu.Lock()
	before := r.holder.Authority()
	taken := r.holder.Take(r.cfg.Clock(), reply)
	after := r.holder.Authority()
	means := r.holder.Means()
	r.publishAuthority()
	r.holderMu.Unlock()
	if !taken {
		return
	}
	if before.Membership().Epoch != after.Membership().Epoch || before.Settled() != after.Settled() || before.Valid(r.cfg.Clock()) != after.Valid(r.cfg.Clock()) {
		r.reconcile(context.Background())
	}
	for _, mean := range means {
		r.owner.SetPool(mean.Pool, admission.PoolLoad{Total: meanSums(mean), Own: ownSums(own, mean.Pool)})
	}
}

// ledger has a command committed by the control group.
func (r *Router) ledger(ctx context.Context, command ledger.Command) (ledger.Result, error) {
	encoded, err := command.Encode()
	if err != nil {
		return ledger.Result{}, err
	}
	var reply control.LedgerReply
	if err := r.control.Call(ctx, control.MethodLedger, &control.LedgerRequest{Command: encoded}, &reply); err != nil {
		return ledger.Result{}, err
	}
	return ledger.DecodeResult(reply.Result)
}

// order has a claim or a finish of an order committed by the control group.
func (r *Router) order(ctx context.Context, claim *operator.Claim, finish *operator.Finish) (operator.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Settings.Session.Lease)
	defer cancel()
	var answer operator.Answer
	err := r.control.Call(ctx, control.MethodOrder, &control.OrderRequest{Claim: claim, Finish: finish}, &answer)
	return answer, err
}

// fetchConfig brings the newest committed configuration into force.
func (r *Router) fetchConfig(ctx context.Context) {
	changed, err := r.fetcher.Fetch(ctx, r.view)
	if err != nil {
		r.log.Warn("configuration not fetched", "error", err)
		return
	}
	if changed {
		r.log.Info("configuration in force", "version", uint64(r.view.Version()))
		r.plans.setPlans()
		r.notify()
	}
}
