package cli

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/goccy/go-yaml"
	"github.com/google/uuid"
	"github.com/joomcode/errorx"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/lists"
	"github.com/wigeonflow/wigeonflow/internal/operator"
)

// envPrefix starts the names of environment variables that stand in for flags.
const envPrefix = "WIGEONFLOW"

// operatorFlags are the flags of every command that talks to control.
type operatorFlags struct {
	control   string
	key       string
	expect    string
	operation string
	output    string
}

// expectAny has a change made whatever version is in force.
const expectAny = "any"

func (f *operatorFlags) register(fs *flag.FlagSet, changes bool) {
	fs.StringVar(&f.control, "control", "127.0.0.1:8090", "control members' operator addresses, HOST:PORT, comma-separated")
	fs.StringVar(&f.key, "operator-key", "", "the operator's key; better in WIGEONFLOW_OPERATOR_KEY")
	if changes {
		fs.StringVar(&f.expect, "expect", expectAny, "the version in force that the change is based on, or any")
		fs.StringVar(&f.operation, "operation", "", "an ID of this change, the same at every resend; default: a new one")
		return
	}
	fs.StringVar(&f.output, "output", "table", "table, json or yaml")
}

func (f *operatorFlags) client() *operator.Client {
	return operator.NewClient(operator.ClientSettings{Addrs: strings.Split(f.control, ","), Token: f.key})
}

func (f *operatorFlags) expectation() (operator.Expect, error) {
	if f.expect == expectAny {
		return operator.Expect{Any: true}, nil
	}
	var version uint64
	if _, err := fmt.Sscanf(f.expect, "%d", &version); err != nil {
		return operator.Expect{}, usageError("--expect takes a version or any")
	}
	return operator.Expect{Version: fleet.ConfigVersion(version)}, nil
}

func usageError(text string) error { return &exitError{exitUsage, errors.New(text)} }

// operatorCommand returns a command with the operators' flags.
func operatorCommand(name, usage, help string, stderr io.Writer, changes bool, exec func(context.Context, *operatorFlags, []string) error) *ffcli.Command {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(stderr)
	flags := new(operatorFlags)
	flags.register(fs, changes)
	return &ffcli.Command{
		Name: name, ShortUsage: "wigeonflow " + usage, ShortHelp: help, FlagSet: fs,
		Options: []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec:    func(ctx context.Context, args []string) error { return exec(ctx, flags, args) },
	}
}

// change makes one change and reports its outcome.
func (f *operatorFlags) change(ctx context.Context, stdout io.Writer, make func(context.Context, *operator.Client, operator.Expect, string) (fleet.ConfigVersion, error)) error {
	expect, err := f.expectation()
	if err != nil {
		return err
	}
	if f.operation == "" {
		f.operation = uuid.NewString()
	}
	version, err := make(ctx, f.client(), expect, f.operation)
	if err != nil {
		return f.outcome(err)
	}
	fmt.Fprintf(stdout, "version %d\n", version)
	return nil
}

// outcome gives an error its exit code, and says how to find out about an
// unknown outcome.
func (f *operatorFlags) outcome(err error) error {
	if errorx.IsOfType(err, operator.ErrUnknownOutcome) {
		return &exitError{exitUnknown, fmt.Errorf("%w; run the command again with --operation %s to learn its outcome", err, f.operation)}
	}
	if version, ok := operator.VersionInForce(err); ok {
		err = fmt.Errorf("%w; version %d is in force", err, version)
	}
	return &exitError{exitRefused, err}
}

func applyCommand(stdout, stderr io.Writer) *ffcli.Command {
	return operatorCommand("apply", "apply [flags] plans.yaml allowances.yaml", "Put both lists in force.", stderr, true,
		func(ctx context.Context, f *operatorFlags, args []string) error {
			if len(args) != 2 {
				return usageError("apply takes plans.yaml and allowances.yaml")
			}
			if f.expect == expectAny {
				return usageError("apply takes --expect VERSION: the version in force that the lists were made from (get status shows it)")
			}
			both, faults := lists.Load(args[0], args[1])
			if err := faultsError(faults, stderr); err != nil {
				return err
			}
			return f.change(ctx, stdout, func(ctx context.Context, c *operator.Client, e operator.Expect, id string) (fleet.ConfigVersion, error) {
				return c.Apply(ctx, e, id, both)
			})
		})
}

// stateCommand returns "NAME out|in ID".
func stateCommand(name, help string, stdout, stderr io.Writer, set func(context.Context, *operator.Client, operator.Expect, string, string, bool) (fleet.ConfigVersion, error)) *ffcli.Command {
	sub := func(state string, out bool) *ffcli.Command {
		return operatorCommand(state, name+" "+state+" [flags] NAME", "Take it "+state+".", stderr, true,
			func(ctx context.Context, f *operatorFlags, args []string) error {
				if len(args) != 1 {
					return usageError(name + " " + state + " takes one name")
				}
				return f.change(ctx, stdout, func(ctx context.Context, c *operator.Client, e operator.Expect, id string) (fleet.ConfigVersion, error) {
					return set(ctx, c, e, id, args[0], out)
				})
			})
	}
	return &ffcli.Command{
		Name: name, ShortUsage: "wigeonflow " + name + " out|in [flags] NAME", ShortHelp: help,
		Subcommands: []*ffcli.Command{sub("out", true), sub("in", false)},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func zoneCommand(stdout, stderr io.Writer) *ffcli.Command {
	return stateCommand("zone", "Take an availability zone out of service or back in.", stdout, stderr,
		func(ctx context.Context, c *operator.Client, e operator.Expect, id, name string, out bool) (fleet.ConfigVersion, error) {
			return c.SetZone(ctx, e, id, fleet.AvailabilityZone(name), out)
		})
}

func instanceCommand(stdout, stderr io.Writer) *ffcli.Command {
	return stateCommand("instance", "Take an instance out of service or back in.", stdout, stderr,
		func(ctx context.Context, c *operator.Client, e operator.Expect, id, name string, out bool) (fleet.ConfigVersion, error) {
			return c.SetInstance(ctx, e, id, fleet.InstanceID(name), out)
		})
}

func upstreamCommand(stdout, stderr io.Writer) *ffcli.Command {
	return stateCommand("upstream", "Take an upstream out of service or back in.", stdout, stderr,
		func(ctx context.Context, c *operator.Client, e operator.Expect, id, name string, out bool) (fleet.ConfigVersion, error) {
			return c.SetUpstream(ctx, e, id, fleet.UpstreamID(name), out)
		})
}

func getCommand(stdout, stderr io.Writer) *ffcli.Command {
	return operatorCommand("get", "get [flags] config|status|upstreams", "Show the lists, the fleet's status or the upstreams.", stderr, false,
		func(ctx context.Context, f *operatorFlags, args []string) error {
			if len(args) != 1 {
				return usageError("get takes config, status or upstreams")
			}
			return f.get(ctx, args[0], stdout)
		})
}

func (f *operatorFlags) get(ctx context.Context, what string, stdout io.Writer) error {
	var value any
	var table func(io.Writer)
	var err error
	switch what {
	case "config":
		var both lists.Both
		both, _, err = f.client().Config(ctx)
		value = both
	case "status":
		var status *operator.Status
		status, err = f.client().Status(ctx)
		value, table = status, func(w io.Writer) { statusTable(w, status) }
	case "upstreams":
		var upstreams []operator.UpstreamStatus
		upstreams, err = f.client().Upstreams(ctx)
		value, table = upstreams, func(w io.Writer) { upstreamsTable(w, upstreams) }
	default:
		return usageError("get takes config, status or upstreams")
	}
	if err != nil {
		return f.outcome(err)
	}
	return f.print(stdout, value, table)
}

// print writes a value in the form that --output names. What has no table is
// written as YAML.
func (f *operatorFlags) print(stdout io.Writer, value any, table func(io.Writer)) error {
	switch {
	case f.output == "json":
		encoder := json.NewEncoder(stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	case f.output == "table" && table != nil:
		w := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
		table(w)
		return w.Flush()
	case f.output == "yaml" || f.output == "table":
		text, err := json.Marshal(value)
		if err != nil {
			return err
		}
		text, err = yaml.JSONToYAML(text)
		if err != nil {
			return err
		}
		_, err = stdout.Write(text)
		return err
	default:
		return usageError("--output takes table, json or yaml")
	}
}

func statusTable(w io.Writer, s *operator.Status) {
	fmt.Fprintf(w, "version\t%d\tin force everywhere\t%d\tslowest\t%s\n", s.Version, s.InForce, s.Slowest)
	fmt.Fprintf(w, "epoch\t%d\tsettled\t%d\tlosses left\t%d\n", s.Epoch, s.Settled, s.LossesLeft)
	fmt.Fprintf(w, "out\tzones %v\tinstances %v\tupstreams %v\n\n", s.ZonesOut, s.InstancesOut, s.UpstreamsOut)
	fmt.Fprintln(w, "CONTROL\tROLE\tBEHIND\tREACHABLE")
	for _, c := range s.Control {
		fmt.Fprintf(w, "%s\t%s\t%d\t%t\n", c.Instance, c.Role, c.Behind, c.Reachable)
	}
	fmt.Fprintln(w, "\nROUTER\tZONE\tVERSION\tEPOCH\tLEASE LEFT\tIN FLIGHT\tUPSTREAMS")
	for _, r := range s.Routers {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\t%d\t%d\n", r.Instance, r.Zone, r.Version, r.Epoch, r.LeaseLeft, r.InFlight, r.Upstreams)
	}
}

func upstreamsTable(w io.Writer, upstreams []operator.UpstreamStatus) {
	fmt.Fprintln(w, "UPSTREAM\tPOOL\tZONE\tADDRESS\tOWNER\tSTATE")
	for _, u := range upstreams {
		state := "in"
		switch {
		case u.Out:
			state = "out"
		case u.Leaving:
			state = "leaving"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", u.ID, u.Pool, u.Zone, u.Addr, u.Owner, state)
	}
}
