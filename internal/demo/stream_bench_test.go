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

// The benchmark's load. A decode step of an engine produces one token for each of
// its streams.
const (
	benchStreams  = 400
	benchTokens   = 220
	benchStepTime = 25 * time.Millisecond
	benchTimeout  = 2 * time.Minute
)

// routersEnv is the environment variable that makes the test binary run routers instead of
// its tests. Its value is their settings as JSON.
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

// usage is the resource usage of a process since its start.
type usage struct {
	CPU    time.Duration
	System time.Duration // the part of CPU spent in system calls
	Allocs uint64        // heap objects allocated
}

// runRouters runs routers until in ends. For each line of in it writes the usage of
// the process to out.
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
		if err := json.NewEncoder(out).Encode(currentUsage()); err != nil {
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

// currentUsage returns the usage of this process.
func currentUsage() usage {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r) // cannot fail for SELF
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	system := time.Duration(r.Stime.Nano())
	return usage{CPU: time.Duration(r.Utime.Nano()) + system, System: system, Allocs: m.Mallocs}
}

// routers is the child process that runs the measured routers. It answers each line on in
// with its usage on out.
type routers struct {
	cmd *exec.Cmd
	in  io.WriteCloser
	out *json.Decoder
}

// startRouters starts a process that runs routers with these settings.
func startRouters(b *testing.B, all []settings.Settings) *routers {
	encoded, err := json.Marshal(all)
	requireNoError(b, err)
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), routersEnv+"="+string(encoded))
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	requireNoError(b, err)
	out, err := cmd.StdoutPipe()
	requireNoError(b, err)
	requireNoError(b, cmd.Start())
	return &routers{cmd: cmd, in: in, out: json.NewDecoder(out)}
}

// usage requests the current usage of the process.
func (r *routers) usage(b *testing.B) (u usage) {
	_, err := io.WriteString(r.in, "\n")
	requireNoError(b, err)
	requireNoError(b, r.out.Decode(&u))
	return u
}

// stop ends the process by closing its standard input, and waits for it.
func (r *routers) stop(b *testing.B) {
	requireNoError(b, r.in.Close())
	requireNoError(b, r.cmd.Wait())
}

func requireNoError(b *testing.B, err error) {
	if err != nil {
		b.Helper()
		b.Fatal(err)
	}
}

// BenchmarkStreamedTokens measures the cost of a streamed token for different gather
// intervals, the time for which routers may delay tokens to send them together.
func BenchmarkStreamedTokens(b *testing.B) {
	for _, interval := range []time.Duration{0, 50 * time.Millisecond, 100 * time.Millisecond} {
		b.Run("gather="+interval.String(), func(b *testing.B) { benchmarkStreamedTokens(b, interval) })
	}
}

// benchmarkStreamedTokens measures the routers' cost of a streamed token over both
// hops. The routers run in their own process, so that engines and callers are not
// counted. An operation is one token.
func benchmarkStreamedTokens(b *testing.B, interval time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), benchTimeout)
	defer cancel()
	f, err := Start(ctx, Options{
		Dir: b.TempDir(), Services: 1, Concurrency: benchStreams, remoteRouters: true,
		Engine: standin.EngineConfig{StepTime: benchStepTime, StepTimePerRequest: time.Nanosecond, MaxRunning: benchStreams},
	})
	requireNoError(b, err)
	defer func() { requireNoError(b, f.Stop(ctx)) }()
	routerSettings := f.settings[f.opts.Control:]
	for i := range routerSettings {
		routerSettings[i].Limits.GatherInterval = interval
	}
	r := startRouters(b, routerSettings)
	defer r.stop(b)
	requireNoError(b, f.Ready(ctx))
	load := &streamLoad{fleet: f, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchStreams}}}
	requireNoError(b, load.streamAnswers(ctx, benchStreams*benchTokens)) // opens connections and their flow control windows
	load.firstByte = nil
	before := r.usage(b)
	b.ResetTimer()
	err = load.streamAnswers(ctx, b.N)
	b.StopTimer()
	requireNoError(b, err)
	after := r.usage(b)
	tokens := float64(load.tokens)
	b.ReportMetric(float64(after.CPU-before.CPU)/tokens, "router-ns/token")
	b.ReportMetric(float64(after.System-before.System)/tokens, "system-ns/token")
	b.ReportMetric(float64(after.Allocs-before.Allocs)/tokens, "router-allocs/token")
	b.ReportMetric(tokens/b.Elapsed().Seconds(), "tokens/s")
	b.ReportMetric(float64(load.reads)/tokens, "reads/token")
	slices.Sort(load.firstByte)
	b.ReportMetric(load.firstByteMillis(0.5), "first-p50-ms")
	b.ReportMetric(load.firstByteMillis(0.99), "first-p99-ms")
}

// streamLoad sends many chats concurrently and reads their streams.
type streamLoad struct {
	fleet  *Fleet
	client *http.Client
	tokens int
	reads  int // reads of response bodies

	mu        sync.Mutex
	firstByte []time.Duration // of each answer: the time until its response header arrived
}

// streamAnswers reads as many streams as give at least n tokens, benchStreams of them at a
// time.
func (l *streamLoad) streamAnswers(ctx context.Context, n int) error {
	l.tokens, l.reads = 0, 0
	var left atomic.Int64
	left.Store(int64((n + benchTokens - 1) / benchTokens))
	results := make(chan error, benchStreams)
	for i := range benchStreams {
		go func() {
			var err error
			for err == nil && left.Add(-1) >= 0 {
				err = l.streamChat(ctx, i)
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

// streamChat sends one chat, reads its stream to the end and counts the events.
func (l *streamLoad) streamChat(ctx context.Context, i int) error {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"hem"}]}`, Model, benchTokens)
	url := l.fleet.RouterURLs[i%len(l.fleet.RouterURLs)] + "/v1/chat/completions"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+WorkspaceKey)
	sent := time.Now()
	resp, err := l.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		answer, _ := io.ReadAll(resp.Body)
		return fmt.Errorf("router answered with status %d: %s", resp.StatusCode, answer)
	}
	firstByte := time.Since(sent)
	events, reads, err := countEvents(resp.Body)
	if err != nil {
		return err
	}
	if events != benchTokens+1 { // one for each token and the end event
		return fmt.Errorf("stream has %d events, want %d", events, benchTokens+1)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.firstByte = append(l.firstByte, firstByte)
	l.tokens += benchTokens
	l.reads += reads
	return nil
}

// countEvents reads a stream to its end. It returns the number of events, each of which
// ends with a blank line, and of the reads it took.
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

// firstByteMillis returns a quantile of the sorted firstByte, in milliseconds.
func (l *streamLoad) firstByteMillis(quantile float64) float64 {
	i := int(quantile * float64(len(l.firstByte)-1))
	return float64(l.firstByte[i]) / float64(time.Millisecond)
}
