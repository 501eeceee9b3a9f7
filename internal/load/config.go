package load

import (
	"errors"
	"fmt"
	"net/url"
	"strings"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// Config configures a run. The zero value of each field means the default that
// its comment names.
type Config struct {
	// Targets are the targets to load and compare. At least one is required.
	Targets []Target
	// Sequence runs one target after the other, each for Duration; otherwise they
	// share the load of one run.
	Sequence bool
	// Balance sends requests only to addresses that answer /readyz, as the
	// platform's load balancer does.
	Balance bool
	// Warmup is how long requests are started before the measured ones. Their
	// answers are checked too. The rate of an open loop grows linearly in this time.
	// Default 0.
	Warmup time.Duration
	// Duration is how long measured requests are started; default 10 s.
	Duration time.Duration
	// Concurrency is the number of requests that the closed loop keeps in flight;
	// default 8.
	Concurrency int
	// Rate selects an open loop with this many requests a second; 0 selects the
	// closed loop.
	Rate float64
	// MaxInFlight bounds the requests in flight of an open loop, which holds arrivals
	// above it back; default 1,024.
	MaxInFlight int
	// MaxRequests ends each phase after this many requests, warm-up and held-back
	// arrivals included; default 0, no bound. A booking and its repeats count as one.
	MaxRequests int64
	// Timeout bounds one request; default 60 s.
	Timeout time.Duration
	// Keys are the callers' keys, one for each workspace; default none, which sends
	// no Authorization header.
	Keys []string
	// Model is the model that chats ask for; default "ties-large".
	Model string
	// Chats is the number of chats that each target keeps open; default 64. Each has
	// at most one request in flight.
	Chats int
	// Turns is the number of answered turns after which a new chat replaces a chat;
	// default 8.
	Turns int
	// PromptWords is the length of a chat's first message; default 200.
	PromptWords int
	// TurnWords is the length of each later message; default 16.
	TurnWords int
	// AnswerTokens is the length of an answer; default 64.
	AnswerTokens int
	// Service is the name of the service for lookups and bookings; default none.
	Service string
	// Lookups is the share of requests that are lookups, from 0 to 1.
	Lookups float64
	// Bookings is the share of requests that are bookings, from 0 to 1.
	Bookings float64
	// Repeats is how often each booking is repeated with the same key; default 1,
	// negative for never.
	Repeats int
	// BookingPath is the path of a booking; default "/pickups".
	BookingPath string
	// Runs are the base URLs of the stand-in services that count the runs of bookings.
	Runs []string
	// Engines are the base URLs of stand-in engines whose load is compared.
	Engines []string
	// Metrics are the base URLs of the routers whose processor time is read;
	// default those of the targets that are not direct.
	Metrics []string
	// Seed sets the random chats, kinds of request and addresses; default 1.
	Seed uint64
}

// Target is a group of addresses that serve the same chats.
type Target struct {
	// Label names the target in the report.
	Label string
	// URLs are the base URLs. A request goes to a random one; for a direct target,
	// all turns of a chat go to the same one.
	URLs []string
	// Direct means that the addresses are engines, which serve chats only.
	Direct bool
}

// errConfig is wrapped by every error of a Config or a target.
var errConfig = errors.New("load: invalid configuration")

// ParseTarget parses LABEL=URL[,URL...]. Without a label, the text itself is the
// label.
func ParseTarget(text string, direct bool) (Target, error) {
	label, urls, ok := strings.Cut(text, "=")
	if !ok {
		label, urls = text, text
	}
	t := Target{Label: label, URLs: splitList(urls), Direct: direct}
	if len(t.URLs) == 0 {
		return t, fmt.Errorf("%w: target %q names no URL, want [LABEL=]URL[,URL...]", errConfig, text)
	}
	for _, u := range t.URLs {
		parsed, err := url.Parse(u)
		if err != nil || parsed.Scheme == "" || parsed.Host == "" {
			return t, fmt.Errorf("%w: target URL %q is malformed or has no scheme or host, want a URL such as http://127.0.0.1:8080", errConfig, u)
		}
	}
	return t, nil
}

// splitList splits a comma-separated list. It trims spaces and one final slash of each part
// and drops empty parts.
func splitList(text string) []string {
	var list []string
	for part := range strings.SplitSeq(text, ",") {
		if part = strings.TrimSuffix(strings.TrimSpace(part), "/"); part != "" {
			list = append(list, part)
		}
	}
	return list
}

func (c Config) withDefaults() Config {
	fleet.SetDefault(&c.Duration, 10*time.Second)
	fleet.SetDefault(&c.Concurrency, 8)
	fleet.SetDefault(&c.MaxInFlight, 1024)
	fleet.SetDefault(&c.Timeout, time.Minute)
	fleet.SetDefault(&c.Model, "ties-large")
	fleet.SetDefault(&c.Chats, 64)
	fleet.SetDefault(&c.Turns, 8)
	fleet.SetDefault(&c.PromptWords, 200)
	fleet.SetDefault(&c.TurnWords, 16)
	fleet.SetDefault(&c.AnswerTokens, 64)
	fleet.SetDefault(&c.Repeats, 1)
	fleet.SetDefault(&c.BookingPath, "/pickups")
	fleet.SetDefault(&c.Seed, 1)
	if len(c.Keys) == 0 {
		c.Keys = []string{""}
	}
	if len(c.Metrics) > 0 {
		return c
	}
	for _, t := range c.Targets {
		if !t.Direct {
			c.Metrics = append(c.Metrics, t.URLs...)
		}
	}
	return c
}

// validate returns an error for the first rule that a Config with defaults violates.
func (c Config) validate() error {
	switch {
	case len(c.Targets) == 0:
		return fmt.Errorf("%w: no target given; name one with --target or --direct", errConfig)
	case c.Lookups < 0 || c.Bookings < 0 || c.Lookups+c.Bookings > 1:
		return fmt.Errorf("%w: lookups %g and bookings %g must be shares of at least 0 with a sum of at most 1", errConfig, c.Lookups, c.Bookings)
	case c.Lookups+c.Bookings > 0 && c.Service == "":
		return fmt.Errorf("%w: lookups %g and bookings %g need the name of a service; set --service", errConfig, c.Lookups, c.Bookings)
	case c.Bookings > 0 && len(c.Runs) == 0:
		return fmt.Errorf("%w: bookings %g need the base URLs of the services that count their runs; set --runs", errConfig, c.Bookings)
	case c.Duration < 0 || c.Warmup < 0 || c.Concurrency < 0 || c.Rate < 0 || c.Chats < c.Concurrency && c.Rate == 0:
		return fmt.Errorf("%w: duration %v, warm-up %v, concurrency %d and rate %g must not be negative, and a closed loop (rate 0) needs at least as many chats (%d) as its concurrency", errConfig, c.Duration, c.Warmup, c.Concurrency, c.Rate, c.Chats)
	}
	return nil
}
