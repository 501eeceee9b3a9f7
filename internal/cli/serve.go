package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/wigeonflow/wigeonflow/internal/agent"
	"github.com/wigeonflow/wigeonflow/internal/settings"
)

func serveCommand(stderr io.Writer) *ffcli.Command {
	fs := flag.NewFlagSet("serve", flag.ContinueOnError)
	fs.SetOutput(stderr)
	path := fs.String("config", "", "path of the instance's settings file")
	var overrides settings.Overrides
	overrides.Register(fs)
	return &ffcli.Command{
		Name: "serve", ShortUsage: "wigeonflow serve --config FILE [flags]",
		ShortHelp: "Run one process of the fleet.", FlagSet: fs, Options: settings.Options(),
		Exec: func(ctx context.Context, _ []string) error { return serve(ctx, *path, &overrides, stderr) },
	}
}

// serve runs an instance until SIGTERM, SIGINT or a failure, and stops it gracefully after a
// signal.
func serve(ctx context.Context, path string, overrides *settings.Overrides, stderr io.Writer) error {
	if path == "" {
		return &exitError{exitUsage, errors.New("serve needs --config FILE")}
	}
	s, violations := settings.LoadWith(path, overrides)
	violations = append(violations, settings.CheckReferencedFiles(path, s)...)
	if err := violationsError(violations, stderr); err != nil {
		return err
	}
	a, err := agent.Start(ctx, s, stderr)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case err = <-a.Failed():
	case <-signals:
	}
	ctx, cancel := context.WithTimeout(ctx, s.GracePeriod)
	defer cancel()
	go func() {
		<-signals // a second signal ends the grace period at once
		cancel()
	}()
	if err != nil {
		a.StopAfterFailure(ctx, err)
		return err
	}
	return a.Stop(ctx)
}

// violationsError prints all violations and returns the error that ends the command, or
// nil if there are none.
func violationsError[F fmt.Stringer](violations []F, stderr io.Writer) error {
	if len(violations) == 0 {
		return nil
	}
	for _, v := range violations {
		fmt.Fprintln(stderr, v)
	}
	return &exitError{exitFailure, fmt.Errorf("%d violations found", len(violations))}
}
