package standin

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestCommandServesUntilItIsStopped(t *testing.T) {
	for _, name := range []string{"engine", "service", "platform"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, stop := context.WithCancel(t.Context())
			out, in := io.Pipe()
			ended := make(chan error, 1)
			go func() {
				ended <- Commands(in, io.Discard).ParseAndRun(ctx, []string{name, "--listen", "127.0.0.1:0"})
			}()
			line, err := bufio.NewReader(out).ReadString('\n')
			is.NoErr(err)
			_, addr, ok := strings.Cut(strings.TrimSpace(line), " listening on ")
			is.True(ok)
			resp, err := http.Get("http://" + addr + "/healthz")
			is.NoErr(err)
			is.NoErr(resp.Body.Close())
			is.Equal(resp.StatusCode, http.StatusOK)
			stop()
			is.NoErr(<-ended)
		})
	}
}

func TestCommandRejectsInvalidArguments(t *testing.T) {
	cases := []struct {
		name string
		args []string
	}{
		{"unknown flag", []string{"engine", "--colour", "red"}},
		{"time without a unit", []string{"engine", "--step-time", "8"}},
		{"argument without a flag", []string{"service", "127.0.0.1:1"}},
		{"missing file", []string{"platform", "--file", "none.yaml"}},
		{"address that is not one", []string{"service", "--listen", "nowhere"}},
		{"no stand-in named", nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			is.True(Commands(io.Discard, io.Discard).ParseAndRun(t.Context(), tc.args) != nil)
		})
	}
}

func TestColdEngineRejectsAndCountsOverloads(t *testing.T) {
	is := is.New(t)
	e, url := startEngine(t, EngineConfig{StepTime: time.Millisecond, ColdConcurrency: 1})
	injectFault(t, url, Fault{Kind: FaultCold, Millis: 3_600_000})
	long := ChatRequest{Model: "m", Messages: prompt(1), MaxTokens: 60000, Stream: true}
	for range coldRejectFactor {
		is.Equal(post(t, url+"/v1/chat/completions", nil, long).StatusCode, http.StatusOK)
	}
	rejected := post(t, url+"/v1/chat/completions", nil, long)
	is.Equal(rejected.StatusCode, http.StatusServiceUnavailable)
	is.Equal(rejected.Header.Get("Retry-After"), "1")
	stats := e.Stats()
	is.True(stats.Cold)
	is.Equal(stats.ColdOverloads, coldRejectFactor) // all but the first, the rejected one included
	is.Equal(stats.PeakInFlight, coldRejectFactor)
	is.Equal(stats.BootID, rejected.Header.Get(HeaderBootID)) // turning cold does not change the boot ID
}
