package control

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

const (
	// measureTime is how long BenchmarkMemberAtRest measures.
	measureTime = 10 * time.Second
	// ticksPerSecond is USER_HZ: /proc reports CPU time in ticks of this frequency.
	ticksPerSecond = 100
)

// BenchmarkMemberAtRest measures the CPU time and memory of control members, each in
// its own process, while routers hold their leases and nothing changes. Run it with
// -benchtime 1x.
func BenchmarkMemberAtRest(b *testing.B) {
	for _, routers := range []int{3, 9, 50, 200, 400} {
		b.Run(fmt.Sprintf("routers=%d", routers), func(b *testing.B) {
			f := newProcessFleet(b, 3, routers)
			f.awaitVersion(readConfig(f.client()).version)
			time.Sleep(2 * time.Second) // until joins have settled
			leader := f.leader()
			for b.Loop() {
				leaderCPU, followerCPU, routersCPU := f.memberCPU(leader), f.memberCPU((leader+1)%3), cpuTime()
				time.Sleep(measureTime)
				percent := func(d time.Duration) float64 { return 100 * d.Seconds() / measureTime.Seconds() }
				b.ReportMetric(percent(f.memberCPU(leader)-leaderCPU), "leader-core-%")
				b.ReportMetric(percent(f.memberCPU((leader+1)%3)-followerCPU), "follower-core-%")
				b.ReportMetric(percent(cpuTime()-routersCPU)/float64(routers), "router-core-%")
				b.ReportMetric(f.residentMB(leader), "leader-MB")
				b.ReportMetric(f.residentMB((leader+1)%3), "follower-MB")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// memberCPU returns the CPU time that a member's process has used.
func (f *processFleet) memberCPU(i int) time.Duration {
	stat := f.readProc(i, "stat")
	fields := bytes.Fields(stat[bytes.LastIndexByte(stat, ')')+1:])
	var ticks int
	for _, field := range fields[11:13] { // utime and stime
		n, err := strconv.Atoi(string(field))
		if err != nil {
			f.t.Fatal(err)
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond
}

// residentMB returns the anonymous resident memory of a member's process in MB, without
// the code of the test binary.
func (f *processFleet) residentMB(i int) float64 {
	for line := range strings.Lines(string(f.readProc(i, "status"))) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			var kilobytes float64
			if _, err := fmt.Sscan(rest, &kilobytes); err != nil {
				f.t.Fatal(err)
			}
			return kilobytes / 1000
		}
	}
	return 0
}

// readProc returns the content of a file of a member's process in /proc.
func (f *processFleet) readProc(i int, name string) []byte {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", f.processes[i].Process.Pid, name))
	if err != nil {
		f.t.Fatal(err)
	}
	return b
}
