package plan

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/lists"
)

func TestHomePresumesUseOfARouterLostBeforeItReported(t *testing.T) {
	cases := []struct {
		name string
		lost bool // router b is lost; otherwise it reports
		want bool
	}{
		{"every router has reported", false, false},
		{"one was lost before it reported", true, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			h := NewHome("home")
			h.SetPlans(0, lists.Plans{
				Plans:      []lists.Plan{{Name: "p", TokensPerMinute: 1000}},
				Workspaces: []lists.Workspace{{ID: "w", Plan: "p"}},
			})
			h.ClaimWithoutRecord(0, "w", []fleet.InstanceID{"a", "b"})
			is.Equal(len(h.Unreported("w")), 2)
			report := func(instance fleet.InstanceID) {
				reply := h.Borrow(0, BorrowRequest{Workspace: "w", Instance: instance, Boot: 1, Sequence: 1})
				is.True(reply.NeedHistory)
				h.Borrow(0, BorrowRequest{Workspace: "w", Instance: instance, Boot: 1, Sequence: 2, Home: reply.Home, History: []int64{10}})
			}
			report("a")
			if tc.lost {
				h.RecordLost(0, "b")
			} else {
				report("b")
			}
			is.Equal(len(h.Unreported("w")), 0)
			is.Equal(h.PresumesUse(0, "w"), tc.want)
			is.Equal(h.PresumesUse(2*time.Minute, "w"), false) // the minute has passed
			_, ok := h.Release(0, "w")
			is.Equal(ok, !tc.want) // no handover of a record with presumed use
		})
	}
}
