package owner

import (
	"sync"
	"time"
)

// orphanGrace is how long work whose entry was lost goes on, so that the entry
// can resume it over a new connection.
const orphanGrace = 2 * time.Second

// orphan is work whose connection to its entry was lost.
type orphan struct {
	timer  *time.Timer
	expire func()
	claim  func()
}

// orphans holds the work whose connection to its entry was lost, by attempt.
type orphans struct {
	mu   sync.Mutex
	work map[string]*orphan
}

// keep calls expire once the grace has passed, or claimed when the attempt is
// resumed before.
func (o *orphans) keep(attempt string, expire, claimed func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	work := &orphan{expire: expire, claim: claimed}
	work.timer = time.AfterFunc(orphanGrace, func() {
		if o.take(attempt, work) {
			work.expire()
		}
	})
	o.work[attempt] = work
}

// resume ends the wait for an attempt that its entry has come back for.
func (o *orphans) resume(attempt string) {
	o.mu.Lock()
	work := o.work[attempt]
	o.mu.Unlock()
	if work != nil && o.take(attempt, work) {
		work.timer.Stop()
		work.claim()
	}
}

// take removes the work and reports whether the caller is the one to end it.
func (o *orphans) take(attempt string, work *orphan) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.work[attempt] != work {
		return false
	}
	delete(o.work, attempt)
	return true
}
