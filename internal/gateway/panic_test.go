package gateway

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/balance"
	"github.com/wigeonflow/wigeonflow/internal/exchange"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/member"
	"github.com/wigeonflow/wigeonflow/internal/mesh"
	"github.com/wigeonflow/wigeonflow/internal/operator"
	"github.com/wigeonflow/wigeonflow/internal/routes"
)

// panicLog is what a guard has recorded, and the error with which it has stopped the process.
type panicLog struct {
	mu      sync.Mutex
	works   []string
	stopped error
}

// guard returns a guard that records to the log.
func (l *panicLog) guard() *fleet.Guard {
	return &fleet.Guard{
		Record: func(work string, _ any, _ []byte) {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.works = append(l.works, work)
		},
		Stop: func(err error) {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.stopped = err
		},
	}
}

func (l *panicLog) recorded() ([]string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string{}, l.works...), l.stopped
}

func TestPanickingTrimEndsProcess(t *testing.T) {
	is := is.New(t)
	var log panicLog
	ctx, cancel := context.WithCancel(t.Context())
	ticks := 0
	r := &Router{pool: exchange.NewPool(), balancer: balance.New(balance.Config{}), cfg: Config{Guard: log.guard(), Clock: func() time.Duration {
		if ticks++; ticks == 1 {
			panic("test")
		}
		cancel()
		return 0
	}}}
	r.trim(ctx, time.Millisecond)
	works, stopped := log.recorded()
	is.Equal(works, []string{"trim"})
	is.NoErr(stopped)
	is.True(ticks >= 2)
}

// brokenLister panics when it reads the list.
type brokenLister struct{}

// List implements Lister.
func (brokenLister) List(context.Context) ([]balance.ListedUpstream, error) { panic("test") }

// brokenLoads panics when it merges suspicions.
type brokenLoads struct{ Loads }

// MergeSuspicions implements Loads.
func (brokenLoads) MergeSuspicions(time.Duration, []balance.Suspicion) { panic("test") }

// newGuardedList returns an upstream list of a router, with the log of its guard.
func newGuardedList(t *testing.T, clock fleet.Clock, onChange func(time.Duration, *snapshot)) (*upstreamList, *panicLog) {
	t.Helper()
	log := new(panicLog)
	pool := mesh.NewPool(mesh.Config{Instance: "self"})
	t.Cleanup(pool.Close)
	return newUpstreamList(upstreamListConfig{
		log: hclog.NewNullLogger(), clock: clock, self: fleet.Member{ID: "self"}, lister: brokenLister{}, pool: pool,
		relays: func() []fleet.Member { return nil }, needed: func() bool { return true },
		loads: brokenLoads{balance.New(balance.Config{})}, guard: log.guard(), onChange: onChange,
	}), log
}

func TestPanickingListReadEndsProcess(t *testing.T) {
	is := is.New(t)
	l, log := newGuardedList(t, fleet.MonotonicClock(), nil)
	l.readFromPlatform(t.Context())
	works, stopped := log.recorded()
	is.Equal(works, []string{"upstream list: read"})
	is.NoErr(stopped)
	is.True(l.readFailed.Load())
	is.True(!l.pending.Load())
}

func TestPanickingUpdateOfSourceEndsProcess(t *testing.T) {
	is := is.New(t)
	l, log := newGuardedList(t, fleet.MonotonicClock(), nil)
	_, _, err := l.readUpdate(t.Context(), nil, time.Second, nil)
	is.True(errorx.IsOfType(err, fleet.ErrPanic))
	works, stopped := log.recorded()
	is.Equal(works, []string{"upstream list: read an update"})
	is.NoErr(stopped)
}

// Routers pass suspicions on, so that one which makes a router panic reaches all.
func TestPanickingReportOfSourceEndsProcess(t *testing.T) {
	is := is.New(t)
	adopted := 0
	l, log := newGuardedList(t, fleet.MonotonicClock(), func(time.Duration, *snapshot) { adopted++ })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	source := mesh.NewServer(mesh.Config{Instance: "source"})
	source.HandleBackground(MethodList, func(ctx context.Context, s *mesh.Stream, _ []byte) error {
		u := newSnapshot(0, []balance.ListedUpstream{{Upstream: testUpstream("a")}}).update(nil, 0, 0)
		u.Totals.Suspicions = []Suspicion{{ID: 1}}
		message, err := u.MarshalMsg(nil)
		if err != nil {
			return err
		}
		return s.Send(ctx, message)
	})
	go func() { _ = source.Serve(listener) }()
	t.Cleanup(func() { _ = source.Shutdown(context.Background()) })
	is.NoErr(l.peek(t.Context(), listener.Addr().String()))
	is.Equal(adopted, 1)
	works, stopped := log.recorded()
	is.Equal(works, []string{"upstream list: merge a report"})
	is.NoErr(stopped)
}

// A list that wasn't passed on completely must not be used, but its lock is needed to stop.
func TestPanicInAdoptedListEndsProcess(t *testing.T) {
	broken := true
	l, log := newGuardedList(t, func() time.Duration {
		if broken {
			panic("test")
		}
		return 0
	}, nil)
	l.searchOnce(func() { l.adopt(newSnapshot(0, nil)) })
	l.searches.Wait()
	broken = false
	is := is.New(t)
	works, stopped := log.recorded()
	is.Equal(works, []string{"upstream list: search"})
	is.True(errorx.IsOfType(stopped, fleet.ErrPanic))
	is.True(!l.hasList())
	is.True(l.adopting.TryLock())
}

// All routers get a table, so that one whose decoder panics would end them all, again after each start.
func TestPanickingTableDecoderEndsProcess(t *testing.T) {
	is := is.New(t)
	var log panicLog
	r := &Router{log: hclog.NewNullLogger(), cfg: Config{Guard: log.guard(), Decode: func([]byte) (*routes.Table, error) { panic("test") }}}
	r.keeper = member.NewKeeper(member.Config{Logger: hclog.NewNullLogger()})
	_, err := r.keeper.View().Apply(&operator.Update{Full: &operator.State{Version: 3, Routes: routes.NewDocument(7, []byte("{}"))}})
	is.NoErr(err)
	r.applyConfig()
	works, stopped := log.recorded()
	is.Equal(works, []string{"configuration: decode the routing table"})
	is.NoErr(stopped)
	is.Equal(r.inForce.Load(), uint64(0))
}

// The list without a logger panics when it can't decode a report.
func TestPanickingReportOfFollowerEndsProcess(t *testing.T) {
	is := is.New(t)
	l, log := newGuardedList(t, fleet.MonotonicClock(), nil)
	l.log = nil
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	source := mesh.NewServer(mesh.Config{Instance: "source"})
	source.HandleBackground(MethodList, l.serve)
	go func() { _ = source.Serve(listener) }()
	t.Cleanup(func() { _ = source.Shutdown(context.Background()) })
	message, err := new(ListRequest).MarshalMsg(nil)
	is.NoErr(err)
	stream, err := l.pool.Open(t.Context(), listener.Addr().String(), MethodList, message)
	is.NoErr(err)
	is.NoErr(stream.Send(t.Context(), []byte{0xc1}))
	_, err = stream.Recv(t.Context())
	var remote *mesh.RemoteError
	is.True(errors.As(err, &remote)) // the source has ended the stream
	works, stopped := log.recorded()
	is.Equal(works, []string{"upstream list: receive reports"})
	is.NoErr(stopped)
}
