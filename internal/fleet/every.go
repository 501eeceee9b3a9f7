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
