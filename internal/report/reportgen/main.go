// Command reportgen writes the page and the plots of package report from the
// outputs in a directory: head.md, reuse.txt, ways.txt and zone-SITE.txt.
//
// Usage: reportgen INPUT_DIR OUTPUT_DIR
package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/wigeonflow/wigeonflow/internal/report"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: reportgen INPUT_DIR OUTPUT_DIR")
		os.Exit(2)
	}
	if err := run(os.Args[1], os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run writes README.md and the plots to the directory out from the outputs in the
// directory in.
func run(in, out string) error {
	page, err := readPage(in)
	if err != nil {
		return err
	}
	if err := page.Plot(out); err != nil {
		return err
	}
	file, err := os.Create(filepath.Join(out, "README.md"))
	if err != nil {
		return err
	}
	if err := page.WriteMarkdown(file); err != nil {
		return err
	}
	return file.Close()
}

// readPage reads all inputs in a directory.
func readPage(dir string) (page report.Page, err error) {
	head, err := os.ReadFile(filepath.Join(dir, "head.md"))
	if err != nil {
		return page, err
	}
	page.Head = string(head)
	if page.ReuseRuns, err = parseFile(filepath.Join(dir, "reuse.txt"), report.ParseReuse); err != nil {
		return page, err
	}
	if page.AdmissionRuns, err = parseFile(filepath.Join(dir, "ways.txt"), report.ParseAdmission); err != nil {
		return page, err
	}
	page.Zones, err = readZones(dir)
	return page, err
}

// readZones reads the outputs of the zone trials, one for each deployment.
func readZones(dir string) ([]report.Zone, error) {
	files, err := filepath.Glob(filepath.Join(dir, "zone-*.txt"))
	if err != nil {
		return nil, err
	}
	var trials []report.Zone
	for _, name := range files {
		output, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		site := strings.TrimSuffix(strings.TrimPrefix(filepath.Base(name), "zone-"), ".txt")
		trials = append(trials, report.Zone{Site: site, Output: string(output)})
	}
	return trials, nil
}

// parseFile parses the file name with parser.
func parseFile[T any](name string, parser func(io.Reader) ([]T, error)) ([]T, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return parser(file)
}
