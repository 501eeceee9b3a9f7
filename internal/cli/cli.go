// Package cli registers the commands of the wigeonflow binary.
package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/wigeonflow/wigeonflow/internal/load"
	"github.com/wigeonflow/wigeonflow/internal/standin"
	"github.com/wigeonflow/wigeonflow/platform"
)

// Exit codes of all commands. exitUnknown means that the outcome of a change is unknown.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
	exitUnknown = 3
)

// Version is the release version of this binary.
const Version = "0.1.0"

// Run runs the command given by args and returns its exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	root := &ffcli.Command{
		ShortUsage:  "wigeonflow COMMAND [flags]",
		ShortHelp:   "A router fleet for returning chats.",
		Subcommands: commands(stdout, stderr),
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	allowTrailingFlags(root.Subcommands)
	if err := root.Parse(args); err != nil {
		return exitCode(&exitError{exitUsage, err}, stderr)
	}
	return exitCode(root.Run(context.Background()), stderr)
}

// commands returns all subcommands in the order in which the help lists them.
func commands(stdout, stderr io.Writer) []*ffcli.Command {
	return []*ffcli.Command{
		serveCommand(stderr),
		platform.Command(stdout),
		demoCommand(stdout),
		checkCommand(stdout, stderr),
		applyCommand(stdout, stderr),
		getCommand(stdout, stderr),
		zoneCommand(stdout, stderr),
		instanceCommand(stdout, stderr),
		upstreamCommand(stdout, stderr),
		orderCommand(stdout, stderr),
		explainCommand(stdout, stderr),
		standin.Commands(stdout, stderr),
		load.Command(stdout, stderr),
		versionCommand(stdout),
	}
}

func versionCommand(stdout io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:      "version",
		ShortHelp: "Print the version.",
		Exec: func(context.Context, []string) error {
			_, err := fmt.Fprintln(stdout, "wigeonflow", Version)
			return err
		},
	}
}

// exitError is an error with the exit code of the command.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

// exitCode prints err to stderr, except for a request for help, and returns the exit code of
// the command.
func exitCode(err error, stderr io.Writer) int {
	if err == nil {
		return exitOK
	}
	if errors.Is(err, flag.ErrHelp) {
		return exitUsage
	}
	fmt.Fprintln(stderr, "wigeonflow:", err)
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return exitFailure
}
