package control

import (
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"github.com/wigeonflow/wigeonflow/internal/consensus"
)

// toleranceDelay is how long the group must bear fewer losses than it is meant to before that is
// logged: a new leader has yet to hear from the members.
const toleranceDelay = 2 * time.Second

// toleranceMonitor publishes how many more members the group can lose, and logs when these are
// fewer than it is meant to bear. It is not safe for concurrent use.
type toleranceMonitor struct {
	log      hclog.Logger
	required int
	left     metrics.Gauge
	since    time.Duration // since when the group bears too few losses; only valid while short is set
	short    bool
	logged   bool
}

func newToleranceMonitor(log hclog.Logger, required int, r metrics.Registry) *toleranceMonitor {
	t := &toleranceMonitor{log: log, required: required, left: metrics.GetOrRegisterGauge("control.losses_left", r)}
	t.reset()
	return t
}

// reset publishes that this member does not know, because it doesn't lead.
func (t *toleranceMonitor) reset() {
	t.left.Update(-1)
	t.short, t.logged = false, false
}

// observe publishes the status of the group that this member leads.
func (t *toleranceMonitor) observe(now time.Duration, status consensus.Status) {
	t.left.Update(int64(status.LossesLeft))
	if status.LossesLeft >= t.required {
		if t.logged {
			t.log.Info("control group bears the losses it is meant to bear again", "losses_left", status.LossesLeft, "required", t.required)
		}
		t.short, t.logged = false, false
		return
	}
	if !t.short {
		t.short, t.since = true, now
	}
	if !t.logged && now-t.since >= toleranceDelay {
		t.logged = true
		t.log.Warn("control group bears fewer losses than it is meant to bear", "losses_left", status.LossesLeft, "required", t.required,
			"voters", voterCount(status), "silent", silentVoters(status))
	}
}

// silentVoters returns the voters that don't respond.
func silentVoters(status consensus.Status) (ids []consensus.MemberID) {
	for _, m := range status.Members {
		if !m.Learner && !m.Active {
			ids = append(ids, m.ID)
		}
	}
	return ids
}
