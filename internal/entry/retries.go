package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/admission"
	"github.com/wigeonflow/wigeonflow/internal/answer"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// retryBudget bounds the retries of each workspace and pool, so that they do not
// multiply an overload. It is safe for concurrent use.
type retryBudget struct {
	mu   sync.Mutex
	core *admission.RetryBudgets
}

func newRetryBudget() *retryBudget { return &retryBudget{core: admission.NewRetryBudgets()} }

// recordSuccess counts an answered request, which adds to the budgets.
func (b *retryBudget) recordSuccess(now time.Duration, w fleet.WorkspaceID, p fleet.PoolID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.RecordSuccess(now, w, p)
}

// takeRetry takes one retry from the budgets of the workspace and the pool, and reports
// whether both allow it.
func (b *retryBudget) takeRetry(now time.Duration, w fleet.WorkspaceID, p fleet.PoolID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.Allow(now, w, p)
}

// deleteIdleInterval is the interval at which idle budgets are deleted.
const deleteIdleInterval = time.Minute

// Run deletes idle retry budgets at regular intervals until ctx ends.
func (s *Server) Run(ctx context.Context) {
	fleet.Every(ctx, deleteIdleInterval, func(context.Context) { s.retries.deleteIdle(s.cfg.Clock()) })
}

func (b *retryBudget) deleteIdle(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.DeleteIdle(now)
}

// retryBudgetSpent returns the rejection of a request whose retry exceeds the budget.
func retryBudgetSpent(d answer.Decision) *answer.Rejection {
	return &answer.Rejection{
		Status: http.StatusServiceUnavailable, Outcome: d.Outcome, RetryAfter: time.Second,
		Code: "retries_spent", Message: "the attempt failed and the budget of retries is spent",
	}
}
