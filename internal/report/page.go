package report

import (
	"fmt"
	"io"
	"strings"
)

// Page is the content of the report.
type Page struct {
	// Head is Markdown that says when and on what host the figures were measured.
	Head          string
	ReuseRuns     []ReuseRun
	AdmissionRuns []AdmissionRun
	// Zones holds the load tool's output for each deployment, from a trial in which
	// a zone left and returned.
	Zones []Zone
}

// Zone is the output of a trial in which a zone of a deployment left and returned.
type Zone struct {
	Site   string
	Output string
}

// WriteMarkdown writes the page. It links to the plots by the file names that Plot uses.
func (p Page) WriteMarkdown(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "# What we measure\n\n%s\n", strings.TrimSpace(p.Head))
	p.writeReuse(&b)
	p.writeAdmission(&b)
	for _, z := range p.Zones {
		fmt.Fprintf(&b, "\n## Service while a zone leaves and returns: %s\n\n```\n%s\n```\n", z.Site, strings.TrimSpace(z.Output))
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func (p Page) writeReuse(b *strings.Builder) {
	for _, site := range p.sites() {
		fmt.Fprintf(b, "\n## Cache reuse through churn: %s\n\n![reuse](%s)\n\n", site, plotName(site))
		b.WriteString("Reuse is the share of returning histories that a cache held, over 40 minutes and over the first 4 minutes. Load over mean is the 99th percentile of the ratio of an engine's load to the mean load.\n\n")
		b.WriteString("| change | policy | reuse | first 4 min | p99 load over mean |\n|---|---|---|---|---|\n")
		for _, r := range p.ReuseRuns {
			if r.Site == site && isShown(r.Policy) {
				fmt.Fprintf(b, "| %s | %s | %s | %s | %.2f |\n", r.Change, r.Policy, percent(r.Percent), percent(r.EarlyPercent), r.Skew)
			}
		}
	}
}

func (p Page) writeAdmission(b *strings.Builder) {
	b.WriteString("\n## Skew across engines and control traffic\n\n")
	b.WriteString("Control traffic counts load information only, for one pool; leases, lists and grants are in CAPACITY.md.\n\n")
	b.WriteString("| size | strategy | load over mean at admission, p99.9 | worst | admitted above the load bound from the true mean | rejected | control traffic, B/s for each router |\n|---|---|---|---|---|---|---|\n")
	for _, w := range p.AdmissionRuns {
		fmt.Fprintf(b, "| %s | %s | %.2f | %.2f | %.2f%% | %.2f%% | %.0f |\n", w.Site, w.Strategy, w.Skew, w.WorstSkew, w.AboveBoundPercent, w.RejectedPercent, w.ControlBytes)
	}
}

// isShown reports whether a policy is on the page. The policies that start with "no "
// disable one mechanism and are left out.
func isShown(policy string) bool { return !strings.HasPrefix(policy, "no ") }

// sites returns the deployments of the reuse runs in their order. The runs of a deployment
// follow each other.
func (p Page) sites() []string {
	var sites []string
	for _, r := range p.ReuseRuns {
		if len(sites) == 0 || sites[len(sites)-1] != r.Site {
			sites = append(sites, r.Site)
		}
	}
	return sites
}

// plotName returns the file name of a deployment's plot.
func plotName(site string) string { return "reuse-" + strings.ReplaceAll(site, " ", "-") + ".svg" }
