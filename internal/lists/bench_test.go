package lists

import (
	"fmt"
	"strings"
	"testing"
)

// BenchmarkParse reads and checks lists of n workspaces, without a fault and
// with one in the last workspace.
func BenchmarkParse(b *testing.B) {
	for _, n := range []int{10, 1000, 18000} {
		for _, faulty := range []bool{false, true} {
			b.Run(fmt.Sprintf("workspaces=%d/faulty=%v", n, faulty), func(b *testing.B) {
				plans := manyWorkspaces(n, faulty)
				for b.Loop() {
					if _, faults := parseTexts(plans, goodAllowances); (len(faults) > 0) != faulty {
						b.Fatal(len(faults))
					}
				}
			})
		}
	}
}

func manyWorkspaces(n int, faulty bool) string {
	var text strings.Builder
	text.WriteString("plans:\n  - name: basic\nworkspaces:\n")
	for i := range n {
		plan := "basic"
		if faulty && i == n-1 {
			plan = "gold"
		}
		fmt.Fprintf(&text, "  - id: workspace-%05d\n    plan: %s\n    key_digests: [\"%064x\"]\n", i, plan, i+1)
	}
	return text.String()
}
