package entry

import (
	"context"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/owner"
)

const (
	// maxRounds bounds how often one request goes over its candidates while
	// upstreams change owners.
	maxRounds = 12
	// minRoundPause and maxRoundPause space the rounds; together they outlast a
	// session lease.
	minRoundPause = 100 * time.Millisecond
	maxRoundPause = 500 * time.Millisecond
)

// rounds lets a request that nobody could take go over its candidates again, if
// that was for want of an owner: between two owners, and while a planned stop
// hands queued requests back, an upstream has nobody to ask for a moment.
type rounds struct {
	made int
	// moved is set once an owner was not found where the table names it.
	moved bool
}

// refused takes an owner's refusal.
func (r *rounds) refused(reason owner.Refusal) {
	switch reason {
	case owner.RefusedNotOwner, owner.RefusedNoLease, owner.RefusedUnknownUpstream, owner.RefusedOut:
		r.moved = true
	}
}

// another waits for the next round and reports whether there is one before the
// deadline.
func (r *rounds) another(ctx context.Context, left time.Duration) bool {
	pause := min(minRoundPause<<r.made, maxRoundPause)
	if !r.moved || r.made >= maxRounds || left <= pause {
		return false
	}
	r.made++
	r.moved = false
	select {
	case <-ctx.Done():
		return false
	case <-time.After(pause):
		return true
	}
}
