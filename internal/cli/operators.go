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

// envPrefix is the prefix of the environment variables that set flags.
const envPrefix = "WIGEONFLOW"

// operatorFlags are the flags of all commands that call control members.
type operatorFlags struct {
	control   string
	key       string
	expect    string
	operation string
	output    string
}

// expectAny is the value of --expect that applies a change whatever version is in force.
const expectAny = "any"

// register adds the flags to fs. changes selects those of a command that changes the
// configuration instead of those of a command that reads it.
func (f *operatorFlags) register(fs *flag.FlagSet, changes bool) {
	fs.StringVar(&f.control, "control", "127.0.0.1:8090", "operator addresses of the control members, HOST:PORT, comma-separated")
	fs.StringVar(&f.key, "operator-key", "", "the operator's key; better set WIGEONFLOW_OPERATOR_KEY instead")
	if changes {
		fs.StringVar(&f.expect, "expect", expectAny, "version in force on which the change is based, or any")
		fs.StringVar(&f.operation, "operation", "", "ID of the change, which must be the same when it is sent again; default: a new ID")
		return
	}
	fs.StringVar(&f.output, "output", "table", "output format: table, json or yaml")
}

func (f *operatorFlags) client() *operator.Client {
	return operator.NewClient(operator.ClientSettings{Addrs: strings.Split(f.control, ","), Token: f.key})
}

// expectation parses the value of --expect.
func (f *operatorFlags) expectation() (operator.Expect, error) {
	if f.expect == expectAny {
		return operator.Expect{Any: true}, nil
	}
	var version uint64
	if _, err := fmt.Sscanf(f.expect, "%d", &version); err != nil {
		return operator.Expect{}, usageError("--expect needs a version number or any")
	}
	return operator.Expect{Version: fleet.ConfigVersion(version)}, nil
}

// usageError returns an error with the exit code of wrong usage.
func usageError(text string) error { return &exitError{exitUsage, errors.New(text)} }

// operatorCommand returns a command with operatorFlags. changes selects the flags of a
// command that changes the configuration.
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

// change calls make, which sends one change, and prints the new version. The change gets a
// new operation ID unless --operation is set.
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
		return f.withExitCode(err)
	}
	fmt.Fprintf(stdout, "version %d\n", version)
	return nil
}

// withExitCode adds the exit code to an error. For an unknown outcome it adds how to learn
// it, and for a version conflict the version in force.
func (f *operatorFlags) withExitCode(err error) error {
	if errorx.IsOfType(err, operator.ErrUnknownOutcome) {
		return &exitError{exitUnknown, fmt.Errorf("%w; run the command again with --operation %s to learn its outcome", err, f.operation)}
	}
	if version, ok := operator.VersionInForce(err); ok {
		err = fmt.Errorf("%w; version %d is in force", err, version)
	}
	return &exitError{exitFailure, err}
}

func applyCommand(stdout, stderr io.Writer) *ffcli.Command {
	return operatorCommand("apply", "apply [flags] plans.yaml allowances.yaml", "Put plans and allowances in force.", stderr, true,
		func(ctx context.Context, f *operatorFlags, args []string) error {
			if len(args) != 2 {
				return usageError("apply needs two files: plans.yaml and allowances.yaml")
			}
			if f.expect == expectAny {
				return usageError("apply needs --expect VERSION, the version in force on which the plans and allowances are based (see get status)")
			}
			config, violations := lists.Load(args[0], args[1])
			if err := violationsError(violations, stderr); err != nil {
				return err
			}
			return f.change(ctx, stdout, func(ctx context.Context, c *operator.Client, e operator.Expect, id string) (fleet.ConfigVersion, error) {
				return c.Apply(ctx, e, id, config)
			})
		})
}

// inOutCommand returns a command "NAME out|in ID" that takes the named object out of service
// or back in by calling set.
func inOutCommand(name, help string, stdout, stderr io.Writer, set func(context.Context, *operator.Client, operator.Expect, string, string, bool) (fleet.ConfigVersion, error)) *ffcli.Command {
	sub := func(state string, out bool) *ffcli.Command {
		return operatorCommand(state, name+" "+state+" [flags] NAME", "Set the service state to "+state+".", stderr, true,
			func(ctx context.Context, f *operatorFlags, args []string) error {
				if len(args) != 1 {
					return usageError(name + " " + state + " needs exactly one name")
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
	return inOutCommand("zone", "Take an availability zone out of service or back in.", stdout, stderr,
		func(ctx context.Context, c *operator.Client, e operator.Expect, id, name string, out bool) (fleet.ConfigVersion, error) {
			return c.SetZone(ctx, e, id, fleet.AvailabilityZone(name), out)
		})
}

func instanceCommand(stdout, stderr io.Writer) *ffcli.Command {
	return inOutCommand("instance", "Take an instance out of service or back in.", stdout, stderr,
		func(ctx context.Context, c *operator.Client, e operator.Expect, id, name string, out bool) (fleet.ConfigVersion, error) {
			return c.SetInstance(ctx, e, id, fleet.InstanceID(name), out)
		})
}

func upstreamCommand(stdout, stderr io.Writer) *ffcli.Command {
	return inOutCommand("upstream", "Take an upstream out of service or back in.", stdout, stderr,
		func(ctx context.Context, c *operator.Client, e operator.Expect, id, name string, out bool) (fleet.ConfigVersion, error) {
			return c.SetUpstream(ctx, e, id, fleet.UpstreamID(name), out)
		})
}

func getCommand(stdout, stderr io.Writer) *ffcli.Command {
	return operatorCommand("get", "get [flags] config|status|upstreams", "Show plans and allowances, the fleet's status or the upstreams.", stderr, false,
		func(ctx context.Context, f *operatorFlags, args []string) error {
			if len(args) != 1 {
				return usageError("get needs one of config, status and upstreams")
			}
			return f.get(ctx, args[0], stdout)
		})
}

// get reads a resource, which is config, status or upstreams, and prints it.
func (f *operatorFlags) get(ctx context.Context, resource string, stdout io.Writer) error {
	var value any
	var table func(io.Writer)
	var err error
	switch resource {
	case "config":
		var config lists.Config
		config, _, err = f.client().Config(ctx)
		value = config
	case "status":
		var status *operator.Status
		status, err = f.client().Status(ctx)
		value, table = status, func(w io.Writer) { statusTable(w, status) }
	case "upstreams":
		var upstreams []operator.UpstreamStatus
		upstreams, err = f.client().Upstreams(ctx)
		value, table = upstreams, func(w io.Writer) { upstreamsTable(w, upstreams) }
	default:
		return usageError("get needs one of config, status and upstreams")
	}
	if err != nil {
		return f.withExitCode(err)
	}
	return f.printValue(stdout, value, table)
}

// printValue writes a value in the format given by --output. A value without a table is
// written as YAML instead.
func (f *operatorFlags) printValue(stdout io.Writer, value any, table func(io.Writer)) error {
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
		return usageError("--output must be table, json or yaml")
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
