package gateway

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/balance"
	"github.com/wigeonflow/wigeonflow/internal/exchange"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
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
