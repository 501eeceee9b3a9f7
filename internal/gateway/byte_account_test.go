package gateway

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"runtime"
	runtimemetrics "runtime/metrics"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/wigeonflow/wigeonflow/internal/balance"
	"github.com/wigeonflow/wigeonflow/internal/routes"
	"github.com/wigeonflow/wigeonflow/internal/telemetry"
)

// testMemory makes a budget of 16 MiB.
const testMemory = 64 << 20

// newLargeGateway is like newTestGateway with a budget of testMemory, no limit of retries and no
// latency target that is exceeded.
func newLargeGateway(t *testing.T, route routes.Route, scripts ...func(*conn)) *testGateway {
	t.Helper()
	route.Target, route.Timeout = time.Minute, time.Minute
	r := newTestGateway(t, route, scripts...)
	r.setRetries(balance.RetryLimits{Ratio: 10, Window: 10 * time.Second, Slack: 10000})
	r.memory = testMemory
	r.startServer()
	return r
}

// liveHeap returns the bytes of the heap that are in use.
func liveHeap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// settledHeap returns the live heap once it no longer changes: all that was sent has been read.
func settledHeap() int64 {
	for last := liveHeap(); ; {
		time.Sleep(300 * time.Millisecond)
		now := liveHeap()
		if change := now - last; -32<<10 < change && change < 32<<10 {
			return now
		}
		last = now
	}
}

// Answers that were kept after they were read, incomplete events and what replacements had read
// counted in no sum: 64 requests held 64 times what one upstream had sent.
func TestHeldBytesExceedTheirBudget(t *testing.T) {
	const requests, size = 64, 1<<20 - 4096
	text := []byte(strings.Repeat("x", size)) // the only copy that upstreams hold
	fail := func(c *conn) {
		c.write("HTTP/1.1 500 X\r\nId: ", c.id, "\r\nConnection: close\r\nContent-Length: ", strconv.Itoa(size), "\r\n\r\n")
		_, _ = c.Write(text)
	}
	cases := []struct {
		name   string
		route  routes.Route
		first  func(*conn)
		second bool // a second upstream is asked, whichever it is, and holds the request
	}{
		{"failed answers", routes.Route{Kind: routes.KindIdempotent, MaxAttempts: 2}, fail, true},
		{"failed answers of streams", routes.Route{Kind: routes.KindStream, MaxAttempts: 2, Resumable: true}, fail, true},
		{"incomplete events", routes.Route{Kind: routes.KindStream, MaxAttempts: 1, Resumable: true}, func(c *conn) {
			c.beginUnframedStream()
			c.write("data: ")
			_, _ = c.Write(text)
		}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			released := make(chan struct{})
			var settled [requests]atomic.Bool // requests that hold what they were sent, or have ended
			settle := func(id string) {
				if i, err := strconv.Atoi(id); err == nil {
					settled[i].Store(true)
				}
			}
			hold := func(c *conn) { settle(c.id); <-released }
			var asked sync.Map // requests that have arrived at an upstream
			script := func(c *conn) {
				_, again := asked.LoadOrStore(c.id, true)
				if !again {
					tc.first(c)
				}
				if again || !tc.second {
					hold(c)
				}
			}
			r := newLargeGateway(t, tc.route, script, script)
			before := liveHeap()
			var all sync.WaitGroup
			for i := range requests {
				all.Go(func() { _, _, _ = r.send("Id", fmt.Sprint(i)); settle(fmt.Sprint(i)) })
			}
			await(func() bool {
				for i := range settled {
					if !settled[i].Load() {
						return false
					}
				}
				return true
			})
			grown := settledHeap() - before
			close(released)
			all.Wait()
			t.Logf("%d requests hold %d KiB", requests, grown>>10)
			is.True(grown < testMemory/budgetDivisor+requests*(64<<10)) // the budget, and connections with their buffers at both sides
		})
	}
}

// endless are scripts that send bytes without end, by the start of the request's ID.
var endless = map[string]struct {
	path string
	head string
	text string
}{
	"head":     {"/x", "HTTP/1.1 200 OK\r\n", "X: x\r\n"},
	"interim":  {"/x", "", "HTTP/1.1 102 X\r\n\r\n"},
	"body":     {"/x", "HTTP/1.1 200 OK\r\nId: $\r\n\r\n", "x"},
	"length":   {"/x", "HTTP/1.1 200 OK\r\nId: $\r\nContent-Length: 9999999999\r\n\r\n", "x"},
	"chunks":   {"/x", "HTTP/1.1 200 OK\r\nId: $\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nsilk\r\n"},
	"failure":  {"/x", "HTTP/1.1 500 X\r\nId: $\r\n\r\n", "x"},
	"other":    {"/x", "HTTP/1.1 200 OK\r\nId: z\r\nContent-Length: 9999999999\r\n\r\n", "x"},
	"event":    {"/s/x", "HTTP/1.1 200 OK\r\nId: $\r\nContent-Type: text/event-stream\r\n\r\n", "data: x\n"},
	"stale":    {"/s/x", "HTTP/1.1 200 OK\r\nId: $\r\nContent-Type: text/event-stream\r\n\r\n", encodeEvent(2)},
	"comments": {"/s/x", "HTTP/1.1 200 OK\r\nId: $\r\nContent-Type: text/event-stream\r\n\r\n", ": x\n\n"},
}

// Upstreams that sent bytes without end, in any place of an answer, made a router hold more than its
// budget, or took sound answers with them.
func TestEndlessAnswersTakeOthersWithThem(t *testing.T) {
	const each, sounds, rounds = 3, 24, 6
	var written atomic.Int64
	page := strings.Repeat("page ", 8<<10)
	r := newLargeGateway(t, routes.Route{Kind: routes.KindIdempotent, MaxAttempts: 1}, func(c *conn) {
		kind, _, _ := strings.Cut(c.id, "-")
		switch script, ok := endless[kind]; {
		case ok:
			c.write(strings.ReplaceAll(script.head, "$", c.id))
			writeEndless(c, script.text, &written)
		case c.request.URL.Path == "/x":
			c.writeAnswer(http.StatusOK, page)
		default:
			resumeTo(20)(c)
		}
	})
	stream := r.table.Routes[0]
	stream.Name, stream.Prefix, stream.Kind, stream.Resumable = "stream", "/s/", routes.KindStream, true
	r.table.Routes = append(r.table.Routes, stream)
	r.startServer()
	r.server.overload.read = func() *runtimemetrics.Float64Histogram { return nil } // upstreams and callers share the processors
	var sound, others sync.WaitGroup
	var ended atomic.Bool
	for kind, script := range endless {
		for i := range each {
			others.Go(func() {
				for n := 0; n == 0 || !ended.Load(); n++ {
					resp, body, err := r.sendWith(t.Context(), "POST", script.path, "order", "Id", fmt.Sprintf("%s-%d-%d", kind, i, n), "After", "5")
					if err == nil && resp.StatusCode < http.StatusInternalServerError {
						t.Errorf("%s: the caller got %d with %d bytes as a complete answer", kind, resp.StatusCode, len(body))
					}
				}
			})
		}
	}
	for i := range sounds {
		sound.Go(func() {
			for n := range rounds {
				path, want := "/x", page
				if i%2 == 1 {
					path, want = "/s/x", encodeEvents(1, 20)
				}
				send := func() (*http.Response, string, error) {
					return r.sendWith(t.Context(), "POST", path, "order", "Id", fmt.Sprintf("sound-%d-%d", i, n))
				}
				resp, body, err := send()
				for err == nil && resp.StatusCode == http.StatusServiceUnavailable && strings.Contains(body, ": connect: ") {
					resp, body, err = send() // not run: no connection within the exchange's limit
				}
				if err != nil || resp.StatusCode != http.StatusOK || body != want {
					t.Errorf("sound request %d of %d: %v, %d bytes: %.120q", n, i, err, len(body), body)
				}
			}
		})
	}
	sound.Wait()
	ended.Store(true)
	others.Wait()
	is := is.New(t)
	total, peak := r.server.held.held()
	t.Logf("%d MiB sent without end, at most %d KiB held of %d KiB", written.Load()>>20, peak>>10, r.server.held.budget>>10)
	is.True(peak <= testMemory/budgetDivisor)
	is.True(peak > 0)
	is.Equal(total, int64(0))
}

// Several answers without end at a time are bounded together, and others are still read.
func TestHeldAnswersShareTheirBudget(t *testing.T) {
	is := is.New(t)
	registry := metrics.NewRegistry()
	b := newByteAccount(testMemory, registry)
	gauge := func(name string, labels ...string) int64 {
		return registry.Get(telemetry.MetricName(name, labels...)).(metrics.Gauge).Value()
	}
	var failed [2]error
	first := b.open(heldAnswer, func(err error) { failed[0] = err })
	second := b.open(heldAnswer, func(err error) { failed[1] = err })
	is.NoErr(first.grow(6 << 20))
	is.NoErr(second.grow(5 << 20))
	is.NoErr(second.grow(512 << 10)) // more than is left: the larger one fails for it
	is.True(errorx.IsOfType(failed[0], errBudget))
	is.NoErr(failed[1])
	is.True(errorx.IsOfType(first.grow(1), errBudget))
	small := b.open(heldAnswer, nil)
	is.NoErr(small.grow(256 << 10))
	written := b.open(heldAnswer, nil) // being written to its caller, so that it can't fail
	is.NoErr(written.grow(1 << 20))
	is.True(errorx.IsOfType(b.open(heldAnswer, nil).grow(3<<20), errBudget)) // the first one isn't released yet
	is.Equal(gauge("gateway_held_bytes", "part", "answer"), b.total)
	is.Equal(gauge("gateway_held_bytes", "part", "stream"), int64(0))
	is.Equal(gauge("gateway_held_bytes_budget"), int64(testMemory/budgetDivisor))
	first.release()
	is.NoErr(b.open(heldAnswer, nil).grow(3 << 20))
	is.True(gauge("gateway_held_bytes_peak") >= b.total)
}

// Whatever holdings do, their sum stays within the budget, and small ones grow while large ones fail.
func TestHeldBytesStayWithinBudget(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		b := newByteAccount(testMemory, metrics.NewRegistry())
		open := make([]*holding, 40)
		for range 4000 {
			i := rng.IntN(len(open))
			h := open[i]
			switch {
			case h == nil:
				open[i] = b.open(heldPart(rng.IntN(int(heldParts))), func(error) {})
			case rng.IntN(50) == 0:
				h.release()
				open[i] = nil
			case rng.IntN(4) == 0:
				h.shrink(rng.IntN(1 << 20))
			default:
				_ = h.grow(rng.IntN(1 << 20)) // fails if the budget is full
			}
			checkAccount(t, b, open)
			for i, h := range open { // what has failed is released soon
				if h != nil && h.isFailed {
					h.release()
					open[i] = nil
				}
			}
			small := b.open(heldStream, nil)
			if err := small.grow(streamBuffer); err != nil {
				t.Fatalf("seed %d: no room for %d bytes: %v", seed, streamBuffer, err)
			}
			small.release()
		}
	}
}

// checkAccount compares the sums of an account with its holdings.
func checkAccount(t *testing.T, b *byteAccount, open []*holding) {
	t.Helper()
	var total, failing int64
	var parts [heldParts]int64
	for _, h := range open {
		if h == nil {
			continue
		}
		total += h.bytes
		parts[h.part] += h.bytes
		if h.isFailed {
			failing += h.bytes
		}
	}
	if total != b.total || failing != b.failing || parts != b.parts || total > b.budget {
		t.Fatalf("the account has %d bytes, %d failing, %v by part; its holdings %d, %d, %v; budget %d", b.total, b.failing, b.parts, total, failing, parts, b.budget)
	}
}

// BenchmarkHeldBytes reports what reading an answer allocates, and how much the account counts for it.
func BenchmarkHeldBytes(b *testing.B) {
	for _, size := range []int{800, 16 << 10, 256 << 10, 4 << 20} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			account := newByteAccount(defaultMemory, metrics.NewRegistry())
			body := strings.Repeat("x", size)
			var held int64
			b.ReportAllocs()
			for b.Loop() {
				a := answer{held: account.open(heldAnswer, nil)}
				if err := a.readBody(strings.NewReader(body)); err != nil {
					b.Fatal(err)
				}
				held = a.held.bytes
				a.release()
			}
			b.ReportMetric(float64(held), "held-B")
		})
	}
}
