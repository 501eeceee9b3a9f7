package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/agent"
	"github.com/wigeonflow/wigeonflow/internal/settings"
	"github.com/wigeonflow/wigeonflow/internal/standin"
)

// The benchmark's load: a decode step of an engine brings each of its streams
// one token.
const (
	benchStreams  = 400
	benchTokens   = 220
	benchStepTime = 25 * time.Millisecond
	benchTimeout  = 2 * time.Minute
)

// routersEnv holds the settings of the routers that this test binary runs in
// place of its tests.
const routersEnv = "WIGEONFLOW_BENCH_ROUTERS"

func TestMain(m *testing.M) {
	if encoded := os.Getenv(routersEnv); encoded != "" {
		if err := runRouters(encoded, os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// usage is what a process has used since its start.
type usage struct {
	CPU    time.Duration
	System time.Duration // the part of CPU that system calls took
	Allocs uint64
}

// runRouters runs routers until in ends, and answers each line with what the
// process has used.
func runRouters(encoded string, in io.Reader, out io.Writer) error {
	var all []settings.Settings
	if err := json.Unmarshal([]byte(encoded), &all); err != nil {
		return err
	}
	ctx := context.Background()
	var agents []*agent.Agent
	for _, s := range all {
		a, err := agent.Start(ctx, s, os.Stderr)
		if err != nil {
			return err
		}
		agents = append(agents, a)
	}
	for lines := bufio.NewScanner(in); lines.Scan(); {
		if err := json.NewEncoder(out).Encode(usageNow()); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	var errs []error
	for _, a := range agents {
		errs = append(errs, a.Stop(ctx))
	}
	return errors.Join(errs...)
}

func usageNow() usage {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r) // cannot fail for SELF
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	system := time.Duration(r.Stime.Nano())
	return usage{CPU: time.Duration(r.Utime.Nano()) + system, System: system, Allocs: m.Mallocs}
}

// routers is the process that holds the routers under measurement.
type routers struct {
	cmd *exec.Cmd
	in  io.WriteCloser
	out *json.Decoder
}

func startRouters(b *testing.B, all []settings.Settings) *routers {
	encoded, err := json.Marshal(all)
	check(b, err)
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), routersEnv+"="+string(encoded))
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	check(b, err)
	out, err := cmd.StdoutPipe()
	check(b, err)
	check(b, cmd.Start())
	return &routers{cmd: cmd, in: in, out: json.NewDecoder(out)}
}

func (r *routers) usage(b *testing.B) (u usage) {
	_, err := io.WriteString(r.in, "\n")
	check(b, err)
	check(b, r.out.Decode(&u))
	return u
}

func (r *routers) stop(b *testing.B) {
	check(b, r.in.Close())
	check(b, r.cmd.Wait())
}

func check(b *testing.B, err error) {
	if err != nil {
		b.Helper()
		b.Fatal(err)
	}
}

// BenchmarkStreamedTokens measures the cost by how long tokens may be held back.
func BenchmarkStreamedTokens(b *testing.B) {
	for _, interval := range []time.Duration{0, 50 * time.Millisecond, 100 * time.Millisecond} {
		b.Run("gather="+interval.String(), func(b *testing.B) { benchmarkStreamedTokens(b, interval) })
	}
}

// benchmarkStreamedTokens measures what a streamed token costs the routers over
// both hops. The routers have a process of their own, so that neither engines nor
// callers are counted; an operation is one token.
func benchmarkStreamedTokens(b *testing.B, interval time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), benchTimeout)
	defer cancel()
	f, err := Start(ctx, Options{
		Dir: b.TempDir(), Services: 1, Concurrency: benchStreams, remoteRouters: true,
		Engine: standin.EngineConfig{StepTime: benchStepTime, StepTimePerRequest: time.Nanosecond, MaxRunning: benchStreams},
	})
	check(b, err)
	defer func() { check(b, f.Stop(ctx)) }()
	planned := f.settings[f.opts.Control:]
	for i := range planned {
		planned[i].Limits.GatherInterval = interval
	}
	r := startRouters(b, planned)
	defer r.stop(b)
	check(b, f.Ready(ctx))
	load := &streamLoad{fleet: f, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchStreams}}}
	check(b, load.run(ctx, benchStreams*benchTokens)) // connections and windows are open from here on
	load.first = nil
	before := r.usage(b)
	b.ResetTimer()
	err = load.run(ctx, b.N)
	b.StopTimer()
	check(b, err)
	after := r.usage(b)
	tokens := float64(load.tokens)
	b.ReportMetric(float64(after.CPU-before.CPU)/tokens, "router-ns/token")
	b.ReportMetric(float64(after.System-before.System)/tokens, "system-ns/token")
	b.ReportMetric(float64(after.Allocs-before.Allocs)/tokens, "router-allocs/token")
	b.ReportMetric(tokens/b.Elapsed().Seconds(), "tokens/s")
	b.ReportMetric(float64(load.reads)/tokens, "reads/token")
	slices.Sort(load.first)
	b.ReportMetric(load.firstMillis(0.5), "first-p50-ms")
	b.ReportMetric(load.firstMillis(0.99), "first-p99-ms")
}

// streamLoad asks many chats at once and reads their answers.
type streamLoad struct {
	fleet  *Fleet
	client *http.Client
	tokens int
	reads  int

	mu    sync.Mutex
	first []time.Duration // times to the first bytes of the answers
}

// run streams at least n tokens.
func (l *streamLoad) run(ctx context.Context, n int) error {
	l.tokens, l.reads = 0, 0
	var left atomic.Int64
	left.Store(int64((n + benchTokens - 1) / benchTokens))
	results := make(chan error, benchStreams)
	for i := range benchStreams {
		go func() {
			var err error
			for err == nil && left.Add(-1) >= 0 {
				err = l.ask(ctx, i)
			}
			results <- err
		}()
	}
	var errs []error
	for range benchStreams {
		errs = append(errs, <-results)
	}
	return errors.Join(errs...)
}

// ask reads one streamed answer to its end and counts its events.
func (l *streamLoad) ask(ctx context.Context, i int) error {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"hem"}]}`, Model, benchTokens)
	url := l.fleet.RouterURLs[i%len(l.fleet.RouterURLs)] + "/v1/chat/completions"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+WorkspaceKey)
	asked := time.Now()
	resp, err := l.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		answer, _ := io.ReadAll(resp.Body)
		return fmt.Errorf("status %d: %s", resp.StatusCode, answer)
	}
	first := time.Since(asked)
	events, reads, err := countEvents(resp.Body)
	if err != nil {
		return err
	}
	if events != benchTokens+1 { // the explicit end is one
		return fmt.Errorf("answer has %d events, want %d", events, benchTokens+1)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.first = append(l.first, first)
	l.tokens += benchTokens
	l.reads += reads
	return nil
}

// countEvents counts the blank lines that end events, and the reads that it took.
func countEvents(body io.Reader) (events, reads int, err error) {
	buf := make([]byte, 16<<10)
	last := byte(0)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			reads++
			if last == '\n' && buf[0] == '\n' {
				events++
			}
			events += bytes.Count(buf[:n], []byte("\n\n"))
			last = buf[n-1]
		}
		if errors.Is(err, io.EOF) {
			return events, reads, nil
		}
		if err != nil {
			return events, reads, err
		}
	}
}

func (l *streamLoad) firstMillis(quantile float64) float64 {
	at := int(quantile * float64(len(l.first)-1))
	return float64(l.first[at]) / float64(time.Millisecond)
}
