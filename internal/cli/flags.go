package cli

import (
	"context"
	"flag"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// allowTrailingFlags makes each command accept flags after its arguments, as in
// "get status --control HOST:PORT". Package flag alone stops parsing at the first
// argument.
func allowTrailingFlags(commands []*ffcli.Command) {
	for _, c := range commands {
		allowTrailingFlags(c.Subcommands)
		if c.FlagSet == nil || c.Exec == nil {
			continue
		}
		exec := c.Exec
		c.Exec = func(ctx context.Context, args []string) error {
			args, err := parseTrailing(c.FlagSet, args)
			if err != nil {
				return usageError(err.Error())
			}
			return exec(ctx, args)
		}
	}
}

// parseTrailing parses the flags in args and returns the other arguments. Everything
// after "--" is an argument.
func parseTrailing(fs *flag.FlagSet, args []string) ([]string, error) {
	var rest []string
	for len(args) > 0 {
		switch {
		case args[0] == "--":
			return append(rest, args[1:]...), nil
		case len(args[0]) > 1 && strings.HasPrefix(args[0], "-"):
			if err := fs.Parse(args); err != nil {
				return nil, err
			}
			args = fs.Args()
		default:
			rest = append(rest, args[0])
			args = args[1:]
		}
	}
	return rest, nil
}
