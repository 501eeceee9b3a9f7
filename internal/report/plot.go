package report

import (
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/text"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 28 * vg.Centimeter
	plotHeight = 13 * vg.Centimeter
	barWidth   = 0.5 * vg.Centimeter
	// labelRotation keeps long names of changes from overlapping, in radians.
	labelRotation = 0.35
)

// Plot draws a bar chart of the reuse of each deployment into a file in dir, with one
// bar for each policy at each change.
func (p Page) Plot(dir string) error {
	for _, site := range p.sites() {
		if err := p.plotReuse(site, filepath.Join(dir, plotName(site))); err != nil {
			return err
		}
	}
	return nil
}

func (p Page) plotReuse(site, file string) error {
	chart := plot.New()
	chart.Title.Text = "Cache reuse through churn: " + site
	chart.Y.Label.Text = "reuse, %"
	chart.Y.Min = 0
	chart.Legend.Top = true
	changes, policies, values := p.reuseSeries(site)
	for i, policy := range policies {
		bars, err := plotter.NewBarChart(values[policy], barWidth)
		if err != nil {
			return err
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = barWidth * vg.Length(2*i-len(policies)+1) / 2
		chart.Add(bars)
		chart.Legend.Add(policy, bars)
	}
	chart.NominalX(changes...)
	chart.X.Tick.Label.Rotation = labelRotation
	chart.X.Tick.Label.XAlign = text.XRight
	chart.Y.Max = 100
	return chart.Save(plotWidth, plotHeight, file)
}

// reuseSeries returns the changes, the policies, and for each policy its reuse in the
// order of the changes.
func (p Page) reuseSeries(site string) (changes, policies []string, values map[string]plotter.Values) {
	values = make(map[string]plotter.Values)
	for _, r := range p.ReuseRuns {
		if r.Site != site || !isShown(r.Policy) {
			continue
		}
		if !slices.Contains(changes, r.Change) {
			changes = append(changes, r.Change)
		}
		if !slices.Contains(policies, r.Policy) {
			policies = append(policies, r.Policy)
		}
		values[r.Policy] = append(values[r.Policy], r.Percent)
	}
	return changes, policies, values
}
