package control

import (
	"context"
	"flag"
	"fmt"
	"net"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/ledger"
	"github.com/wigeonflow/wigeonflow/internal/lists"
	"github.com/wigeonflow/wigeonflow/internal/mesh"
	"github.com/wigeonflow/wigeonflow/internal/operator"
	"github.com/wigeonflow/wigeonflow/internal/session"
)

var (
	fleetSizes = flag.String("fleet", "5", "numbers of routers that TestFleet runs with, separated by commas")
	workspaces = flag.Int("workspaces", 2000, "number of workspaces that TestFleet has in force")
	linkRate   = flag.Int("link", 0, "bytes per second that all control members together may send in TestFleet; 0 means no limit")
	idleTime   = flag.Duration("rest", 0, "how long TestFleet measures without changes")
)

// testFleet is a control group and lightRouters on loopback, in one process.
type testFleet struct {
	t       testing.TB
	clock   fleet.Clock
	addrs   []string
	servers []*Server
	bytes   atomic.Int64 // transferred over connections accepted by control members
	routers []*lightRouter
	link    *rate.Limiter
}

// lightRouter keeps a session and follows the configuration, but serves no requests.
type lightRouter struct {
	clock   fleet.Clock
	client  *Client
	view    *operator.View
	fetcher *Fetcher
	loads   []session.PoolLoad
	woken   chan struct{}

	mu     sync.Mutex
	holder *session.Holder
}

// countingListener counts the bytes that its connections transfer, and limits the
// rate at which they are written.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
	link  *rate.Limiter // nil for no limit
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{conn, l.bytes, l.link}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
	link  *rate.Limiter
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	sent := 0
	for sent < len(b) {
		part := b[sent:min(sent+linkBurst, len(b))]
		if c.link != nil {
			_ = c.link.WaitN(context.Background(), len(part))
		}
		n, err := c.Conn.Write(part)
		c.bytes.Add(int64(n))
		if sent += n; err != nil {
			return sent, err
		}
	}
	return sent, nil
}

// linkBurst is the number of bytes that a rate-limited link sends at once.
const linkBurst = 16 << 10

func newTestFleet(t testing.TB, members, routers int) *testFleet {
	start := time.Now()
	f := &testFleet{t: t, clock: func() time.Duration { return time.Since(start) }}
	if *linkRate > 0 {
		f.link = rate.NewLimiter(rate.Limit(*linkRate), linkBurst)
	}
	var listeners []net.Listener
	for range members {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, l)
		f.addrs = append(f.addrs, l.Addr().String())
	}
	for i, l := range listeners {
		f.startMember(f.addrs[i], l)
	}
	for i := range routers {
		f.startRouter(i)
	}
	return f
}

func (f *testFleet) startMember(addr string, l net.Listener) {
	cfg := mesh.Config{Instance: fleet.InstanceID(addr)}
	server, pool := mesh.NewServer(cfg), mesh.NewPool(cfg)
	member, err := Start(Config{
		Addr: addr, Members: f.addrs, Dir: f.t.TempDir(), Clock: f.clock,
		Ledger: ledger.Limits{MaxAge: time.Hour, MaxRecords: 1000, MaxAnswer: 1 << 16},
		Logger: hclog.NewNullLogger(), Metrics: metrics.NewRegistry(),
	}, server, pool)
	if err != nil {
		f.t.Fatal(err)
	}
	f.servers = append(f.servers, member)
	go func() { _ = server.Serve(countingListener{l, &f.bytes, f.link}) }()
	f.t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = member.Close(ctx)
		_ = server.Shutdown(ctx)
		pool.Close()
	})
}

func (f *testFleet) startRouter(i int) {
	id := fleet.InstanceID(fmt.Sprintf("router-%03d", i))
	pool := mesh.NewPool(mesh.Config{Instance: id})
	self := fleet.Member{ID: id, Boot: "3f0c6a0e-7d0a-4a57-9d59-0d6c3b1f9a11", Addr: fmt.Sprintf("10.20.%d.%d:7400", i/250, i%250), Zone: "bostandyk"}
	r := &lightRouter{
		clock: f.clock, client: NewClient(pool, f.addrs), view: operator.NewView(), woken: make(chan struct{}, 1),
		holder: session.NewHolder(session.Settings{}, self, func(fleet.Membership, string) fleet.InstanceID { return id }),
		loads: []session.PoolLoad{
			{Pool: fleet.PoolID(fmt.Sprint("pool-", i%10)), InFlight: 25, Upstreams: 1, Warm: 25, WarmUpstreams: 1},
			{Pool: fleet.PoolID(fmt.Sprint("pool-", (i+1)%10)), InFlight: 25, Upstreams: 1, Warm: 25, WarmUpstreams: 1},
		},
	}
	r.fetcher = NewFetcher(r.client, nil)
	f.routers = append(f.routers, r)
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(func() { cancel(); pool.Close() })
	go r.run(ctx)
	go r.client.Watch(ctx, r.handleNotice)
}

func (r *lightRouter) run(ctx context.Context) {
	for ctx.Err() == nil {
		r.renew(ctx)
		r.mu.Lock()
		wait := r.holder.NextRenewal() - r.clock()
		r.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(max(wait, 20*time.Millisecond)):
		case <-r.woken:
		}
	}
}

func (r *lightRouter) handleNotice(n session.Notice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holder.HandleNotice(r.clock(), n)
	if r.holder.NextRenewal() <= r.clock() {
		select {
		case r.woken <- struct{}{}:
		default:
		}
	}
}

func (r *lightRouter) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, session.DefaultLease/2)
	defer cancel()
	r.mu.Lock()
	request := r.holder.Request(r.clock(), r.view.Version(), r.loads)
	r.mu.Unlock()
	var reply session.RenewReply
	if r.client.Call(ctx, MethodRenew, request, &reply) != nil {
		return
	}
	r.mu.Lock()
	r.holder.HandleReply(r.clock(), &reply)
	r.mu.Unlock()
	if reply.Version > r.view.Version() {
		_, _ = r.fetcher.Fetch(ctx, r.view, 0)
	}
}

// ready reports whether the router has a valid lease under a settled epoch, and at
// least the given epoch and version.
func (r *lightRouter) ready(epoch fleet.Epoch, version fleet.ConfigVersion) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.holder.Authority()
	return a.Valid(r.clock()) && a.Membership().Epoch >= epoch && a.Settled() == a.Membership().Epoch && r.view.Version() >= version
}

// awaitVersion waits until every router has a lease under a settled epoch, and at least the
// given version.
func (f *testFleet) awaitVersion(version fleet.ConfigVersion) {
	for _, r := range f.routers {
		for !r.ready(1, version) {
			time.Sleep(time.Millisecond)
		}
	}
}

// putLists puts lists of n workspaces in force and returns the version.
func (f *testFleet) putLists(n int) fleet.ConfigVersion {
	config := &lists.Config{Plans: lists.Plans{Plans: []lists.Plan{{Name: "basic"}}}}
	for i := range n {
		config.Plans.Workspaces = append(config.Plans.Workspaces, lists.Workspace{
			ID: fleet.WorkspaceID(fmt.Sprintf("workspace-%05d", i)), Plan: "basic", KeyDigests: []string{fmt.Sprintf("%064x", i)},
		})
	}
	return f.propose(operator.Command{Kind: operator.KindLists, Operation: "lists", AnyVersion: true, Lists: config})
}

// takeZoneOut takes a zone out of service and returns the version.
func (f *testFleet) takeZoneOut(operation string) fleet.ConfigVersion {
	return f.propose(operator.Command{Kind: operator.KindZone, Operation: operation, AnyVersion: true, Name: "medeu", Out: true})
}

// propose commits a change at the member that leads and returns the version.
func (f *testFleet) propose(cmd operator.Command) fleet.ConfigVersion {
	encoded, err := cmd.Encode()
	if err != nil {
		f.t.Fatal(err)
	}
	for {
		for _, s := range f.servers {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			answer, err := s.Backend().Propose(ctx, encoded)
			cancel()
			if err != nil {
				continue
			}
			a, err := operator.DecodeAnswer(answer)
			if err != nil || a.Code != operator.CodeAccepted {
				f.t.Fatal(a, err)
			}
			return a.Version
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestFleet runs a control group with routers. Each change must come into force on
// every router, also after the leader has stopped. It prints how long changes take
// and, with -rest, the traffic, CPU time and memory of the idle fleet.
func TestFleet(t *testing.T) {
	for _, size := range strings.Split(*fleetSizes, ",") {
		t.Run(size, func(t *testing.T) {
			n, err := strconv.Atoi(size)
			is.New(t).NoErr(err)
			f := newTestFleet(t, 3, n)
			start := time.Now()
			f.awaitVersion(f.putLists(*workspaces))
			t.Logf("%d workspaces in force on %d starting routers after %v, %.1f MB transferred", *workspaces, n, time.Since(start), float64(f.bytes.Load())/1e6)
			f.measureIdle(n)
			f.measureChanges()
			f.closeLeader()
			f.awaitVersion(f.takeZoneOut("after the leader has gone"))
		})
	}
}

func (f *testFleet) closeLeader() {
	for i, s := range f.servers {
		if _, leading := s.group.LeaderLease(); leading {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_ = s.Close(ctx)
			f.servers = slices.Delete(slices.Clone(f.servers), i, i+1)
			return
		}
	}
}

// measureIdle prints the traffic, CPU time and memory of the fleet while nothing
// changes.
func (f *testFleet) measureIdle(n int) {
	if *idleTime == 0 {
		return
	}
	time.Sleep(2 * time.Second) // until joins have settled
	bytes, cpu := f.bytes.Load(), cpuTime()
	time.Sleep(*idleTime)
	seconds := idleTime.Seconds()
	bytes, cpu = f.bytes.Load()-bytes, cpuTime()-cpu
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	f.t.Logf("%d idle routers: %.0f B/s over all control connections, %.2f%% of a core and %.1f MB for 3 members and all routers in one process",
		n, float64(bytes)/seconds, 100*cpu.Seconds()/seconds, float64(m.HeapAlloc)/1e6)
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measureChanges prints the time from proposing a change until it is in force on
// every router.
func (f *testFleet) measureChanges() {
	var took []time.Duration
	for i := range 20 {
		start := time.Now()
		f.awaitVersion(f.takeZoneOut(fmt.Sprint("change-", i)))
		took = append(took, time.Since(start))
	}
	slices.Sort(took)
	f.t.Logf("time until a change is in force on every router: p50 %v, longest %v of %d", took[len(took)/2], took[len(took)-1], len(took))
}
