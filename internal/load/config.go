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
	// Targets are compared with each other. At least one is required.
	Targets []Target
	// Sequence runs one target after the other, each for Duration; otherwise they
	// share the load of one run.
	Sequence bool
	// Balance asks only the addresses that answer /readyz, as the platform's
	// balancer does.
	Balance bool
	// Warmup is how long requests are started before those that are measured;
	// their answers are checked alike. Default 0.
	Warmup time.Duration
	// Duration is how long requests are started; default 10 s.
	Duration time.Duration
	// Concurrency is the closed loop's requests in flight; default 8.
	Concurrency int
	// Rate, above 0, makes it an open loop of this many requests a second.
	Rate float64
	// MaxInFlight bounds an open loop; default 1,024.
	MaxInFlight int
	// MaxRequests ends the run early; default 0, no bound.
	MaxRequests int64
	// Timeout bounds one request; default 60 s.
	Timeout time.Duration
	// Keys are the callers' keys, one workspace each; default none, no header.
	Keys []string
	// Model is the model that chats ask for; default "ties-large".
	Model string
	// Chats is how many chats return; default 64.
	Chats int
	// Turns is how often a chat returns before another one takes its place;
	// default 8.
	Turns int
	// PromptWords is the length of a chat's first message; default 200.
	PromptWords int
	// TurnWords is the length of each later message; default 16.
	TurnWords int
	// AnswerTokens is the length of an answer; default 64.
	AnswerTokens int
	// Service is the name of the service to look up and book at; default none.
	Service string
	// Lookups is the share of requests that look up, from 0 to 1.
	Lookups float64
	// Bookings is the share of requests that book, from 0 to 1.
	Bookings float64
	// Repeats is how often each booking's key is sent again; default 1, negative
	// for never.
	Repeats int
	// BookingPath is the path of a booking; default "/pickups".
	BookingPath string
	// Runs are the base URLs of the services that counted the bookings.
	Runs []string
	// Engines are the base URLs of stand-in engines whose load is compared.
	Engines []string
	// Metrics are the base URLs of the routers whose processor time is read;
	// default those of the targets that are not direct.
	Metrics []string
	// Seed sets the order of chats and kinds; default 1.
	Seed uint64
}

// Target is a group of addresses that serve the same chats.
type Target struct {
	// Label names the target in the report.
	Label string
	// URLs are the base URLs; a caller's request goes to any of them, a direct one
	// to the chat's own.
	URLs []string
	// Direct means that the addresses are engines, which serve chats only.
	Direct bool
}

var errUsage = errors.New("load: wrong configuration")

// ParseTarget reads LABEL=URL[,URL...]; without a label the first URL is it.
func ParseTarget(text string, direct bool) (Target, error) {
	label, urls, ok := strings.Cut(text, "=")
	if !ok {
		label, urls = text, text
	}
	t := Target{Label: label, URLs: splitList(urls), Direct: direct}
	if len(t.URLs) == 0 {
		return t, fmt.Errorf("%w: target %q names no URL", errUsage, text)
	}
	for _, u := range t.URLs {
		parsed, err := url.Parse(u)
		if err != nil || parsed.Scheme == "" || parsed.Host == "" {
			return t, fmt.Errorf("%w: %q is not a URL such as http://127.0.0.1:8080", errUsage, u)
		}
	}
	return t, nil
}

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

func (c Config) check() error {
	switch {
	case len(c.Targets) == 0:
		return fmt.Errorf("%w: no target", errUsage)
	case c.Lookups < 0 || c.Bookings < 0 || c.Lookups+c.Bookings > 1:
		return fmt.Errorf("%w: lookups and bookings are shares of 1", errUsage)
	case c.Lookups+c.Bookings > 0 && c.Service == "":
		return fmt.Errorf("%w: lookups and bookings need a service", errUsage)
	case c.Bookings > 0 && len(c.Runs) == 0:
		return fmt.Errorf("%w: bookings need the services that count their runs", errUsage)
	case c.Duration < 0 || c.Warmup < 0 || c.Concurrency < 0 || c.Rate < 0 || c.Chats < c.Concurrency && c.Rate == 0:
		return fmt.Errorf("%w: chats must be at least the concurrency, and nothing negative", errUsage)
	}
	return nil
}
