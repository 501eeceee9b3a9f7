package entry

import (
	"context"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/owner"
)

const (
	// maxRounds bounds the repeated rounds of one request over its candidates while
	// upstreams change owners.
	maxRounds = 12
	// minRoundPause and maxRoundPause bound the backoff between rounds; all pauses
	// together are longer than a session lease.
	minRoundPause = 100 * time.Millisecond
	maxRoundPause = 500 * time.Millisecond
)

// rounds decides whether a request that no owner has admitted tries its candidates
// again. It does if an upstream had no reachable owner, which happens for a short time
// during a handover and while a planned stop returns queued requests.
type rounds struct {
	repeated int // rounds after the first
	// ownerMissing is set if an owner was not reachable or no longer owned the upstream in
	// this round.
	ownerMissing bool
}

// recordRejection records the reason for which an owner did not admit the request.
func (r *rounds) recordRejection(reason owner.Rejection) {
	switch reason {
	case owner.RejectionNotOwner, owner.RejectionNoLease, owner.RejectionUnknownUpstream, owner.RejectionOutOfService:
		r.ownerMissing = true
	}
}

// startNext waits before the next round, and reports whether there is one within the
// time remaining until the deadline.
func (r *rounds) startNext(ctx context.Context, remaining time.Duration) bool {
	pause := min(minRoundPause<<r.repeated, maxRoundPause)
	if !r.ownerMissing || r.repeated >= maxRounds || remaining <= pause {
		return false
	}
	r.repeated++
	r.ownerMissing = false
	select {
	case <-ctx.Done():
		return false
	case <-time.After(pause):
		return true
	}
}
