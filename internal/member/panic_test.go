package member

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/control"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/mesh"
	"github.com/wigeonflow/wigeonflow/internal/operator"
	"github.com/wigeonflow/wigeonflow/internal/session"
)

// panicLog is what a guard has recorded; stopped gets the error with which it stops the process.
type panicLog struct {
	mu      sync.Mutex
	works   []string
	stopped chan error
}

// guard returns a guard that records to the log.
func (l *panicLog) guard() *fleet.Guard {
	l.stopped = make(chan error, 1)
	return &fleet.Guard{
		Record: func(work string, _ any, _ []byte) {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.works = append(l.works, work)
		},
		Stop: func(err error) { l.stopped <- err },
	}
}

func (l *panicLog) recorded() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string{}, l.works...)
}

// guardedConfig returns the configuration of a keeper whose leader is at addr.
func guardedConfig(t *testing.T, addr string, log *panicLog) Config {
	t.Helper()
	pool := mesh.NewPool(mesh.Config{Instance: "router"})
	t.Cleanup(pool.Close)
	return Config{
		Self: fleet.Member{ID: "router", Boot: "b"}, Clock: fleet.MonotonicClock(), Control: control.NewClient(pool, []string{addr}),
		Session: session.Settings{Lease: 3 * time.Second, RenewInterval: time.Second}, Logger: hclog.NewNullLogger(),
		Owner: func(fleet.Membership, string) fleet.InstanceID { return "" }, Guard: log.guard(),
		InForce: func() fleet.ConfigVersion { return 3 }, OnConfig: func() {},
	}
}

// A router whose new configuration was fetched must bring it into force, or it is never confirmed again.
func TestPanicInConfigurationFetchEndsProcess(t *testing.T) {
	is := is.New(t)
	var log panicLog
	cfg := guardedConfig(t, startLeader(t), &log)
	applied := 0
	cfg.OnConfig = func() { applied++ }
	k := NewKeeper(cfg)
	k.fetcher = control.NewFetcher(cfg.Control, func(*operator.Update) { panic("test") })
	k.renew(t.Context())
	is.Equal(log.recorded(), []string{"configuration: fetch"})
	is.Equal(k.View().Version(), fleet.ConfigVersion(3))
	is.Equal(applied, 1)
	is.True(k.ConfirmedAt() >= 0)
}

func TestPanickingNoteEndsProcess(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := mesh.NewServer(mesh.Config{Instance: "member"})
	server.Handle(control.MethodRenew, mesh.Unary(func(_ context.Context, _ string, r *session.RenewRequest) (*session.RenewReply, error) {
		return &session.RenewReply{Seq: r.Seq, Status: session.StatusJoining, Note: []byte("x")}, nil
	}))
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Shutdown(context.Background()) })
	var log panicLog
	cfg := guardedConfig(t, l.Addr().String(), &log)
	cfg.OnNote = func([]byte, time.Duration) { panic("test") }
	k := NewKeeper(cfg)
	k.renew(t.Context())
	is.Equal(log.recorded(), []string{"session: apply a note"})
	is.True(k.ConfirmedAt() >= 0)
}

// The planned stop drains the session, for which it needs the lock under which the panic occurred.
func TestPanicInSessionEndsProcessWithItsRequests(t *testing.T) {
	is := is.New(t)
	var log panicLog
	cfg := guardedConfig(t, startLeader(t), &log)
	cfg.InForce = func() fleet.ConfigVersion { panic("test") }
	k := NewKeeper(cfg)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		k.Run(ctx)
	}()
	is.True(errorx.IsOfType(<-log.stopped, fleet.ErrPanic))
	is.Equal(log.recorded(), []string{"session"})
	k.SetDraining(true)
	k.Leave()
	for !k.HasLeft() { // or the stop would wait for the end of the grace period
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-ended
}
