package control

import (
	"sync"
	"time"
)

// leaseGate lets calls wait until this member can prove that it leads. One goroutine checks
// for all of them: a leader whose heartbeats are late has hundreds of calls waiting, and no
// processor time to try each of them again and again. It is safe for concurrent use.
type leaseGate struct {
	leads func() bool

	mu     sync.Mutex
	opened chan struct{} // of the running check; nil for none
}

// opening returns a channel that is closed once this member leads, after leaseCheckInterval at
// the earliest and leaderWait at the latest.
func (g *leaseGate) opening() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened == nil {
		g.opened = make(chan struct{})
		go g.check(time.Now().Add(leaderWait))
	}
	return g.opened
}

// check waits until this member leads or the time limit, and wakes those who wait.
func (g *leaseGate) check(limit time.Time) {
	for {
		time.Sleep(leaseCheckInterval)
		if g.leads() || time.Now().After(limit) {
			break
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.opened)
	g.opened = nil
}
