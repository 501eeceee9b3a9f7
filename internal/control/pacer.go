package control

import (
	"context"
	"sync"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// maxPacing is how long a reply may wait for its turn on the link. A router whose
// reply would wait longer is told at once and asks another member.
const maxPacing = 600 * time.Millisecond

// errBusy means that too many routers read the configuration here.
var errBusy = fleet.Errors.NewType("control_busy")

// pacer gives large replies their turn on a slow link: heartbeats and the log must
// not wait behind hundreds of copies. The zero value has no limit.
type pacer struct {
	rate  int64 // bytes a second; 0 means no limit
	clock fleet.Clock

	mu   sync.Mutex
	free time.Duration // when the turns that were given are over
}

// turn takes the next turn for a reply of some size and returns how long to wait
// for it. A reply that would wait too long takes none.
func (p *pacer) turn(size int) (wait time.Duration, err error) {
	if p.rate <= 0 {
		return 0, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	start := max(p.free, now)
	if wait = start - now; wait > maxPacing {
		return 0, errBusy.New("the link is busy for %v", wait.Round(time.Millisecond))
	}
	p.free = start + time.Duration(float64(size)/float64(p.rate)*float64(time.Second))
	return wait, nil
}

// await waits for the turn of a reply.
func (p *pacer) await(ctx context.Context, size int) error {
	wait, err := p.turn(size)
	if err != nil || wait == 0 {
		return err
	}
	if !fleet.Pause(ctx, wait) {
		return ctx.Err()
	}
	return nil
}
