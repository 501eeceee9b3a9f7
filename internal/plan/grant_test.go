package plan

import (
	"testing"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/lists"
)

func TestAmplePlanGrantsAllThatManyRoutersWant(t *testing.T) {
	is := is.New(t)
	h := NewHome("home")
	h.SetPlans(0, lists.Plans{
		Plans:      []lists.Plan{{Name: "large", RequestsPerSecond: 120, Burst: 240, Concurrency: 400, TokensPerMinute: 6_000_000}},
		Workspaces: []lists.Workspace{{ID: "w", Plan: "large"}},
	})
	h.ClaimNewWorkspace(0, "w")
	for round := range uint64(2) { // in the second round the home knows what the others want
		for _, instance := range []fleet.InstanceID{"a", "b", "c", "d", "e", "f"} {
			reply := h.Borrow(0, BorrowRequest{
				Workspace: "w", Instance: instance, Boot: 1, Sequence: round + 1,
				Want: Amount{Requests: 3, Tokens: 1800}, Slots: int(3 * (round + 1)), InFlight: int(3 * round),
			})
			is.Equal(reply.Amount, Amount{Requests: 3, Tokens: 1800})
			is.True(reply.RetryAfter == 0)
		}
	}
}
