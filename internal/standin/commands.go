package standin

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// stopTimeout bounds the time that a stand-in has to finish requests after SIGTERM.
const stopTimeout = 30 * time.Second

// Commands returns the command "standin" with its subcommands engine, service
// and platform. Each serves until SIGTERM or SIGINT, then finishes the requests
// in flight for up to stopTimeout; a second signal ends it at once.
func Commands(stdout, stderr io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:       "standin",
		ShortUsage: "wigeonflow standin engine|service|platform --listen HOST:PORT [flags]",
		ShortHelp:  "Run a small stand-in for an upstream or the platform, for trials and tests.",
		Subcommands: []*ffcli.Command{
			engineCommand(stdout, stderr), serviceCommand(stdout, stderr), platformCommand(stdout, stderr),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}

// subcommand returns the command "standin NAME", where NAME is that of fs. It takes
// flags only.
func subcommand(fs *flag.FlagSet, help string, exec func(context.Context) error) *ffcli.Command {
	return &ffcli.Command{
		Name:       fs.Name(),
		ShortUsage: "wigeonflow standin " + fs.Name() + " --listen HOST:PORT [flags]",
		ShortHelp:  help,
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix("WIGEONFLOW_STANDIN")},
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return fmt.Errorf("unexpected argument %q", args[0])
			}
			return exec(ctx)
		},
	}
}

// newFlagSet returns a flag set with the flag --listen, and the value of that flag.
func newFlagSet(name string, stderr io.Writer) (*flag.FlagSet, *string) {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(stderr)
	return fs, fs.String("listen", "127.0.0.1:0", "address to listen on, HOST:PORT")
}

func engineCommand(stdout, stderr io.Writer) *ffcli.Command {
	fs, listen := newFlagSet("engine", stderr)
	c := EngineConfig{}.withDefaults()
	models := fs.String("models", "", "comma-separated models loaded at the start; empty serves every model")
	fs.StringVar(&c.Role, "role", c.Role, "role at the start")
	fs.StringVar(&c.BootID, "boot-id", "", "boot ID; empty generates one")
	fs.DurationVar(&c.StepTime, "step-time", c.StepTime, "time of a decode step")
	fs.DurationVar(&c.StepTimePerRequest, "step-time-per-request", c.StepTimePerRequest, "added to a step for each running request")
	fs.DurationVar(&c.PrefillTime, "prefill-time", c.PrefillTime, "cost of a prompt token that is not cached")
	fs.IntVar(&c.PrefillChunk, "prefill-chunk", c.PrefillChunk, "prompt tokens that one step covers")
	fs.IntVar(&c.MaxRunning, "max-running", c.MaxRunning, "requests in one batch")
	fs.IntVar(&c.MaxWaiting, "max-waiting", c.MaxWaiting, "requests that wait for a batch")
	fs.IntVar(&c.KVCapacity, "kv-capacity", c.KVCapacity, "memory for running requests, in tokens")
	fs.IntVar(&c.CacheTokens, "cache-tokens", c.CacheTokens, "memory for cached prefixes, in tokens")
	fs.IntVar(&c.DefaultTokens, "default-tokens", c.DefaultTokens, "length of an answer without max_tokens")
	fs.DurationVar(&c.ColdTime, "cold-time", c.ColdTime, "time that the engine is cold after its start and after each load order")
	fs.IntVar(&c.ColdConcurrency, "cold-concurrency", c.ColdConcurrency, "requests that a cold engine serves at full speed")
	fs.IntVar(&c.ColdSlowdown, "cold-slowdown", c.ColdSlowdown, "factor on the step time of an overloaded cold engine")
	fs.DurationVar(&c.LoadLag, "load-lag", c.LoadLag, "maximum age of a load report")
	fs.DurationVar(&c.EventDelay, "event-delay", c.EventDelay, "delay of a cache event")
	fs.IntVar(&c.EventGapEvery, "event-gap-every", c.EventGapEvery, "drop every n-th cache event; 0 drops none")
	fs.DurationVar(&c.ResumeTime, "resume-time", c.ResumeTime, "time that a generation without a reader stays resumable")
	fs.BoolVar(&c.IgnoreFence, "ignore-fence", c.IgnoreFence, "accept orders with an old fencing number")
	fs.DurationVar(&c.OrderTime, "order-time", c.OrderTime, "time that an order takes")
	return subcommand(fs, "Run a model engine.", func(ctx context.Context) error {
		if *models != "" {
			c.Models = strings.Split(*models, ",")
		}
		e := NewEngine(c)
		defer e.Close()
		return serve(ctx, stdout, "engine", *listen, e)
	})
}

func serviceCommand(stdout, stderr io.Writer) *ffcli.Command {
	fs, listen := newFlagSet("service", stderr)
	c := ServiceConfig{}.withDefaults()
	fs.StringVar(&c.BootID, "boot-id", "", "boot ID; empty generates one")
	fs.DurationVar(&c.WorkTime, "work-time", c.WorkTime, "time that a booking or lookup takes")
	fs.IntVar(&c.MaxInFlight, "max-in-flight", c.MaxInFlight, "maximum requests in flight; more are answered 503")
	return subcommand(fs, "Run a plain service.", func(ctx context.Context) error {
		return serve(ctx, stdout, "service", *listen, NewService(c))
	})
}

func platformCommand(stdout, stderr io.Writer) *ffcli.Command {
	fs, listen := newFlagSet("platform", stderr)
	c := PlatformConfig{}.withDefaults()
	file := fs.String("file", "", "YAML file with the instances listed at the start")
	fs.DurationVar(&c.Lag, "lag", c.Lag, "delay before readers see a change")
	fs.BoolVar(&c.Probe, "probe", c.Probe, "list only instances that answer /healthz")
	fs.DurationVar(&c.ProbeInterval, "probe-interval", c.ProbeInterval, "time between two probes")
	return subcommand(fs, "Serve the platform's list of instances.", func(ctx context.Context) error {
		if *file != "" {
			list, err := ReadInstances(*file)
			if err != nil {
				return err
			}
			c.Instances = list
		}
		p := NewPlatform(c)
		defer p.Close()
		return serve(ctx, stdout, "platform", *listen, p)
	})
}

// serve listens at address and serves handler until ctx ends or SIGTERM or SIGINT
// arrives. It then waits up to stopTimeout for requests in flight.
func serve(ctx context.Context, stdout io.Writer, name, address string, handler http.Handler) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return fleet.At(err, "standin.listen", address)
	}
	fmt.Fprintf(stdout, "standin %s listening on %s\n", name, ln.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(ln) }()
	select {
	case err := <-failed:
		return fleet.At(err, "standin.serve", address)
	case <-ctx.Done():
	}
	stop()
	bounded, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	err = server.Shutdown(bounded)
	if errors.Is(err, context.DeadlineExceeded) {
		return server.Close()
	}
	return err
}
