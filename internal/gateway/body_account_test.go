package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	runtimemetrics "runtime/metrics"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/routes"
	"github.com/wigeonflow/wigeonflow/internal/telemetry"
)

const (
	bodyMemory  = 240 << 20 // makes a budget of 57 MiB
	longestBody = 4 << 20
)

// newBodyGateway starts a gateway with the workspaces hot and calm, whose keys are their names.
func newBodyGateway(t *testing.T, scripts ...func(*conn)) *testGateway {
	t.Helper()
	r := newTestGateway(t, routes.Route{Kind: routes.KindOnce, MaxAttempts: 1, Timeout: time.Minute, Target: time.Minute}, scripts...)
	r.table.Workspaces = []routes.Workspace{{ID: "hot", Keys: []string{"hot"}}, {ID: "calm", Keys: []string{"calm"}}}
	r.table.Limits.MaxBodyBytes = longestBody
	r.memory = bodyMemory
	r.startServer()
	r.server.drainTime = time.Minute
	r.server.overload.read = func() *runtimemetrics.Float64Histogram { return nil } // upstreams and callers share the processors
	return r
}

// bodiesHeld returns the bytes held of bodies.
func (r *testGateway) bodiesHeld() int64 {
	total, _ := r.server.bodies.held()
	return total
}

// sendChunked is like sendWith with a body of unknown length.
func (r *testGateway) sendChunked(ctx context.Context, body io.Reader, fields ...string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, "POST", r.url+"/x", io.MultiReader(body))
	if err != nil {
		return nil, err
	}
	req.Host, req.ContentLength = testHost, -1
	for i := 0; i+1 < len(fields); i += 2 {
		req.Header.Set(fields[i], fields[i+1])
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	return resp, err
}

// Bodies of requests in flight were held in no sum: a workspace with long requests took the router
// over its memory, and the requests of all others with it.
func TestLongRequestsOfOneWorkspaceExceedTheMemory(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprintf("chunked %v", chunked), func(t *testing.T) {
			is := is.New(t)
			const hot, calm = 40, 60
			released := make(chan struct{})
			r := newBodyGateway(t, func(c *conn) {
				if strings.HasPrefix(c.id, "hot") {
					<-released
				}
				serveDone(c)
			})
			long := strings.Repeat("x", longestBody)
			var all sync.WaitGroup
			var mu sync.Mutex
			var refused, served []string
			for i := range hot {
				all.Go(func() {
					id := fmt.Sprint("hot-", i)
					var resp *http.Response
					var err error
					if chunked {
						resp, err = r.sendChunked(t.Context(), strings.NewReader(long), "Id", id, "Key", "hot")
					} else {
						resp, _, err = r.sendWith(t.Context(), "POST", "/x", long, "Id", id, "Key", "hot")
					}
					mu.Lock()
					defer mu.Unlock()
					switch {
					case err != nil:
						t.Errorf("%s: no answer: %v", id, err)
					case resp.StatusCode == http.StatusOK:
						served = append(served, id)
					case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") != "":
						refused = append(refused, id)
					default:
						t.Errorf("%s: status %d, Retry-After %q", id, resp.StatusCode, resp.Header.Get("Retry-After"))
					}
				})
			}
			await(func() bool {
				mu.Lock()
				defer mu.Unlock()
				return len(refused)+len(r.arrivals()) >= hot
			})
			for i := range calm {
				resp, body, err := r.sendWith(t.Context(), "POST", "/x", long[:64<<10], "Id", fmt.Sprint("calm-", i), "Key", "calm")
				is.NoErr(err)
				is.Equal(resp.StatusCode, http.StatusOK)
				is.Equal(body, "done")
			}
			close(released)
			all.Wait()
			total, peak := r.server.bodies.held()
			t.Logf("%d of %d served, at most %d KiB held of %d", len(served), hot, peak>>10, r.server.bodies.budget>>10)
			is.True(len(refused) > 0)
			is.True(len(served) > 0)
			is.True(peak <= bodyBudget(bodyMemory))
			is.Equal(total, int64(0))
			ran := strings.Join(r.arrivals(), "\n") + "\n"
			for _, id := range refused {
				is.True(!strings.Contains(ran, " "+id+"\n")) // refused and run
			}
		})
	}
}

// Budgets that leave nothing for garbage, connections or the router let it be killed for its memory.
func TestBudgetsExceedTheMemory(t *testing.T) {
	for _, memory := range []int64{160 << 20, 256 << 20, 284 << 20, 1 << 30} {
		held := newByteAccount(memory, metrics.NewRegistry()).budget + bodyBudget(memory)
		if used := held*3/2 + ownMemory; used > memory/10*9 {
			t.Errorf("%d MiB: answers and bodies take %d MiB, the process %d", memory>>20, held>>20, used>>20)
		}
	}
}

// fillBodies holds all that a workspace may hold of bodies.
func fillBodies(b *bodyAccount, workspace fleet.WorkspaceID) *bodyHolding {
	h := b.open(workspace)
	for h.grow(64<<10) == nil {
	}
	return h
}

// A body that can't be held was read before its request was answered, and then counted.
func TestRefusedBodyIsReadFirst(t *testing.T) {
	is := is.New(t)
	r := newBodyGateway(t, serveDone)
	defer fillBodies(r.server.bodies, "hot").release()
	conn, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
	is.NoErr(err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: %s\r\nId: a\r\nKey: hot\r\nContent-Length: %d\r\n\r\n", testHost, longestBody)
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(resp.Header.Get("Retry-After") != "")
	is.Equal(len(r.arrivals()), 0)
}

// The connection was reset half a second after the answer, and a caller that was still sending its
// body never read it.
func TestCallerThatIsStillSendingLosesTheRejection(t *testing.T) {
	for name, framing := range map[string]string{
		"over the share": "Content-Length: " + strconv.Itoa(longestBody),
		"over the limit": "Content-Length: " + strconv.Itoa(longestBody+1),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newBodyGateway(t, serveDone)
			defer fillBodies(r.server.bodies, "hot").release()
			conn, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
			is.NoErr(err)
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: %s\r\nId: a\r\nKey: hot\r\n%s\r\n\r\n", testHost, framing)
			is.NoErr(err)
			part := make([]byte, longestBody/4)
			for range 4 {
				time.Sleep(300 * time.Millisecond) // in sum longer than net/http keeps the connection
				_, err = conn.Write(part)
				is.NoErr(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			is.True(resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusRequestEntityTooLarge)
		})
	}
}

// A refused body that has arrived completely need not end its connection.
func TestRefusedBodyEndsItsConnection(t *testing.T) {
	is := is.New(t)
	r := newBodyGateway(t, serveDone)
	filled := fillBodies(r.server.bodies, "hot")
	conn, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
	is.NoErr(err)
	defer conn.Close()
	in := bufio.NewReader(conn)
	for _, want := range []int{http.StatusServiceUnavailable, http.StatusOK} {
		_, err = fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: %s\r\nId: a%d\r\nKey: hot\r\nContent-Length: %d\r\n\r\n%s", testHost, want, longestBody, make([]byte, longestBody))
		is.NoErr(err)
		resp, err := http.ReadResponse(in, nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, want)
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		filled.release()
	}
}

// A caller that waits to be told to send its body would be told after its rejection.
func TestRefusedBodyIsAskedFor(t *testing.T) {
	is := is.New(t)
	r := newBodyGateway(t, serveDone)
	defer fillBodies(r.server.bodies, "hot").release()
	conn, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
	is.NoErr(err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: %s\r\nId: a\r\nKey: hot\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", testHost, longestBody)
	is.NoErr(err)
	text, err := io.ReadAll(conn) // the connection ends, since the body can't be told from a next request
	is.NoErr(err)
	is.True(strings.HasPrefix(string(text), "HTTP/1.1 503 "))
	is.Equal(strings.Count(string(text), "HTTP/1.1 "), 1)
}

// Bytes that stayed in the account after their request has ended would refuse all others in the end.
func TestEndedRequestsKeepTheirBodies(t *testing.T) {
	arrived := make(chan struct{}, 1)
	hang := func(c *conn) {
		arrived <- struct{}{}
		_, _ = c.Read(make([]byte, 1))
	}
	long := strings.Repeat("x", 1<<20)
	cases := []struct {
		name   string
		script func(*conn)
		broken bool // the choice of an upstream panics
	}{
		{"served", serveDone, false},
		{"failed", answerError, false},
		{"broken off", closeConn, false},
		{"rejected", nil, false},
		{"panic", serveDone, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			r := newBodyGateway(t, tc.script)
			if tc.broken {
				r.session.Out = func(fleet.Upstream) bool { panic("broken") }
			}
			_, _, err := r.sendWith(t.Context(), "POST", "/x", long, "Key", "hot")
			is.NoErr(err)
			await(func() bool { return r.bodiesHeld() == 0 })
			_, peak := r.server.bodies.held()
			is.Equal(peak, int64(len(long)))
		})
	}
	t.Run("caller gone", func(t *testing.T) {
		r := newBodyGateway(t, hang)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { <-arrived; cancel() }()
		_, _, err := r.sendWith(ctx, "POST", "/x", long, "Key", "hot")
		is.New(t).True(err != nil)
		await(func() bool { return r.bodiesHeld() == 0 })
	})
	t.Run("caller gone within the body", func(t *testing.T) {
		is := is.New(t)
		r := newBodyGateway(t, serveDone)
		for _, head := range []string{"Content-Length: 4096\r\n\r\nhalf", "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"} {
			conn, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
			is.NoErr(err)
			_, err = fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: %s\r\nId: a\r\nKey: hot\r\n%s", testHost, head)
			is.NoErr(err)
			await(func() bool { return r.bodiesHeld() > 0 })
			is.NoErr(conn.Close())
			await(func() bool { return r.bodiesHeld() == 0 })
		}
		is.Equal(len(r.arrivals()), 0)
	})
}

// Whatever workspaces hold, the sum stays within the budget, and one that holds nothing finds room.
func TestHeldBodiesStayWithinBudget(t *testing.T) {
	const workspaces = 6
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 2))
		registry := metrics.NewRegistry()
		b := newBodyAccount(bodyMemory, registry)
		open := make([]*bodyHolding, 40)
		for range 4000 {
			i := rng.IntN(len(open))
			switch h := open[i]; {
			case h == nil:
				open[i] = b.open(fleet.WorkspaceID(fmt.Sprint(rng.IntN(workspaces))))
			case rng.IntN(50) == 0:
				h.release()
				open[i] = nil
			default:
				_ = h.grow(rng.Int64N(longestBody)) // fails if the budget is full
			}
			var total int64
			for _, h := range open {
				if h != nil {
					total += h.bytes
				}
			}
			if total != b.total || total > b.budget {
				t.Fatalf("seed %d: the account has %d bytes, its holdings %d, budget %d", seed, b.total, total, b.budget)
			}
			calm := b.open("calm")
			if err := calm.grow(1 << 10); err != nil {
				t.Fatalf("seed %d: no room: %v", seed, err)
			}
			calm.release()
		}
		for _, h := range open {
			h.release()
		}
		gauge := registry.Get(telemetry.MetricName("gateway_held_bytes", "part", "request")).(metrics.Gauge)
		if len(b.workspaces) > 0 || gauge.Value() != 0 {
			t.Fatalf("seed %d: %d bytes of %d workspaces are left", seed, gauge.Value(), len(b.workspaces))
		}
		if err := b.open("hot").grow(b.budget); !errorx.IsOfType(err, errBodyBudget) {
			t.Fatalf("seed %d: one workspace got the whole budget: %v", seed, err)
		}
	}
}

// A request's body was copied once more for each attempt, and its buffer grown by copies.
func TestRequestHoldsCopiesOfItsBody(t *testing.T) {
	is := is.New(t)
	r := newBodyGateway(t, serveDone)
	long := strings.Repeat("x", longestBody)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	resp, _, err := r.sendWith(t.Context(), "POST", "/x", long, "Key", "hot")
	runtime.ReadMemStats(&after)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	allocated := after.TotalAlloc - before.TotalAlloc
	t.Logf("%d bytes allocated for a body of %d", allocated, longestBody)
	is.True(allocated < longestBody*3/2)
}

// BenchmarkReadBody reports what reading a body allocates.
func BenchmarkReadBody(b *testing.B) {
	for _, size := range []int64{800, 64 << 10, longestBody} {
		account := newBodyAccount(bodyMemory, metrics.NewRegistry())
		read := func(b *testing.B, chunked bool) {
			b.ReportAllocs()
			for b.Loop() {
				h := account.open("hot")
				body, err := io.LimitReader(zeros{}, size), error(nil)
				if chunked {
					_, err = h.readAll(body, longestBody)
				} else {
					_, err = h.readLength(body, size)
				}
				if err != nil {
					b.Fatal(err)
				}
				h.release()
			}
		}
		b.Run(fmt.Sprint("length/", size), func(b *testing.B) { read(b, false) })
		b.Run(fmt.Sprint("chunked/", size), func(b *testing.B) { read(b, true) })
	}
}

// zeros reads zeros without end.
type zeros struct{}

func (zeros) Read(b []byte) (int, error) { clear(b); return len(b), nil }
