package telemetry

import (
	"bytes"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// writeProcess writes the metrics of the process under the names of the Prometheus client
// libraries.
func writeProcess(out *bytes.Buffer) {
	writeMetric(out, "process_cpu_seconds_total", "counter", CPUTime().Seconds())
	writeMetric(out, "process_resident_memory_bytes", "gauge", float64(residentBytes()))
	writeMetric(out, "go_goroutines", "gauge", float64(runtime.NumGoroutine()))
}

func writeMetric(out *bytes.Buffer, name, kind string, value float64) {
	fmt.Fprintf(out, "# TYPE %s %s\n%s %s\n", name, kind, name, formatValue(value))
}

// CPUTime returns the user and system CPU time of the process, or 0 if it is unknown.
func CPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// residentBytes returns the resident memory of the process in bytes, or 0 if it is unknown.
func residentBytes() int64 {
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}
