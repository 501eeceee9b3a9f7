package rollout

import (
	"slices"
	"strings"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// maxRejected bounds the versions that Rejected holds; the oldest ones are dropped.
const maxRejected = 8

// First returns the first record of an order, which names the pool, the version and the duration.
// The order makes the configuration version id at the time of day now, and previous is the pool's
// record before it, the zero value if there is none.
func (l Limits) First(order, previous Rollout, id fleet.ConfigVersion, now time.Time) Rollout {
	return Rollout{
		Rejected: rejected(previous, order.To),
		ID:       id, Pool: order.Pool, To: order.To, Duration: order.Duration, StartedAt: now.UnixMilli(),
		Step: 1, State: InProgress, Share: l.permille(rampSteps[0]), Reason: "ordered",
	}
}

// rejected returns the Rejected of the record of an order of the version to.
func rejected(previous Rollout, to string) string {
	versions := strings.Split(previous.Rejected, "\n")
	if previous.State == RolledBack {
		versions = append(versions, previous.To)
	}
	versions = slices.DeleteFunc(versions, func(v string) bool { return v == "" || v == to })
	return strings.Join(versions[max(len(versions)-maxRejected, 0):], "\n")
}

// Excludes reports whether upstreams of a version get no new requests: if the roll-out to it was rolled
// back and no order has named it since, or once the roll-out has moved all requests to another version.
func (r *Rollout) Excludes(version string) bool {
	switch {
	case version == r.To:
		return r.State == RolledBack
	case r.State == Finishing || r.State == Completed:
		return true
	default:
		return r.Rejected != "" && slices.Contains(strings.Split(r.Rejected, "\n"), version)
	}
}

// maxRampShare bounds the shares before the decision, however large the exposure may be.
const maxRampShare = 0.3

// permille returns a part of the exposure share, as a Share.
func (l Limits) permille(part float64) uint16 {
	return uint16(min(max(part*l.ExposureShare, 0), maxRampShare) * FullShare)
}

// rampSteps are the shares before the decision, as parts of the exposure share. The last one leaves
// room for retries that a router doesn't count.
var rampSteps = [...]float64{0.2, 0.5, 0.9}

// Ended reports whether the roll-out is completed or rolled back, which is final.
func (r *Rollout) Ended() bool { return r.State == Completed || r.State == RolledBack }

// String returns the state's name in logs and metrics.
func (s State) String() string {
	switch s {
	case InProgress:
		return "in_progress"
	case Finishing:
		return "finishing"
	case Completed:
		return "completed"
	case RolledBack:
		return "rolled_back"
	default:
		return "unknown"
	}
}

// Elapsed returns the time since the order at the time of day now. It is not below 0 if a
// clock was set back.
func (r *Rollout) Elapsed(now time.Time) time.Duration {
	return max(now.Sub(time.UnixMilli(r.StartedAt)), 0)
}

// next returns the record of the next step.
func (r Rollout) next(state State, share uint16, reason string) Rollout {
	r.Step++
	r.State, r.Share, r.Reason = state, share, reason
	return r
}
