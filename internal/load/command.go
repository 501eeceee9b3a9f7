package load

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// Command returns the command "load". It fails on any violation of a guarantee, and
// if no measured request got a complete answer.
func Command(stdout, stderr io.Writer) *ffcli.Command {
	fs := flag.NewFlagSet("load", flag.ContinueOnError)
	fs.SetOutput(stderr)
	cfg := Config{}.withDefaults()
	cfg.Keys = nil
	targetFlags(fs, &cfg)
	loadFlags(fs, &cfg)
	requestFlags(fs, &cfg)
	output := fs.String("json", "", "file to write the report to as JSON; - for standard output")
	return &ffcli.Command{
		Name:       "load",
		ShortUsage: "wigeonflow load --target [LABEL=]URL[,URL...] [--direct [LABEL=]URL[,URL...]] [flags]",
		ShortHelp:  "Send requests to a fleet as callers do, and check and measure every answer.",
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix("WIGEONFLOW_LOAD")},
		Exec: func(ctx context.Context, _ []string) error {
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			report, err := Run(ctx, cfg)
			if err != nil {
				return err
			}
			return conclude(report, *output, stdout)
		},
	}
}

// targetFlags adds the flags that name the targets and the processes to measure.
func targetFlags(fs *flag.FlagSet, cfg *Config) {
	add := func(direct bool) func(string) error {
		return func(text string) error {
			t, err := ParseTarget(text, direct)
			cfg.Targets = append(cfg.Targets, t)
			return err
		}
	}
	list := func(into *[]string) func(string) error {
		return func(text string) error { *into = splitList(text); return nil }
	}
	fs.Func("target", "routers, [LABEL=]URL[,URL...]; may be given again", add(false))
	fs.Func("direct", "engines without a router, [LABEL=]URL[,URL...]; may be given again", add(true))
	fs.Func("keys", "comma-separated keys of the callers' workspaces", list(&cfg.Keys))
	fs.Func("runs", "comma-separated base URLs of the stand-in services that count the runs of bookings", list(&cfg.Runs))
	fs.Func("engines", "comma-separated base URLs of the stand-in engines whose load is compared", list(&cfg.Engines))
	fs.Func("metrics", "comma-separated base URLs of the routers whose processor time is read (default: those of --target)", list(&cfg.Metrics))
}

// loadFlags adds the flags that set the amount of load.
func loadFlags(fs *flag.FlagSet, cfg *Config) {
	fs.BoolVar(&cfg.Sequence, "sequence", cfg.Sequence, "load one target after the other, each for the whole duration")
	fs.BoolVar(&cfg.Balance, "balance", cfg.Balance, "send requests only to routers that answer /readyz")
	fs.DurationVar(&cfg.Warmup, "warmup", cfg.Warmup, "time at the start in which requests are checked but not measured")
	fs.DurationVar(&cfg.Duration, "duration", cfg.Duration, "time in which requests are started and measured")
	fs.IntVar(&cfg.Concurrency, "concurrency", cfg.Concurrency, "requests that a closed loop keeps in flight")
	fs.Float64Var(&cfg.Rate, "rate", cfg.Rate, "requests a second of an open loop; 0 for a closed loop")
	fs.IntVar(&cfg.MaxInFlight, "max-in-flight", cfg.MaxInFlight, "maximum requests in flight of an open loop; arrivals above it are held back")
	fs.Int64Var(&cfg.MaxRequests, "requests", cfg.MaxRequests, "requests and held-back arrivals after which the run, or with --sequence each target, ends; 0 for no bound")
	fs.DurationVar(&cfg.Timeout, "timeout", cfg.Timeout, "maximum time of one request")
	fs.Uint64Var(&cfg.Seed, "seed", cfg.Seed, "seed of the random chats, kinds of request and addresses")
}

// requestFlags adds the flags that describe the requests.
func requestFlags(fs *flag.FlagSet, cfg *Config) {
	fs.StringVar(&cfg.Model, "model", cfg.Model, "model that chats ask for")
	fs.IntVar(&cfg.Chats, "chats", cfg.Chats, "concurrent chats of each target")
	fs.IntVar(&cfg.Turns, "turns", cfg.Turns, "turns of a chat")
	fs.IntVar(&cfg.PromptWords, "prompt-words", cfg.PromptWords, "length of a chat's first message")
	fs.IntVar(&cfg.TurnWords, "turn-words", cfg.TurnWords, "length of each later message")
	fs.IntVar(&cfg.AnswerTokens, "answer-tokens", cfg.AnswerTokens, "length of an answer")
	fs.StringVar(&cfg.Service, "service", cfg.Service, "service for lookups and bookings")
	fs.Float64Var(&cfg.Lookups, "lookups", cfg.Lookups, "share of requests that are lookups, 0 to 1")
	fs.Float64Var(&cfg.Bookings, "bookings", cfg.Bookings, "share of requests that are bookings, 0 to 1")
	fs.IntVar(&cfg.Repeats, "repeats", cfg.Repeats, "times that each booking's key is sent again")
	fs.StringVar(&cfg.BookingPath, "booking-path", cfg.BookingPath, "path of a booking")
}

// conclude prints the report as a table and, if output is set, writes it as JSON. It
// fails if the report shows a violation, or no complete answer.
func conclude(report Report, output string, stdout io.Writer) error {
	if err := report.WriteTable(stdout); err != nil {
		return err
	}
	if err := writeJSON(report, output, stdout); err != nil {
		return err
	}
	if n := report.Violations(); n > 0 {
		return fmt.Errorf("%d guarantee violations: answers or keys counted as lost, crossed, doubled or false-refusal", n)
	}
	if report.Complete() == 0 {
		return fmt.Errorf("no measured request got a complete answer")
	}
	return nil
}

// writeJSON writes the report to the file output, or to stdout if output is "-". It does
// nothing if output is empty.
func writeJSON(report Report, output string, stdout io.Writer) error {
	switch output {
	case "":
		return nil
	case "-":
		return report.WriteJSON(stdout)
	}
	f, err := os.Create(output)
	if err != nil {
		return fleet.At(err, "load.report", output)
	}
	if err := report.WriteJSON(f); err != nil {
		return err
	}
	return f.Close()
}
