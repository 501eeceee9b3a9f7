package control

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/hashicorp/go-hclog"
	"github.com/joomcode/errorx"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/wigeonflow/wigeonflow/internal/consensus"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/ledger"
	"github.com/wigeonflow/wigeonflow/internal/mesh"
	"github.com/wigeonflow/wigeonflow/internal/operator"
)

// memberEnv is the environment variable that makes the test binary run one control
// member. Its value holds the member's mesh address, its operators' address, its data
// directory and all members' mesh addresses, separated by commas.
const memberEnv = "WIGEONFLOW_TEST_MEMBER"

const processToken = "operator"

func TestMain(m *testing.M) {
	if args := os.Getenv(memberEnv); args != "" {
		runMember(strings.Split(args, ","))
		return
	}
	os.Exit(m.Run())
}

// runMember runs one control member until the process is killed. Its disk is full from fillSignal to
// emptySignal.
func runMember(args []string) {
	addr, operators, dir, members := args[0], args[1], args[2], args[3:]
	log := hclog.New(&hclog.LoggerOptions{Level: hclog.Warn, Output: os.Stderr}).With("member", addr)
	cfg := mesh.Config{Instance: fleet.InstanceID(addr)}
	server := mesh.NewServer(cfg)
	dataDir, err := consensus.OpenDir(dir)
	if err != nil {
		log.Error("data directory not opened", "error", err)
		os.Exit(1)
	}
	disk := &fullDisk{Disk: dataDir}
	go disk.followSignals()
	member, err := Start(Config{
		Addr: addr, Members: members, Disk: disk, Clock: fleet.MonotonicClock(), OperatorAddr: operators,
		Ledger: ledger.Limits{MaxAge: time.Hour, MaxRecords: 1000, MaxAnswer: 1 << 16},
		Logger: log, Metrics: metrics.NewRegistry(),
	}, server, mesh.NewPool(cfg))
	if err != nil {
		log.Error("control member not started", "error", err)
		os.Exit(1)
	}
	handler := operator.NewHandler(operator.HandlerSettings{
		Backend: member.Backend(), Tokens: []operator.KeyDigest{sha256.Sum256([]byte(processToken))},
	})
	go func() { log.Error("operators' HTTP API stopped", "error", http.ListenAndServe(operators, handler)) }()
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		log.Error("cannot listen on the mesh address", "error", err)
		os.Exit(1)
	}
	go func() { _ = server.Serve(listener) }()
	<-member.Done()
	log.Error("control member stopped", "error", member.Err())
	os.Exit(1)
}

const (
	fillSignal  = syscall.SIGUSR1
	emptySignal = syscall.SIGUSR2
)

// followSignals makes the disk full, or gives it room again, at each signal.
func (d *fullDisk) followSignals() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, fillSignal, emptySignal)
	for s := range signals {
		d.full.Store(s == fillSignal)
	}
}

// processFleet is a control group whose members are processes, with lightRouters in
// the test's own process.
type processFleet struct {
	*testFleet
	operators []string
	dirs      []string
	processes []*exec.Cmd
}

func newProcessFleet(t testing.TB, members, routers int) *processFleet {
	f := &processFleet{testFleet: &testFleet{t: t, clock: fleet.MonotonicClock()}}
	for i := range members {
		f.addrs = append(f.addrs, unusedAddr(t))
		f.operators = append(f.operators, unusedAddr(t))
		f.dirs = append(f.dirs, filepath.Join(t.TempDir(), fmt.Sprint("member-", i)))
	}
	f.processes = make([]*exec.Cmd, members)
	for i := range members {
		f.start(i)
	}
	t.Cleanup(func() {
		for i := range f.processes {
			f.kill(i)
		}
	})
	for i := range routers {
		f.startRouter(i)
	}
	return f
}

func unusedAddr(t testing.TB) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func (f *processFleet) start(i int) {
	if err := os.MkdirAll(f.dirs[i], 0o700); err != nil {
		f.t.Fatal(err)
	}
	args := append([]string{f.addrs[i], f.operators[i], f.dirs[i]}, f.addrs...)
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), memberEnv+"="+strings.Join(args, ","))
	if testing.Verbose() {
		cmd.Stderr = os.Stderr
	}
	if err := cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.processes[i] = cmd
}

func (f *processFleet) kill(i int) {
	_ = f.processes[i].Process.Kill()
	_ = f.processes[i].Wait()
}

func (f *processFleet) signal(i int, s syscall.Signal) {
	if err := f.processes[i].Process.Signal(s); err != nil {
		f.t.Fatal(err)
	}
}

func (f *processFleet) client() *operator.Client {
	return operator.NewClient(operator.ClientSettings{
		Addrs: f.operators, Token: processToken, AttemptTimeout: time.Second, RetryInterval: 50 * time.Millisecond, Attempts: 100,
	})
}

// leader returns the index of the member that leads.
func (f *processFleet) leader() int {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		status, err := f.client().Status(ctx)
		cancel()
		for i, addr := range f.addrs {
			if err == nil && string(status.Leader) == addr {
				return i
			}
		}
	}
}

// watchVersions reports an error if a router's version decreases, until stop is
// called. unleased is the total time in nanoseconds that routers had no lease.
func (f *processFleet) watchVersions() (unleased *atomic.Int64, stop func()) {
	done := make(chan struct{})
	unleased = new(atomic.Int64)
	var wg sync.WaitGroup
	for i, r := range f.routers {
		wg.Go(func() {
			var last fleet.ConfigVersion
			for at := f.clock(); ; at = f.clock() {
				if v := r.view.Version(); v < last {
					f.t.Errorf("router %d: the version decreased from %d to %d", i, last, v)
				} else {
					last = v
				}
				select {
				case <-done:
					return
				case <-time.After(time.Millisecond):
				}
				if !r.leased() {
					unleased.Add(int64(f.clock() - at))
				}
			}
		})
	}
	return unleased, func() { close(done); wg.Wait() }
}

func (r *lightRouter) leased() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holder.Valid(r.clock())
}

// TestCallsAreLinearizableUnderProcessFaults applies configurations while control
// members are killed and restarted, frozen for longer than their lease, have full disks in turn, or
// lose their data directory, one of them while all are killed. The operators' calls must be linearizable, and no router's version may
// decrease.
func TestCallsAreLinearizableUnderProcessFaults(t *testing.T) {
	faults := []struct {
		name  string
		fault func(f *processFleet)
	}{
		{"the leader is killed and restarted", func(f *processFleet) {
			i := f.leader()
			f.kill(i)
			time.Sleep(time.Second)
			f.start(i)
		}},
		{"the leader is frozen past its lease and resumed", func(f *processFleet) {
			i := f.leader()
			f.signal(i, syscall.SIGSTOP)
			time.Sleep(4 * time.Second)
			f.signal(i, syscall.SIGCONT)
		}},
		{"the disks of the leaders are full in turn", func(f *processFleet) {
			for range f.processes {
				i := f.leader()
				f.signal(i, fillSignal)
				time.Sleep(2 * time.Second)
				f.signal(i, emptySignal)
				f.awaitAllVote()
			}
		}},
		{"all members are killed and restarted", func(f *processFleet) {
			for i := range f.processes {
				f.kill(i)
			}
			for i := range f.processes {
				f.start(i)
			}
		}},
		{"a follower loses its data directory", func(f *processFleet) {
			i := (f.leader() + 1) % len(f.processes)
			f.kill(i)
			if err := os.RemoveAll(f.dirs[i]); err != nil {
				f.t.Error(err)
			}
			f.start(i)
		}},
		{"a member loses its data directory while all are killed", func(f *processFleet) {
			f.awaitAllVote() // the one that was emptied before
			for i := range f.processes {
				f.kill(i)
			}
			if err := os.RemoveAll(f.dirs[0]); err != nil { // the one that formed the group, or not
				f.t.Error(err)
			}
			for i := range f.processes {
				f.start(i)
			}
			f.awaitAllVote()
		}},
	}
	f := newProcessFleet(t, 3, 3)
	f.awaitVersion(readConfig(f.client()).version)
	unleased, stop := f.watchVersions()
	o := &callHistory{}
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			var wg sync.WaitGroup
			done := make(chan struct{})
			for id := range 3 {
				wg.Go(func() { f.runOperator(o, id, done) })
			}
			time.Sleep(10 * callPause)
			fault.fault(f)
			close(done)
			wg.Wait()
			last := readConfig(f.client())
			f.awaitVersion(last.version) // in force on every router
			t.Logf("version %d in force on every router, longest call %v, routers without a lease for %v in total",
				last.version, o.longestCall(), time.Duration(unleased.Swap(0)))
		})
	}
	stop()
	sort.Slice(o.history, func(i, j int) bool { return o.history[i].Call < o.history[j].Call })
	is := is.New(t)
	is.Equal(porcupine.CheckOperationsTimeout(configurationModel, o.history, time.Minute), porcupine.Ok)
	unknown := 0
	for _, op := range o.history {
		if op.Output.(applyOutput).unknown {
			unknown++
		}
	}
	t.Logf("%d calls, %d of unknown outcome", len(o.history), unknown)
}

// With the leader killed and one follower's data directory deleted, only one member
// holds the log, and no change may be accepted. After the leader's restart no change
// may be lost, the emptied member must become a voter again, and the group must then
// tolerate the loss of the leader.
func TestEmptiedMemberDoesNotVote(t *testing.T) {
	is := is.New(t)
	f := newProcessFleet(t, 3, 0)
	ctx := context.Background()
	_, err := f.client().SetZone(ctx, operator.Expect{}, "before", "medeu", true)
	is.NoErr(err)
	leader := f.leader()
	emptied := (leader + 1) % 3
	f.kill(emptied)
	f.kill(leader)
	is.NoErr(os.RemoveAll(f.dirs[emptied]))
	f.start(emptied)

	quickClient := operator.NewClient(operator.ClientSettings{
		Addrs: f.operators, Token: processToken, AttemptTimeout: 300 * time.Millisecond, RetryInterval: 50 * time.Millisecond, Attempts: 40,
	})
	_, err = quickClient.SetZone(ctx, operator.Expect{Version: 1}, "while two are lost", "alatau", true)
	is.True(err != nil)
	is.True(!errorx.IsOfType(err, operator.ErrRejected)) // no control member decided
	t.Log(err)

	f.start(leader)
	version, err := f.client().SetZone(ctx, operator.Expect{Any: true}, "after", "turksib", true)
	is.NoErr(err)
	status, err := f.client().Status(ctx)
	is.NoErr(err)
	is.True(slices.Contains(status.ZonesOut, "medeu"))
	t.Logf("version %d, zones out of service %v, %d more losses tolerated", version, status.ZonesOut, status.LossesLeft)

	// Once the emptied member votes again, the group tolerates another loss.
	f.awaitRepair(emptied)
	f.kill(f.leader())
	version, err = f.client().SetZone(ctx, operator.Expect{Any: true}, "after the second loss", "bostandyk", true)
	is.NoErr(err)
	config, inForce, err := f.client().Config(ctx)
	is.NoErr(err)
	is.Equal(inForce, version)
	is.Equal(len(config.Plans.Plans), 0)
}

// awaitAllVote waits until every member votes and has every committed entry.
func (f *processFleet) awaitAllVote() {
	for ; ; time.Sleep(50 * time.Millisecond) {
		status, err := f.client().Status(context.Background())
		if err != nil {
			continue
		}
		voting := 0
		for _, c := range status.Control {
			if c.Role == "leader" || c.Role == "voter" && c.Reachable && c.Behind == 0 {
				voting++
			}
		}
		if voting == len(f.addrs) {
			return
		}
	}
}

// awaitRepair waits until a member is a voter that has every committed entry.
func (f *processFleet) awaitRepair(i int) {
	for ; ; time.Sleep(50 * time.Millisecond) {
		status, err := f.client().Status(context.Background())
		if err != nil {
			continue
		}
		for _, c := range status.Control {
			if c.Addr == f.addrs[i] && c.Role == "voter" && c.Reachable && c.Behind == 0 {
				return
			}
		}
	}
}
