package answer

import (
	"runtime"
	"testing"
)

// BenchmarkStreamMemory measures the memory of an open stream: an assembler at the entry
// router, and a parser with its buffer at the owner.
func BenchmarkStreamMemory(b *testing.B) {
	const streams = 10_000
	type stream struct {
		assembler *Assembler
		progress  *Progress
		parser    Parser
	}
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		open := make([]*stream, streams)
		for i := range open {
			s := &stream{assembler: NewAssembler("0190a1b2-7c3d-7000-8000-000000000000-1"), progress: NewProgress(KindChat, Budget{})}
			if _, err := s.parser.Space(); err != nil {
				b.Fatal(err)
			}
			open[i] = s
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/streams, "B/stream")
		runtime.KeepAlive(open)
	}
}
