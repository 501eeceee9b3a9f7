package router

import (
	"context"
	"net/url"

	"github.com/wigeonflow/wigeonflow/internal/admission"
	"github.com/wigeonflow/wigeonflow/internal/control"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/ledger"
	"github.com/wigeonflow/wigeonflow/internal/member"
	"github.com/wigeonflow/wigeonflow/internal/operator"
	"github.com/wigeonflow/wigeonflow/internal/session"
	"github.com/wigeonflow/wigeonflow/internal/settings"
)

func sessionSettings(s settings.Settings) session.Settings {
	return session.Settings{Lease: s.Session.Lease, RenewInterval: s.Session.RenewInterval}
}

// hostOf returns the IP:port of a base URL, which was validated with the settings.
func hostOf(base string) string {
	u, err := url.Parse(base)
	if err != nil {
		return base
	}
	return u.Host
}

// newKeeper returns the keeper of the router's session.
func (r *Router) newKeeper() *member.Keeper {
	return member.NewKeeper(member.Config{
		Self: r.self, Session: sessionSettings(r.cfg.Settings), Clock: r.cfg.Clock, Control: r.control, Logger: r.log,
		Owner:           r.ownerOf,
		InForce:         func() fleet.ConfigVersion { return fleet.ConfigVersion(r.inForce.Load()) },
		Loads:           func() []session.PoolLoad { return poolLoads(r.owner.Loads()) },
		HeldBackByBound: func() bool { return r.owner.HeldBackByBound() },
		OnSessionChange: func() { r.reconcile(context.Background()) },
		OnPoolMeans:     r.setPoolMeans,
		OnConfig: func() {
			r.plans.setPlans()
			r.triggerReconcile()
		},
	})
}

// setPoolMeans passes the pool mean loads of the fleet to the owner, which derives its
// load bounds from them.
func (r *Router) setPoolMeans(means []session.PoolMean, own []session.PoolLoad) {
	for _, mean := range means {
		r.owner.SetPoolLoad(mean.Pool, admission.PoolLoad{Total: toSums(mean), Own: ownSums(own, mean.Pool)})
	}
}

// commitLedgerCommand commits a ledger command in the control group.
func (r *Router) commitLedgerCommand(ctx context.Context, command ledger.Command) (ledger.Result, error) {
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

// commitOrder commits a claim or a finish of an order in the control group.
func (r *Router) commitOrder(ctx context.Context, claim *operator.Claim, finish *operator.Finish) (operator.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Settings.Session.Lease)
	defer cancel()
	var answer operator.Answer
	err := r.control.Call(ctx, control.MethodOrder, &control.OrderRequest{Claim: claim, Finish: finish}, &answer)
	return answer, err
}
