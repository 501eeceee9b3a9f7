package cli

import (
	"context"
	"flag"
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

// checkFlags are the flags of the command check. Both are empty if the version in force isn't
// compared with.
type checkFlags struct {
	control string
	against string
}

func checkCommand(stdout, stderr io.Writer) *ffcli.Command {
	fs := flag.NewFlagSet("check", flag.ContinueOnError)
	fs.SetOutput(stderr)
	flags := new(checkFlags)
	fs.StringVar(&flags.control, "control", "", "operator address of a control member, HOST:PORT: tell what a configuration changes of the one in force")
	fs.StringVar(&flags.against, "against", "", "file with the configuration in force, in place of --control")
	return &ffcli.Command{
		Name: "check", ShortUsage: "wigeonflow check [--control HOST:PORT | --against FILE] FILE...", FlagSet: fs,
		ShortHelp: "Check settings, plans, allowances, platform lists and configurations; plans and allowances in the same directory are checked against each other.",
		Exec: func(ctx context.Context, args []string) error {
			if len(args) == 0 {
				return usageError("check needs at least one file")
			}
			if flags.control != "" || flags.against != "" {
				return flags.compare(ctx, args, stdout, stderr)
			}
			return checkFiles(args, stdout, stderr)
		},
	}
}

// compare checks one configuration and prints its differences from the one in force to stdout.
func (f *checkFlags) compare(ctx context.Context, files []string, stdout, stderr io.Writer) error {
	if f.control != "" && f.against != "" || len(files) != 1 {
		return usageError("check compares one configuration, by either --control or --against")
	}
	text, err := os.ReadFile(files[0])
	if err != nil {
		return usageError(err.Error())
	}
	if !platform.IsConfiguration(text) {
		return usageError(files[0] + " is no configuration")
	}
	checked := platform.CheckConfiguration(text)
	failed := violationsError(checkedLines(files[0], checked, stderr), stderr)
	differences, err := f.differences(ctx, checked)
	switch {
	case err != nil && failed == nil:
		return &exitError{exitUnknown, fmt.Errorf("the configuration in force can't be read: %w", err)}
	case err != nil:
		fmt.Fprintln(stderr, "wigeonflow: the configuration in force can't be read:", err)
	}
	for _, line := range differences {
		fmt.Fprintln(stdout, line)
	}
	if failed == nil && len(differences) == 0 {
		fmt.Fprintln(stdout, "no differences from the configuration in force")
	}
	return failed
}

// differences reads the configuration in force and compares the checked one with it.
func (f *checkFlags) differences(ctx context.Context, checked platform.CheckedConfiguration) ([]string, error) {
	read := func() ([]byte, error) { return platform.ReadInForceFile(f.against) }
	if f.control != "" {
		read = func() ([]byte, error) { return platform.ReadInForce(ctx, f.control) }
	}
	inForce, err := read()
	if err != nil {
		return nil, err
	}
	return checked.Compare(inForce)
}

// fileLine is one line on a file.
type fileLine struct{ file, text string }

func (l fileLine) String() string { return l.file + ": " + l.text }

// checkedLines prints the warnings on a configuration to stderr and returns its errors.
func checkedLines(file string, checked platform.CheckedConfiguration, stderr io.Writer) (errs []fileLine) {
	for _, text := range checked.Warnings {
		fmt.Fprintln(stderr, fileLine{file, "warning: " + text})
	}
	for _, text := range checked.Errors {
		errs = append(errs, fileLine{file, text})
	}
	return errs
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
			violations = append(violations, settingsViolations(file, stderr)...)
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

// settingsViolations returns the violations in an instance's settings file, in wigeonflow's own format
// or in that of the users' platform, or in a configuration, whose warnings it prints to stderr.
func settingsViolations(file string, stderr io.Writer) []fmt.Stringer {
	text, err := os.ReadFile(file)
	switch {
	case err == nil && platform.IsConfiguration(text):
		return stringers(checkedLines(file, platform.CheckConfiguration(text), stderr))
	case err == nil && platform.IsSettings(text):
		return stringers(platform.CheckSettings(file, text))
	}
	_, found := settings.Load(file)
	return stringers(found)
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
