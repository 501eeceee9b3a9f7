package upstream

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// BenchmarkInstanceList decodes the upstream list, which each router reads once per
// poll interval, and reports its size.
func BenchmarkInstanceList(b *testing.B) {
	for _, n := range []int{24, 150, 300, 600} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			data := encodedList(b, n)
			for b.Loop() {
				var list InstanceList
				if err := json.Unmarshal(data, &list); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "B/list")
		})
	}
}

func encodedList(b *testing.B, n int) []byte {
	list := InstanceList{AsOfMillis: 1_800_000_000_000}
	for i := range n {
		list.Instances = append(list.Instances, fleet.Upstream{
			ID: fleet.UpstreamID(fmt.Sprintf("engine-%03d", i)), Pool: "language",
			Addr: fmt.Sprintf("10.20.%d.%d:9000", i/200, i%200), Zone: "zone-1",
			Boot: "0190a1b2-7c3d-7000-8000-00000000000b",
		})
	}
	data, err := json.Marshal(list)
	if err != nil {
		b.Fatal(err)
	}
	return data
}
