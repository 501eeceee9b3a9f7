package lists

import (
	"fmt"
	"sort"
	"strings"
)

// Violation is a violation in a list, with a remedy.
type Violation struct {
	File string `json:"file,omitempty"`
	// Line and Column count from 1; 0 means that the position is unknown.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
	// Field is the path of the invalid field, such as workspaces[3].plan.
	Field   string `json:"field,omitempty"`
	Problem string `json:"problem"`
	Remedy  string `json:"remedy"`
}

// String formats the violation as FILE:LINE:COLUMN: FIELD: PROBLEM; REMEDY.
func (f Violation) String() string {
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

// sortViolations sorts violations by file, line and column, so that they print in the
// order of the files.
func sortViolations(violations []Violation) {
	sort.SliceStable(violations, func(i, j int) bool {
		a, b := violations[i], violations[j]
		if a.File != b.File {
			return a.File < b.File
		}
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
}
