package report

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const (
	reuseOutput = `dala press: reuse over 40 min, in the first 4 min, p99 of load over mean
steady               plain       73.6%  74.0% 1.24  hops 1.00 notes 0.00
steady               recorded    79.2%  80.1% 1.24  hops 1.70 notes 0.57
one joins            no former   79.8%  87.4% 1.24  hops 1.70 notes 0.57
lamphun: reuse over 40 min, in the first 4 min, p99 of load over mean
steady               plain       70.0%  71.0% 1.25  hops 1.00 notes 0.00
PASS
`
	admissionOutput = `size strategy: p99.9 and worst in flight over mean at admission; above the bound; placed on the first candidate; rejected; attempts; control B/s per router
dala press reports  1.40 1.53   0.10%   88.5%   0.05%  1.13  626
BenchmarkStrategies-10    	       1	22324829866 ns/op
`
)

func TestParseReuse(t *testing.T) {
	is := is.New(t)
	runs, err := ParseReuse(strings.NewReader(reuseOutput))
	is.NoErr(err)
	is.Equal(len(runs), 4)
	is.Equal(runs[1], ReuseRun{"dala press", "steady", "recorded", 79.2, 80.1, 1.24})
	is.Equal(runs[3].Site, "lamphun")
}

func TestParseAdmission(t *testing.T) {
	is := is.New(t)
	runs, err := ParseAdmission(strings.NewReader(admissionOutput))
	is.NoErr(err)
	is.Equal(runs, []AdmissionRun{{"dala press", "reports", 1.40, 1.53, 0.10, 0.05, 626}})
}

func TestOutputWithoutResultsIsRejected(t *testing.T) {
	is := is.New(t)
	_, err := ParseReuse(strings.NewReader("FAIL\n"))
	is.True(err != nil)
	_, err = ParseAdmission(strings.NewReader(""))
	is.True(err != nil)
}

func TestPageShowsFiguresAndPlots(t *testing.T) {
	is := is.New(t)
	runs, err := ParseReuse(strings.NewReader(reuseOutput))
	is.NoErr(err)
	page := Page{Head: "head", ReuseRuns: runs, Zones: []Zone{{"lamphun", "whole 867"}}}
	var b strings.Builder
	is.NoErr(page.WriteMarkdown(&b))
	is.True(strings.Contains(b.String(), "| steady | recorded | 79.2% | 80.1% | 1.24 |"))
	is.True(!strings.Contains(b.String(), "no former"))
	is.True(strings.Contains(b.String(), "whole 867"))

	dir := t.TempDir()
	is.NoErr(page.Plot(dir))
	for _, name := range []string{"reuse-dala-press.svg", "reuse-lamphun.svg"} {
		svg, err := os.ReadFile(filepath.Join(dir, name))
		is.NoErr(err)
		is.True(strings.Contains(string(svg), "<svg"))
	}
}
