package report

import (
	"fmt"
	"io"
	"strings"
)

// Page is everything that the report shows.
type Page struct {
	// Head says when and on what machine it was measured, as Markdown.
	Head  string
	Reuse []Reuse
	Ways  []Way
	// Zones holds the load tool's output of a zone's absence and return, by the
	// deployment.
	Zones []Zone
}

// Zone is one trial in which a zone left and returned.
type Zone struct {
	Site   string
	Output string
}

// WriteMarkdown writes the page, which names the plots that Plot draws.
func (p Page) WriteMarkdown(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "# What we measure\n\n%s\n", strings.TrimSpace(p.Head))
	p.writeReuse(&b)
	p.writeWays(&b)
	for _, z := range p.Zones {
		fmt.Fprintf(&b, "\n## Service while a zone leaves and returns: %s\n\n```\n%s\n```\n", z.Site, strings.TrimSpace(z.Output))
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func (p Page) writeReuse(b *strings.Builder) {
	for _, site := range p.sites() {
		fmt.Fprintf(b, "\n## Cache reuse through churn: %s\n\n![reuse](%s)\n\n", site, plotName(site))
		b.WriteString("Reuse over 40 minutes, in the first four, and p99 of an engine's load over the mean.\n\n")
		b.WriteString("| change | policy | reuse | first 4 min | p99 load over mean |\n|---|---|---|---|---|\n")
		for _, r := range p.Reuse {
			if r.Site == site && shown(r.Policy) {
				fmt.Fprintf(b, "| %s | %s | %s | %s | %.2f |\n", r.Change, r.Policy, percent(r.Percent), percent(r.SoonPercent), r.Skew)
			}
		}
	}
}

func (p Page) writeWays(b *strings.Builder) {
	b.WriteString("\n## Skew across engines and control traffic\n\n")
	b.WriteString("Control counts what tells of load alone, for one pool; leases, lists and loans are in CAPACITY.md.\n\n")
	b.WriteString("| size | way | load over mean at admission, p99.9 | worst | above the bound of the mean at that moment | refused | control, B/s a router |\n|---|---|---|---|---|---|---|\n")
	for _, w := range p.Ways {
		fmt.Fprintf(b, "| %s | %s | %.2f | %.2f | %.2f%% | %.2f%% | %.0f |\n", w.Site, w.Name, w.Skew, w.WorstSkew, w.BeyondPercent, w.RefusedPercent, w.ControlBytes)
	}
}

// shown tells whether a policy is on the page; the others have one mechanism off.
func shown(policy string) bool { return !strings.HasPrefix(policy, "no ") }

// sites lists the deployments in the order of the runs.
func (p Page) sites() []string {
	var sites []string
	for _, r := range p.Reuse {
		if len(sites) == 0 || sites[len(sites)-1] != r.Site {
			sites = append(sites, r.Site)
		}
	}
	return sites
}

func plotName(site string) string { return "reuse-" + strings.ReplaceAll(site, " ", "-") + ".svg" }
