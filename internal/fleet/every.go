package fleet

import (
	"context"
	"time"
)

// Every calls f once per interval until ctx ends. The first call comes after one interval.
// A call that takes longer than the interval delays the next one.
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

// Pause waits for d and reports true, or reports false as soon as ctx ends.
func Pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// Await calls done at once and then after each interval, and reports true as soon as done
// does. It reports false if ctx ends first.
func Await(ctx context.Context, interval time.Duration, done func() bool) bool {
	for !done() {
		if !Pause(ctx, interval) {
			return false
		}
	}
	return true
}
