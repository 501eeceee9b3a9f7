package lists

import (
	"fmt"
	"strings"
	"testing"
)

// BenchmarkParse measures parsing and checking lists of n workspaces, without a
// violation and with one in the last workspace.
func BenchmarkParse(b *testing.B) {
	for _, n := range []int{10, 1000, 18000} {
		for _, invalid := range []bool{false, true} {
			b.Run(fmt.Sprintf("workspaces=%d/faulty=%v", n, invalid), func(b *testing.B) {
				plans := manyWorkspaces(n, invalid)
				for b.Loop() {
					if _, violations := parseTexts(plans, validAllowances); (len(violations) > 0) != invalid {
						b.Fatal(len(violations))
					}
				}
			})
		}
	}
}

// manyWorkspaces returns the text of a plans list with n workspaces. If invalid is
// set, the last one is on an unknown plan.
func manyWorkspaces(n int, invalid bool) string {
	var text strings.Builder
	text.WriteString("plans:\n  - name: basic\nworkspaces:\n")
	for i := range n {
		plan := "basic"
		if invalid && i == n-1 {
			plan = "gold"
		}
		fmt.Fprintf(&text, "  - id: workspace-%05d\n    plan: %s\n    key_digests: [\"%064x\"]\n", i, plan, i+1)
	}
	return text.String()
}
