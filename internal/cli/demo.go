package cli

import (
	"context"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/wigeonflow/wigeonflow/internal/demo"
)

func demoCommand(stdout io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name: "demo", ShortUsage: "wigeonflow demo",
		ShortHelp: "Run a small fleet in this process, send requests and print what served them.",
		Exec:      func(ctx context.Context, _ []string) error { return demo.Run(ctx, stdout) },
	}
}
