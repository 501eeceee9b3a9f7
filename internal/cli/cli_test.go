package cli

import (
	"bytes"
	"context"
	"flag"
	"io"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/peterbourgon/ff/v3/ffcli"
)

func TestRunExitCodes(t *testing.T) {
	cases := []struct {
		name string
		args []string
		code int
	}{
		{"version prints and succeeds", []string{"version"}, exitOK},
		{"no command is a usage error", nil, exitUsage},
		{"unknown command is a usage error", []string{"fly"}, exitUsage},
		{"unknown flag is a usage error", []string{"standin", "engine", "--colour", "red"}, exitUsage},
		{"unknown flag after the arguments is a usage error", []string{"get", "status", "--colour", "red"}, exitUsage},
		{"help is a usage error", []string{"load", "-h"}, exitUsage},
		{"too many arguments", []string{"get", "status", "config", "--control", "127.0.0.1"}, exitUsage},
		{"an order without its kind is a usage error", []string{"order"}, exitUsage},
		{"an order without an upstream is a usage error", []string{"order", "load", "--model", "m"}, exitUsage},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var out, errs bytes.Buffer
			is.Equal(Run(tc.args, &out, &errs), tc.code)
		})
	}
}

func TestFlagsAfterArguments(t *testing.T) {
	cases := []struct {
		name    string
		args    string
		control string
		rest    string
	}{
		{"before", "--control a status", "a", "status"},
		{"after", "status --control a", "a", "status"},
		{"between", "plans.yaml --control=a allowances.yaml", "a", "plans.yaml allowances.yaml"},
		{"the last one wins", "--control a status --control b", "b", "status"},
		{"everything after two dashes is an argument", "status -- --control a", "", "status --control a"},
		{"a single dash is an argument", "- status", "", "- status"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			fs := flag.NewFlagSet("get", flag.ContinueOnError)
			control := fs.String("control", "", "")
			var rest []string
			command := &ffcli.Command{Name: "get", FlagSet: fs, Exec: func(_ context.Context, args []string) error {
				rest = args
				return nil
			}}
			root := &ffcli.Command{Subcommands: []*ffcli.Command{command}}
			allowTrailingFlags(root.Subcommands)
			is.NoErr(root.ParseAndRun(t.Context(), append([]string{"get"}, strings.Fields(tc.args)...)))
			is.Equal(*control, tc.control)
			is.Equal(strings.Join(rest, " "), tc.rest)
		})
	}
}

func TestEachCommandIsListedOnce(t *testing.T) {
	is := is.New(t)
	seen := make(map[string]bool)
	for _, c := range commands(io.Discard, io.Discard) {
		is.True(!seen[c.Name]) // no other command has this name
		seen[c.Name] = true
	}
}

func TestCheckAcceptsTheExamples(t *testing.T) {
	for _, example := range []string{"dala-press", "lamphun", "demo"} {
		t.Run(example, func(t *testing.T) {
			is := is.New(t)
			files, err := filepath.Glob(filepath.Join("..", "..", "examples", example, "*.yaml"))
			is.NoErr(err)
			is.True(len(files) > 3)
			var out, errs bytes.Buffer
			is.Equal(Run(append([]string{"check"}, files...), &out, &errs), exitOK)
			is.Equal(errs.String(), "")
		})
	}
}
