package gateway

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"github.com/wigeonflow/wigeonflow/internal/balance"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/rollout"
	"github.com/wigeonflow/wigeonflow/internal/telemetry"
)

// RolloutsConfig configures Rollouts.
type RolloutsConfig struct {
	Limits rollout.Limits
	// Contact is the time for which a new version is held without a confirmation; 0 for no limit.
	Contact time.Duration
	// Seed differs between routers and their boots.
	Seed  uint64
	Clock fleet.Clock
	// TimeOfDay returns the milliseconds since 1970.
	TimeOfDay func() int64
	// Record returns the newest roll-out of a pool in the configuration; ok is false if there is none.
	Record func(fleet.PoolID) (record rollout.Rollout, ok bool)
	// ConfirmedAt returns the newest confirmation of the configuration, Routers the number of
	// routers, 0 while unknown.
	ConfirmedAt func() time.Duration
	Routers     func() int
	Metrics     metrics.Registry
	Logger      hclog.Logger
}

// Rollouts divides this router's requests between the versions of upstreams while roll-outs are under
// way, and counts how these serve. It is safe for concurrent use. A nil Rollouts does nothing.
type Rollouts struct {
	cfg RolloutsConfig

	mu    sync.Mutex
	pools map[fleet.PoolID]*rolloutLedger
}

// NewRollouts returns a Rollouts, or nil if roll-outs are turned off.
func NewRollouts(cfg RolloutsConfig) *Rollouts {
	if !cfg.Limits.Enabled() {
		return nil
	}
	return &Rollouts{cfg: cfg, pools: make(map[fleet.PoolID]*rolloutLedger)}
}

// knowledge returns what the router knows now.
func (r *Rollouts) knowledge() rolloutKnowledge {
	return rolloutKnowledge{now: r.cfg.Clock(), confirmedAt: r.cfg.ConfirmedAt(), timeOfDay: r.cfg.TimeOfDay(), routers: r.cfg.Routers()}
}

// pool returns the ledger of a pool, which it adds if it is new. mu must be held.
func (r *Rollouts) pool(id fleet.PoolID) *rolloutLedger {
	l := r.pools[id]
	if l == nil {
		l = newRolloutLedger(r.cfg.Limits, r.cfg.Contact, r.cfg.Seed^xxhash.Sum64String(string(id)))
		r.pools[id] = l
	}
	return l
}

// ApplyConfig takes in the roll-outs of the configuration.
func (r *Rollouts) ApplyConfig() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, l := range r.pools {
		l.changed()
		r.readRecord(id, l)
	}
}

// readRecord takes in the roll-out of a pool. mu must be held.
func (r *Rollouts) readRecord(id fleet.PoolID, l *rolloutLedger) {
	l.timeOfDay = r.cfg.TimeOfDay()
	record, ok := r.cfg.Record(id)
	if !ok || !l.setRecord(r.cfg.Clock(), record) {
		return
	}
	r.setShareGauge(record)
	r.cfg.Logger.Info("roll-out step in force", "pool", string(id), "rollout", uint64(record.ID), "to", record.To,
		"step", record.Step, "state", record.State.String(), "share", record.Share, "requests", l.requests, "exposed", l.exposed)
}

// setShareGauge shows the share that the new version of a pool may get.
func (r *Rollouts) setShareGauge(record rollout.Rollout) {
	share := int64(record.Share)
	switch record.State {
	case rollout.RolledBack:
		share = 0
	case rollout.Completed:
		share = rollout.FullShare
	}
	metrics.GetOrRegisterGauge(telemetry.MetricName("gateway_rollout_share", "pool", string(record.Pool)), r.cfg.Metrics).Update(share)
}

// SetUpstreams takes in a changed upstream list.
func (r *Rollouts) SetUpstreams(list []balance.ListedUpstream) {
	if r == nil {
		return
	}
	byPool := make(map[fleet.PoolID]map[string]listedVersion)
	for _, u := range list {
		versions := byPool[u.Pool]
		if versions == nil {
			versions = make(map[string]listedVersion)
			byPool[u.Pool] = versions
		}
		l := versions[u.Version]
		l.listed++
		if u.ColdFor <= 0 {
			l.warm++
		}
		versions[u.Version] = l
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range byPool {
		r.pool(id)
	}
	for id, l := range r.pools {
		r.readRecord(id, l)
		l.setListed(r.cfg.Clock(), byPool[id])
	}
}

// Policy returns which versions of a pool's upstreams may get requests; nil means all.
func (r *Rollouts) Policy(id fleet.PoolID) *balance.VersionPolicy {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.pools[id]
	if l == nil {
		return nil
	}
	return l.update(r.cfg.Clock(), r.cfg.ConfirmedAt())
}

// choose chooses an upstream for a request by the given function, for one side after the other.
func (r *Rollouts) choose(request *balance.Request, of sideRequest, choose func(*balance.Request) *balance.Pick) *balance.Pick {
	id := request.Pool.Name
	sides, rolloutID := r.sides(id, of)
	for _, side := range sides.order {
		request.Side = side
		if pick := choose(request); pick != nil {
			r.settle(id, rolloutID, func(l *rolloutLedger) { l.commit(sides, side) })
			return pick
		}
	}
	r.settle(id, rolloutID, func(l *rolloutLedger) { l.cancel(sides) })
	return nil
}

// sides returns the sides to try for a request, and the roll-out that they belong to.
func (r *Rollouts) sides(id fleet.PoolID, of sideRequest) (sideChoice, fleet.ConfigVersion) {
	k := r.knowledge()
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.pool(id)
	return l.sides(k, of), l.record.ID
}

// settle calls f with the ledger of a pool if its roll-out is still the one with the given ID.
func (r *Rollouts) settle(id fleet.PoolID, rolloutID fleet.ConfigVersion, f func(*rolloutLedger)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l := r.pool(id); l.record.ID == rolloutID {
		f(l)
	}
}

// rolloutAttempt is what an attempt at an upstream is counted by.
type rolloutAttempt struct {
	rollout fleet.ConfigVersion // under way when the attempt began; 0 for none
	isNew   bool
}

// begin counts an attempt that holds a slot of an upstream.
func (r *Rollouts) begin(u *fleet.Upstream) (a rolloutAttempt) {
	if r == nil {
		return a
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.pool(u.Pool)
	l.countRunning(u.Version, 1)
	if l.active() {
		a.rollout, a.isNew = l.record.ID, u.Version == l.record.To
	}
	return a
}

// checkGrant returns an error if the new version may not get an attempt that was counted for it any
// more: the process may have been stopped for a while since then.
func (r *Rollouts) checkGrant(u *fleet.Upstream, a rolloutAttempt) error {
	if r == nil || !a.isNew {
		return nil
	}
	k := r.knowledge()
	r.mu.Lock()
	defer r.mu.Unlock()
	switch l := r.pool(u.Pool); {
	case l.record.ID != a.rollout:
		return nil
	case l.record.State == rollout.RolledBack, l.record.State == rollout.InProgress && l.isStale(k) && l.oldListed() && !l.isDecided(k):
		return errGrantLapsed
	default:
		return nil
	}
}

// end counts the end of an attempt. sent is false if the upstream has received nothing of the request,
// gone is set if it is not there any more. sample is nil if the attempt says nothing about the
// upstream's version.
func (r *Rollouts) end(u *fleet.Upstream, a rolloutAttempt, sent, gone bool, sample *answerSample) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.pool(u.Pool)
	l.countRunning(u.Version, -1)
	if a.rollout == 0 || a.rollout != l.record.ID {
		return
	}
	if !sent && a.isNew {
		l.exposed--
	}
	if gone && !a.isNew {
		l.goneUntil = r.cfg.Clock() + goneFor
	}
	if sample == nil || !l.active() {
		return
	}
	sample.isNew = a.isNew
	bad := l.counts.add(*sample)
	stopped := l.stopped
	if l.recordAnswer(a.isNew, bad); l.stopped && !stopped {
		r.cfg.Logger.Warn("new version gets nothing from this router until the next step: most of its answers are bad",
			"pool", string(u.Pool), "rollout", uint64(l.record.ID), "to", l.record.To, "step", l.record.Step, "answers", l.answers, "bad", l.bad)
	}
	r.countAnswer(u.Pool, sample, bad)
}

// countAnswer counts an answer in the metrics.
func (r *Rollouts) countAnswer(pool fleet.PoolID, sample *answerSample, bad bool) {
	version, outcome := "old", "served"
	if sample.isNew {
		version = "new"
	}
	switch {
	case sample.failed:
		outcome = "failed"
	case bad:
		outcome = "slow"
	}
	metrics.GetOrRegisterCounter(telemetry.MetricName("gateway_rollout_requests", "pool", string(pool), "version", version, "outcome", outcome), r.cfg.Metrics).Inc(1)
}

// Reports returns what this router has seen of the roll-outs under way.
func (r *Rollouts) Reports() []rollout.Report {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []rollout.Report
	for _, l := range r.pools {
		if report, ok := l.report(); ok {
			out = append(out, report)
		}
	}
	return out
}

// movesFrom reports whether the streams that run at an upstream are to be moved to a new version.
func (r *Rollouts) movesFrom(u *fleet.Upstream) bool {
	if r == nil {
		return false
	}
	k := r.knowledge()
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.pools[u.Pool]
	return l != nil && l.movesFrom(k, u.Version)
}
