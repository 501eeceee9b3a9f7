package fleet

import (
	"context"
	"time"
)

// Every calls f at each interval until ctx ends. A call that takes longer than
// the interval delays the next one.
func Every(ctx context.Context, interval time.Duration, f func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f(ctx)
		}
	}
}

// Pause waits for d and tells whether ctx lasted as long.
func Pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// Await looks at each interval whether done holds and tells whether it came to
// before ctx ended.
func Await(ctx context.Context, interval time.Duration, done func() bool) bool {
	for !done() {
		if !Pause(ctx, interval) {
			return false
		}
	}
	return true
}
