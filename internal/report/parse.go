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

// ErrFormat is an input that holds none of the lines it should.
var ErrFormat = errorx.NewType(fleet.Errors, "report_format")

// Reuse is one run of BenchmarkReuse.
type Reuse struct {
	Site   string // the deployment whose size the run has
	Change string
	Policy string
	// Percent is the part of returning histories that a cache held, over 40
	// minutes; SoonPercent the same over the first four.
	Percent, SoonPercent float64
	// Skew is the 99th percentile of an engine's load over the mean.
	Skew float64
}

// Way is one run of BenchmarkWays.
type Way struct {
	Site, Name string
	// Skew and WorstSkew are the 99.9th percentile and the maximum of load over
	// mean at admission.
	Skew, WorstSkew float64
	// BeyondPercent is the part of the admissions above the bound of the mean at
	// that moment, which no instance knows.
	BeyondPercent float64
	// RefusedPercent is the part of the requests that were refused.
	RefusedPercent float64
	// ControlBytes is the control traffic of a router in bytes a second.
	ControlBytes float64
}

// Widths of the name columns that the benchmarks print.
const (
	changeWidth = 20
	policyWidth = 10
	siteWidth   = 10
	wayWidth    = 8
)

// ParseReuse reads the output of BenchmarkReuse.
func ParseReuse(r io.Reader) ([]Reuse, error) {
	var runs []Reuse
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
		runs = append(runs, Reuse{site, names[0], names[1], values[0], values[1], values[2]})
	}
	return runs, found(len(runs), lines.Err(), "reuse")
}

// ParseWays reads the output of BenchmarkWays.
func ParseWays(r io.Reader) ([]Way, error) {
	var runs []Way
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		names, values, ok := columns(lines.Text(), siteWidth, wayWidth)
		if !ok || len(values) != 7 {
			continue
		}
		runs = append(runs, Way{names[0], names[1], values[0], values[1], values[2], values[4], values[6]})
	}
	return runs, found(len(runs), lines.Err(), "ways")
}

// columns splits a line into two padded names and the numbers after them. Words
// among the numbers are passed over.
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

func found(n int, err error, step string) error {
	if err == nil && n == 0 {
		err = ErrFormat.New("no line of the expected form")
	}
	return fleet.At(err, "report."+step, "")
}

// percent formats a share as the benchmarks print it.
func percent(v float64) string { return fmt.Sprintf("%.1f%%", v) }
