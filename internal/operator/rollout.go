package operator

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/rollout"
)

// A record of a roll-out is carried by an order to an upstream that doesn't exist. Members of
// the previous release store such an order, count its version and keep it in their snapshots as
// the present release does, so the members' states and versions are equal in a mixed group.
const (
	// actionRollout marks an order that carries a record of a roll-out.
	actionRollout Action = "rollout"
	// rolloutUpstream and the pool's name make the upstream of such an order.
	rolloutUpstream = "rollout/"
)

// startAttempts is how many times an order of a roll-out is proposed while other changes of the
// configuration take the version that it expects.
const startAttempts = 5

// RolloutCommand returns the command that makes r the record of its pool if the version expect
// is in force. A conflict leaves the state as it was.
func RolloutCommand(expect fleet.ConfigVersion, r rollout.Rollout) (Command, error) {
	record, err := json.Marshal(r)
	if err != nil {
		return Command{}, ErrUnavailable.Wrap(err, "encode the roll-out")
	}
	spec := OrderSpec{
		Upstream: fleet.UpstreamID(rolloutUpstream + r.Pool), Action: actionRollout, Model: fleet.ModelName(record), Supersede: true,
	}
	return Command{Kind: KindOrder, Operation: uuid.NewString(), Expect: expect, Order: &spec}, nil
}

// rollout returns the record that the order carries; ok is false for an order to an engine.
func (o *Order) rollout() (r rollout.Rollout, ok bool) {
	if o.Spec.Action != actionRollout || json.Unmarshal([]byte(o.Spec.Model), &r) != nil {
		return rollout.Rollout{}, false
	}
	return r, o.Spec.Upstream == fleet.UpstreamID(rolloutUpstream+r.Pool)
}

// rolloutsOf returns the records that orders carry, sorted by pool; nil if there are none.
func rolloutsOf(orders []Order) (out []rollout.Rollout) {
	for i := range orders {
		if r, ok := orders[i].rollout(); ok {
			out = append(out, r)
		}
	}
	return out // orders are sorted by upstream, and so by pool
}

// rollout returns the record that the delta brings into force; nil if there is none. Members send it
// with Order only, as those of the previous release do.
func (d *Delta) rollout() *rollout.Rollout {
	if d.Rollout != nil || d.Order == nil {
		return d.Rollout
	}
	if r, ok := d.Order.rollout(); ok {
		return &r
	}
	return nil
}

// Rollout returns the newest roll-out of a pool; ok is false if there has been none.
func (s *State) Rollout(pool fleet.PoolID) (r rollout.Rollout, ok bool) {
	i, found := slices.BinarySearchFunc(s.Rollouts, pool, func(r rollout.Rollout, pool fleet.PoolID) int {
		return cmp.Compare(r.Pool, pool)
	})
	if !found {
		return rollout.Rollout{}, false
	}
	return s.Rollouts[i], true
}

// StartResult is the outcome of StartRollout.
type StartResult uint8

// Outcomes of StartRollout.
const (
	// StartAccepted means that the order is in the log.
	StartAccepted StartResult = iota + 1
	// StartRepeated means that the order was accepted a short time ago and has ended since.
	StartRepeated
	// StartInProgress means that the roll-out of the same order is in progress.
	StartInProgress
	// StartBusy means that the roll-out of another order is in progress.
	StartBusy
	// StartUnknownPool means that the routing table in force has no such pool.
	StartUnknownPool
)

// StartRollout commits an order that r describes by Pool, To and Duration, given at the time of
// day now. knows reports whether the routing table of a committed configuration has a pool. The
// same order within limits.Repeat of its acceptance doesn't start again. StartRollout also returns the
// record that the outcome rests on. ErrUnavailable means that nothing was proposed, or that
// other changes kept taking precedence.
func StartRollout(
	ctx context.Context, backend Backend, r rollout.Rollout, now time.Time, limits rollout.Limits, knows func(*Committed, fleet.PoolID) (bool, error),
) (StartResult, rollout.Rollout, error) {
	for range startAttempts {
		committed, err := backend.Committed(ctx)
		if err != nil {
			return 0, r, notProposed(err)
		}
		known, err := knows(committed, r.Pool)
		if err != nil {
			return 0, r, err
		}
		current, ok := committed.State.Rollout(r.Pool)
		if ok {
			if result := judgeOrder(&current, &r, now, limits.Repeat); result != StartAccepted {
				return result, current, nil
			}
		}
		if !known {
			return StartUnknownPool, r, nil
		}
		first := limits.First(r, current, committed.State.Version+1, now)
		cmd, err := RolloutCommand(committed.State.Version, first)
		if err != nil {
			return 0, r, err
		}
		answer, err := Propose(ctx, backend, cmd)
		if err != nil || answer.Code == CodeAccepted {
			return StartAccepted, first, err
		}
	}
	return 0, r, ErrUnavailable.New("other changes of the configuration took precedence")
}

// judgeOrder returns StartAccepted if order may replace current, and otherwise why not.
func judgeOrder(current, order *rollout.Rollout, now time.Time, repeat time.Duration) StartResult {
	same := current.To == order.To && current.Duration == order.Duration
	switch {
	case !current.Ended() && same:
		return StartInProgress
	case !current.Ended():
		return StartBusy
	case same && now.Sub(time.UnixMilli(current.StartedAt)) < repeat:
		return StartRepeated
	default:
		return StartAccepted
	}
}
