package lists

import (
	"fmt"
	"sort"
	"strings"
)

// Violation describes one mistake in a list file and its remedy.
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
func (v Violation) String() string {
	var b strings.Builder
	if v.File != "" {
		b.WriteString(v.File)
		if v.Line > 0 {
			fmt.Fprintf(&b, ":%d:%d", v.Line, v.Column)
		}
		b.WriteString(": ")
	}
	if v.Field != "" {
		b.WriteString(v.Field + ": ")
	}
	b.WriteString(v.Problem)
	if v.Remedy != "" {
		b.WriteString("; " + v.Remedy)
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
