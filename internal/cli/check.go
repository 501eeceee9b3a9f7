package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/wigeonflow/wigeonflow/internal/lists"
	"github.com/wigeonflow/wigeonflow/internal/settings"
	"github.com/wigeonflow/wigeonflow/internal/standin"
	"github.com/wigeonflow/wigeonflow/platform"
)

func checkCommand(stdout, stderr io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name: "check", ShortUsage: "wigeonflow check FILE...",
		ShortHelp: "Check settings, plans, allowances and platform lists; plans and allowances in the same directory are checked against each other.",
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return usageError("check needs at least one file")
			}
			return checkFiles(args, stdout, stderr)
		},
	}
}

// File name prefixes that distinguish plans, allowances and a simulated platform's upstream
// list from an instance's settings.
const (
	plansPrefix      = "plans"
	allowancesPrefix = "allowances"
	platformPrefix   = "platform"
)

// checkFiles checks files by the kind that their names show. It prints all violations to stderr.
func checkFiles(files []string, stdout, stderr io.Writer) error {
	var violations []fmt.Stringer
	pairs := make(map[string][2]string) // directory to its plans and allowances files
	for _, file := range files {
		if _, err := os.Stat(file); err != nil {
			return usageError(err.Error())
		}
		dir, base := filepath.Split(file)
		pair := pairs[dir]
		switch {
		case strings.HasPrefix(base, plansPrefix):
			pair[0] = file
		case strings.HasPrefix(base, allowancesPrefix):
			pair[1] = file
		case strings.HasPrefix(base, platformPrefix):
			if _, err := standin.ReadInstances(file); err != nil {
				violations = append(violations, listViolation{file, err})
			}
			continue
		default:
			violations = append(violations, stringers(settingsViolations(file))...)
			continue
		}
		pairs[dir] = pair
	}
	for dir, pair := range pairs {
		if pair[0] == "" || pair[1] == "" {
			return usageError(dir + ": both the plans and the allowances file are needed, because they are checked against each other")
		}
		_, found := lists.Load(pair[0], pair[1])
		violations = append(violations, stringers(found)...)
	}
	if err := violationsError(violations, stderr); err != nil {
		return err
	}
	_, err := fmt.Fprintf(stdout, "%d files checked, no violations\n", len(files))
	return err
}

// settingsViolations returns the violations in an instance's settings file, in wigeonflow's
// own format or in that of the users' platform.
func settingsViolations(file string) []settings.Violation {
	text, err := os.ReadFile(file)
	if err == nil && platform.IsSettings(text) {
		return platform.CheckSettings(file, text)
	}
	_, found := settings.Load(file)
	return found
}

// listViolation is the error that reading a simulated platform's upstream list returned.
type listViolation struct {
	file string
	err  error
}

func (v listViolation) String() string { return v.file + ": " + v.err.Error() }

// stringers converts violations to a slice of the interface type.
func stringers[F fmt.Stringer](violations []F) []fmt.Stringer {
	out := make([]fmt.Stringer, len(violations))
	for i, v := range violations {
		out[i] = v
	}
	return out
}
