package lists

import (
	"fmt"
	"sort"
	"strings"
)

// Fault is one thing that is wrong with a list, with what to do about it.
type Fault struct {
	File string `json:"file,omitempty"`
	// Line and Column count from 1; 0 means that the place is not known.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
	// Field is the path of the field, such as workspaces[3].plan.
	Field   string `json:"field,omitempty"`
	Problem string `json:"problem"`
	Remedy  string `json:"remedy"`
}

// String formats the fault as FILE:LINE:COLUMN: FIELD: PROBLEM; REMEDY.
func (f Fault) String() string {
	var b strings.Builder
	if f.File != "" {
		b.WriteString(f.File)
		if f.Line > 0 {
			fmt.Fprintf(&b, ":%d:%d", f.Line, f.Column)
		}
		b.WriteString(": ")
	}
	if f.Field != "" {
		b.WriteString(f.Field + ": ")
	}
	b.WriteString(f.Problem)
	if f.Remedy != "" {
		b.WriteString("; " + f.Remedy)
	}
	return b.String()
}

// sortFaults orders faults by file, line and column, so that they print as a
// reader meets them.
func sortFaults(faults []Fault) {
	sort.SliceStable(faults, func(i, j int) bool {
		a, b := faults[i], faults[j]
		if a.File != b.File {
			return a.File < b.File
		}
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
}
