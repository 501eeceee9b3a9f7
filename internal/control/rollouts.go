package control

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/operator"
	"github.com/wigeonflow/wigeonflow/internal/rollout"
	"github.com/wigeonflow/wigeonflow/internal/session"
	"github.com/wigeonflow/wigeonflow/internal/telemetry"
)

// rollouts decides the steps of roll-outs while this member leads. What routers have reported is
// forgotten when the leadership ends: they send running counts, so the next leader has them after one
// round of renewals. It is safe for concurrent use.
type rollouts struct {
	log    hclog.Logger
	limits rollout.Limits
	clock  fleet.Clock
	// wall returns the time of day, which records hold.
	wall      func() time.Time
	committed func() *operator.Committed
	// propose commits a command of the configuration and returns its answer.
	propose func(ctx context.Context, command []byte) ([]byte, error)
	// routers returns the members of the fleet.
	routers func() []rollout.Router
	metrics metrics.Registry
	guard   *fleet.Guard // confines panics of the decision

	mu      sync.Mutex
	leading bool
	judged  map[fleet.PoolID]*judged
	shown   *operator.Committed // whose records the gauges show
}

// judged is a roll-out in progress.
type judged struct {
	judge *rollout.Judge
	// proposing is set while a step is being committed.
	proposing bool
}

// setLeading forgets what was reported, at each change of the leadership.
func (r *rollouts) setLeading(leading bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leading = leading
	r.judged = make(map[fleet.PoolID]*judged)
}

// report counts what a router has reported with a renewal. It keeps the reports.
func (r *rollouts) report(req *session.RenewRequest) {
	if len(req.Rollouts) == 0 || !r.limits.Enabled() {
		return
	}
	err := r.guard.Confine("report of roll-outs", func() error {
		r.add(req)
		return nil
	})
	if err != nil {
		r.log.Error("report of roll-outs not counted", "router", req.Instance, "error", err)
	}
}

func (r *rollouts) add(req *session.RenewRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.leading {
		return
	}
	r.adopt(r.committed())
	for _, report := range req.Rollouts {
		if j := r.judged[report.Pool]; j != nil {
			j.judge.Add(r.clock(), rollout.Router{Instance: req.Instance, Boot: req.Boot}, req.Seq, report)
		}
	}
}

// tick proposes the steps that are due.
func (r *rollouts) tick(ctx context.Context) {
	var steps []step
	err := r.guard.Confine("decision of roll-outs", func() error {
		steps = r.due()
		return nil
	})
	if err != nil {
		r.log.Error("roll-outs not decided", "error", err)
	}
	for _, step := range steps {
		go r.commit(ctx, step)
	}
}

// step is the next record of a roll-out, and the version that must be in force before it.
type step struct {
	judged  *judged
	expect  fleet.ConfigVersion
	record  rollout.Rollout
	summary rollout.Summary
}

// due returns the steps that are due, each of them once until its commit has an outcome.
func (r *rollouts) due() (steps []step) {
	r.mu.Lock()
	defer r.mu.Unlock()
	committed := r.committed()
	r.show(committed)
	if !r.leading || !r.limits.Enabled() {
		return nil
	}
	if r.adopt(committed); len(r.judged) == 0 {
		return nil
	}
	routers := r.routers()
	for _, j := range r.judged {
		if j.proposing {
			continue
		}
		current := j.judge.Record()
		if next, ok := j.judge.Decide(r.clock(), current.Elapsed(r.wall()), routers); ok {
			j.proposing = true
			steps = append(steps, step{j, committed.State.Version, next, j.judge.Summary()})
		}
	}
	return steps
}

// adopt brings the judges in line with the committed records.
func (r *rollouts) adopt(committed *operator.Committed) {
	for _, record := range committed.State.Rollouts {
		j := r.judged[record.Pool]
		switch {
		case record.Ended():
			delete(r.judged, record.Pool)
		case j == nil || j.judge.Record().ID != record.ID:
			r.judged[record.Pool] = &judged{judge: rollout.NewJudge(r.clock(), record, r.limits)}
		default:
			j.judge.SetRecord(r.clock(), record)
		}
	}
}

// show sets the gauges to the committed records.
func (r *rollouts) show(committed *operator.Committed) {
	if r.metrics == nil || committed == r.shown {
		return
	}
	r.shown = committed
	for _, record := range committed.State.Rollouts {
		pool := string(record.Pool)
		metrics.GetOrRegisterGauge(telemetry.MetricName("control_rollout_share", "pool", pool), r.metrics).Update(int64(record.Share))
		metrics.GetOrRegisterGauge(telemetry.MetricName("control_rollout_state", "pool", pool), r.metrics).Update(int64(record.State))
	}
}

// commit proposes a step. If it isn't committed, it or another one is due again at a later tick.
func (r *rollouts) commit(ctx context.Context, s step) {
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		s.judged.proposing = false
	}()
	answer, err := r.proposeStep(ctx, s)
	if err != nil || answer.Code != operator.CodeAccepted {
		r.log.Warn("roll-out step not committed", "pool", s.record.Pool, "step", s.record.Step, "code", answer.Code, "error", err)
		return
	}
	oldOnes, newOne := s.summary.Old, s.summary.New
	r.log.Info("roll-out step committed", "pool", s.record.Pool, "version", s.record.To, "id", uint64(s.record.ID),
		"step", s.record.Step, "state", s.record.State.String(), "share", s.record.Share, "reason", s.record.Reason,
		"old_answers", oldOnes.Answers, "old_failed", oldOnes.Failed, "old_mean", oldOnes.Mean, "old_p90", oldOnes.WorstP90,
		"new_answers", newOne.Answers, "new_failed", newOne.Failed, "new_mean", newOne.Mean, "new_p90", newOne.WorstP90)
}

func (r *rollouts) proposeStep(ctx context.Context, s step) (operator.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	cmd, err := operator.RolloutCommand(s.expect, s.record)
	if err != nil {
		return operator.Answer{}, err
	}
	encoded, err := cmd.Encode()
	if err != nil {
		return operator.Answer{}, err
	}
	result, err := r.propose(ctx, encoded)
	if err != nil {
		return operator.Answer{}, err
	}
	return operator.DecodeAnswer(result)
}

// rolloutRouters returns the members of the fleet as reports name them.
func (l *leader) rolloutRouters() []rollout.Router {
	var members []fleet.Member
	l.stateMachine.withReadLock(func() { members = l.roster.Membership().Members })
	routers := make([]rollout.Router, len(members))
	for i, m := range members {
		routers[i] = rollout.Router{Instance: m.ID, Boot: m.Boot}
	}
	return routers
}
