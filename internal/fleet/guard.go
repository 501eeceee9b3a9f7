package fleet

import (
	"context"
	"runtime/debug"
	"time"
)

// Guard keeps panics in background work from ending the process. A nil Guard confines nothing:
// without a record of it, a panic would be lost. It is safe for concurrent use.
type Guard struct {
	// Record records a panic of the named work with the stack of its goroutine.
	Record func(work string, value any, stack []byte)
	// Stop stops the process like a signal does, so that running requests are answered.
	Stop func(error)
}

// ErrPanic is the type of the errors that stand for a panic.
var ErrPanic = Errors.NewType("panic")

// Confine calls f and returns its error, or an error of the type ErrPanic if f panics. It fits
// work that releases its locks by defer and leaves no state half-changed.
func (g *Guard) Confine(work string, f func() error) (err error) {
	if g == nil {
		return f()
	}
	defer func() {
		if value := recover(); value != nil {
			g.Record(work, value, debug.Stack())
			err = ErrPanic.New("%s panicked: %v", work, value)
		}
	}()
	return f()
}

// Run calls f and, if f panics, stops the process. It fits work that the process needs, and that
// must not go on after a panic.
func (g *Guard) Run(work string, f func()) {
	err := g.Confine(work, func() error {
		f()
		return nil
	})
	if err != nil {
		g.Stop(err)
	}
}

// Every is like the function Every, but a panic of f, which must fit Confine, ends only that call.
func (g *Guard) Every(ctx context.Context, work string, interval time.Duration, f func(context.Context)) {
	Every(ctx, interval, func(ctx context.Context) {
		_ = g.Confine(work, func() error { // Record has logged it
			f(ctx)
			return nil
		})
	})
}
