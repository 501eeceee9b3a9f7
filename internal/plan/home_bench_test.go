package plan

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/lists"
)

var benchPlan = lists.Plan{RequestsPerSecond: 100, Concurrency: 360, TokensPerMinute: 1_800_000}

// benchPlans returns plans with the given number of workspaces.
func benchPlans(workspaces int) lists.Plans {
	p := lists.Plans{Plans: []lists.Plan{benchPlan}}
	p.Plans[0].Name = "p"
	for i := range workspaces {
		p.Workspaces = append(p.Workspaces, lists.Workspace{ID: benchWorkspace(i), Plan: "p"})
	}
	return p
}

// benchHome returns the home of the given number of workspaces.
func benchHome(workspaces int) *Home {
	h := NewHome("boot")
	h.SetPlans(0, benchPlans(workspaces))
	for i := range workspaces {
		h.ClaimNewWorkspace(0, benchWorkspace(i))
	}
	return h
}

func benchWorkspace(i int) fleet.WorkspaceID {
	return fleet.WorkspaceID(fmt.Sprintf("workspace-%05d", i))
}

func benchRequest(workspace, borrower int, sequence uint64) BorrowRequest {
	return BorrowRequest{
		Workspace: benchWorkspace(workspace), Instance: fleet.InstanceID(fmt.Sprintf("router-%03d", borrower)),
		Boot: 0x0190a1b27c3d7000, Sequence: sequence,
		Want: Amount{Requests: 1, Tokens: 600}, Slots: 1, Held: 1,
	}
}

// BenchmarkUsageRecordMemory measures the size of a home's usage record of a workspace, in
// memory and as encoded for a handover, by the number of borrowers.
func BenchmarkUsageRecordMemory(b *testing.B) {
	const workspaces = 200
	for _, borrowers := range []int{0, 1, 3, 10, 50} {
		b.Run(fmt.Sprintf("borrowers=%d", borrowers), func(b *testing.B) {
			for range b.N {
				before := heapInUse()
				h := benchHome(workspaces)
				for w := range workspaces {
					for i := range borrowers {
						h.Borrow(time.Millisecond, benchRequest(w, i, 1))
					}
				}
				b.ReportMetric(float64(heapInUse()-before)/workspaces, "B/book")
				record, _ := h.Release(time.Millisecond, benchWorkspace(0))
				encoded, err := record.MarshalMsg(nil)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(encoded)), "encoded-B/book")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func heapInUse() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkBorrow grants credits to borrowers in turn, and reports the bytes of a
// request with its reply, by the number of borrowers.
func BenchmarkBorrow(b *testing.B) {
	for _, borrowers := range []int{1, 10, 50, 200, 410} {
		b.Run(fmt.Sprintf("borrowers=%d", borrowers), func(b *testing.B) {
			h := benchHome(1)
			requests := make([]BorrowRequest, borrowers)
			for i := range requests {
				requests[i] = benchRequest(0, i, 0)
			}
			var reply BorrowReply
			for i := range b.N {
				r := &requests[i%borrowers]
				r.Sequence++
				reply = h.Borrow(time.Duration(i)*time.Millisecond, *r)
			}
			up, _ := requests[0].MarshalMsg(nil)
			down, _ := reply.MarshalMsg(nil)
			b.ReportMetric(float64(len(up)+len(down)), "B/exchange")
		})
	}
}

// BenchmarkPlansMemory measures the memory in which every router keeps the plans of all
// workspaces, as it may become the home of any.
func BenchmarkPlansMemory(b *testing.B) {
	for _, workspaces := range []int{1000, 4500, 18_000} {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			p := benchPlans(workspaces)
			for range b.N {
				before := heapInUse()
				h := NewHome("boot")
				h.SetPlans(0, p)
				b.ReportMetric(float64(heapInUse()-before)/1e6, "MB/router")
				runtime.KeepAlive(h)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}
