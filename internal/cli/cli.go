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

// Exit codes of every command.
const (
	exitDone    = 0
	exitRefused = 1
	exitUsage   = 2
	exitUnknown = 3
)

// Version is the release this binary was built from.
const Version = "0.1.0"

// Run runs the command that args name and returns the exit code.
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

// commands lists every subcommand, in the order that help prints them.
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

// exitError carries the exit code that a command ends with.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

func exitCode(err error, stderr io.Writer) int {
	if err == nil {
		return exitDone
	}
	if errors.Is(err, flag.ErrHelp) {
		return exitUsage
	}
	fmt.Fprintln(stderr, "wigeonflow:", err)
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return exitRefused
}
