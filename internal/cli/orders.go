package cli

import (
	"context"
	"flag"
	"io"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/operator"
)

// orderFlags are the flags of all orders to an engine.
type orderFlags struct {
	operatorFlags
	model, adapter, release, role string
	supersede                     bool
}

func (f *orderFlags) spec(action operator.Action, id string) operator.OrderSpec {
	return operator.OrderSpec{
		Upstream: fleet.UpstreamID(id), Action: action, Model: fleet.ModelName(f.model),
		Adapter: f.adapter, Release: f.release, Role: f.role, Supersede: f.supersede,
	}
}

// orderCommand returns the command "order load|unload|role UPSTREAM".
func orderCommand(stdout, stderr io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name: "order", ShortUsage: "wigeonflow order load|unload|role [flags] UPSTREAM",
		ShortHelp: "Order an engine to load or unload a model or to change its role; get status shows the progress.",
		Subcommands: []*ffcli.Command{
			orderActionCommand(operator.ActionLoad, stdout, stderr),
			orderActionCommand(operator.ActionUnload, stdout, stderr),
			orderActionCommand(operator.ActionRole, stdout, stderr),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}

// orderActionCommand returns the subcommand of orderCommand for one action.
func orderActionCommand(action operator.Action, stdout, stderr io.Writer) *ffcli.Command {
	name := string(action)
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(stderr)
	flags := new(orderFlags)
	flags.register(fs, true)
	fs.BoolVar(&flags.supersede, "supersede", false, "replace a pending order of the upstream")
	if action == operator.ActionRole {
		fs.StringVar(&flags.role, "role", "", "role, such as prefill, decode or both")
	} else {
		fs.StringVar(&flags.model, "model", "", "name of the model")
		fs.StringVar(&flags.adapter, "adapter", "", "adapter of the model")
		fs.StringVar(&flags.release, "release", "", "version of the model or adapter")
	}
	return &ffcli.Command{
		Name: name, ShortUsage: "wigeonflow order " + name + " [flags] UPSTREAM", ShortHelp: "Send the order.",
		FlagSet: fs, Options: []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usageError("order " + name + " needs exactly one upstream")
			}
			return flags.change(ctx, stdout, func(ctx context.Context, c *operator.Client, e operator.Expect, id string) (fleet.ConfigVersion, error) {
				return c.SubmitOrder(ctx, e, id, flags.spec(action, args[0]))
			})
		},
	}
}
