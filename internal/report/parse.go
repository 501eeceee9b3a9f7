package report

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/joomcode/errorx"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// ErrFormat is the type of the error for an input without result lines.
var ErrFormat = errorx.NewType(fleet.Errors, "report_format")

// ReuseRun is one result of BenchmarkReuse.
type ReuseRun struct {
	Site   string // the deployment whose size the run has
	Change string
	Policy string
	// Percent is the share of returning histories that a cache held, over 40
	// minutes; EarlyPercent is the share over the first 4 minutes.
	Percent, EarlyPercent float64
	// Skew is the 99th percentile of the ratio of an engine's load to the mean load.
	Skew float64
}

// AdmissionRun is one result of BenchmarkStrategies, which compares three strategies of
// admission: by load reports, by credits for each router, and by one owner for each
// upstream.
type AdmissionRun struct {
	Site, Strategy string
	// Skew and WorstSkew are the 99.9th percentile and the maximum of the ratio of an
	// engine's load to the mean load, each time a request was admitted to it.
	Skew, WorstSkew float64
	// AboveBoundPercent is the share of admissions that exceeded the load bound computed
	// from the true mean load at that time. No Instance knows that mean.
	AboveBoundPercent float64
	// RejectedPercent is the share of the requests that were rejected.
	RejectedPercent float64
	// ControlBytes is the control traffic of a router in bytes per second.
	ControlBytes float64
}

// Widths, in bytes, of the two name columns that BenchmarkReuse (change and policy) and
// BenchmarkStrategies (site and strategy) print.
const (
	changeWidth   = 20
	policyWidth   = 10
	siteWidth     = 10
	strategyWidth = 8
)

// ParseReuse parses the output of BenchmarkReuse.
func ParseReuse(r io.Reader) ([]ReuseRun, error) {
	var runs []ReuseRun
	site := ""
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		line := lines.Text()
		if name, _, ok := strings.Cut(line, ": reuse over"); ok {
			site = name
			continue
		}
		names, values, ok := columns(line, changeWidth, policyWidth)
		if !ok || site == "" || len(values) < 3 {
			continue
		}
		runs = append(runs, ReuseRun{site, names[0], names[1], values[0], values[1], values[2]})
	}
	return runs, requireRuns(len(runs), lines.Err(), "reuse")
}

// ParseAdmission parses the output of BenchmarkStrategies.
func ParseAdmission(r io.Reader) ([]AdmissionRun, error) {
	var runs []AdmissionRun
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		names, values, ok := columns(lines.Text(), siteWidth, strategyWidth)
		if !ok || len(values) != 7 {
			continue
		}
		runs = append(runs, AdmissionRun{names[0], names[1], values[0], values[1], values[2], values[4], values[6]})
	}
	return runs, requireRuns(len(runs), lines.Err(), "ways")
}

// columns splits a line into two names, padded to first and second bytes, and the numbers
// after them. It skips other words. It returns false for a line without both names and at
// least one number.
func columns(line string, first, second int) (names [2]string, values []float64, ok bool) {
	if len(line) < first+second+2 {
		return names, nil, false
	}
	names[0] = strings.TrimSpace(line[:first])
	names[1] = strings.TrimSpace(line[first+1 : first+1+second])
	for _, field := range strings.Fields(line[first+second+2:]) {
		if value, err := strconv.ParseFloat(strings.TrimSuffix(field, "%"), 64); err == nil {
			values = append(values, value)
		}
	}
	return names, values, names[0] != "" && names[1] != "" && len(values) > 0
}

// requireRuns returns err or, if err is nil and no run was parsed, an ErrFormat.
func requireRuns(n int, err error, step string) error {
	if err == nil && n == 0 {
		err = ErrFormat.New("the input has no result line with the columns that the benchmark prints")
	}
	return fleet.At(err, "report."+step, "")
}

// percent formats a percentage as the benchmarks print it.
func percent(v float64) string { return fmt.Sprintf("%.1f%%", v) }
