package control

import (
	"context"
	"sync"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// maxPacerWait bounds how long the pacer delays a reply. A request whose reply would
// wait longer is rejected at once, and the router asks another member.
const maxPacerWait = 600 * time.Millisecond

// errBusy means that too many routers are reading the configuration from this
// member.
var errBusy = fleet.Errors.NewType("control_busy")

// pacer limits the rate at which large replies are sent on a slow link, so that
// heartbeats and the log are not delayed by hundreds of copies. The zero value has
// no limit.
type pacer struct {
	rate  int64 // bytes per second; 0 means no limit
	clock fleet.Clock

	mu   sync.Mutex
	free time.Duration // when all reserved transfers will have ended
}

// reserve reserves the transfer of size bytes and returns how long to wait before
// it. If the wait would exceed limit it reserves nothing and returns errBusy.
func (p *pacer) reserve(size int, limit time.Duration) (wait time.Duration, err error) {
	if p.rate <= 0 {
		return 0, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	start := max(p.free, now)
	if wait = start - now; wait > limit {
		return 0, errBusy.New("the link is busy with other copies for %v, longer than a reply may wait (%v)", wait.Round(time.Millisecond), limit)
	}
	p.free = start + time.Duration(float64(size)/float64(p.rate)*float64(time.Second))
	return wait, nil
}

// reserveAndWait reserves the transfer of a reply and waits until it may start.
func (p *pacer) reserveAndWait(ctx context.Context, size int) error {
	wait, err := p.reserve(size, maxPacerWait)
	if err != nil || wait == 0 {
		return err
	}
	if !fleet.Pause(ctx, wait) {
		return ctx.Err()
	}
	return nil
}
