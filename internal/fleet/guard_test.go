package fleet

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
)

func TestGuardConfinesAndRecordsPanic(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	recorded := ""
	g := &Guard{Record: func(work string, value any, stack []byte) {
		recorded = work + ": " + value.(string)
		is.True(strings.Contains(string(stack), "TestGuardConfinesAndRecordsPanic"))
	}}
	err := g.Confine("work", func() error {
		mu.Lock()
		defer mu.Unlock()
		panic("test")
	})
	is.True(errorx.IsOfType(err, ErrPanic))
	is.Equal(recorded, "work: test")
	is.True(mu.TryLock())
}

func TestGuardPassesErrors(t *testing.T) {
	is := is.New(t)
	failure := errors.New("test")
	g := &Guard{Record: func(string, any, []byte) { t.Error("recorded a panic") }}
	is.Equal(g.Confine("work", func() error { return failure }), failure)
	is.Equal((*Guard)(nil).Confine("work", func() error { return failure }), failure)
}

func TestPanicWithoutGuardIsLost(t *testing.T) {
	is := is.New(t)
	defer func() { is.Equal(recover(), "test") }()
	(*Guard)(nil).Run("work", func() { panic("test") })
}

func TestPanicInNeededWorkDoesNotStopProcess(t *testing.T) {
	is := is.New(t)
	var stopped error
	g := &Guard{Record: func(string, any, []byte) {}, Stop: func(err error) { stopped = err }}
	g.Run("work", func() {})
	is.NoErr(stopped)
	g.Run("work", func() { panic("test") })
	is.True(errorx.IsOfType(stopped, ErrPanic))
}

func TestPanickingTickEndsPeriodicWork(t *testing.T) {
	is := is.New(t)
	panics, ticks := 0, 0
	g := &Guard{Record: func(string, any, []byte) { panics++ }}
	ctx, cancel := context.WithCancel(t.Context())
	g.Every(ctx, "tick", time.Millisecond, func(context.Context) {
		if ticks++; ticks == 1 {
			panic("test")
		}
		cancel()
	})
	is.Equal(panics, 1)
	is.True(ticks >= 2)
}
