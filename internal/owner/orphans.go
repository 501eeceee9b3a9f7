package owner

import (
	"sync"
	"time"
)

// orphanGrace is the time for which an attempt continues after its entry's connection
// was lost, so that the entry can resume it over a new connection.
const orphanGrace = 2 * time.Second

// orphan is an attempt whose connection to its entry was lost.
type orphan struct {
	timer  *time.Timer
	expire func()
	claim  func()
}

// orphans holds the attempts whose connection to their entry was lost. It is safe for
// concurrent use.
type orphans struct {
	mu   sync.Mutex
	work map[string]*orphan
}

// keep adds an attempt. It calls expire after orphanGrace, or claimed if the attempt is
// resumed before.
func (o *orphans) keep(attempt string, expire, claimed func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	work := &orphan{expire: expire, claim: claimed}
	work.timer = time.AfterFunc(orphanGrace, func() {
		if o.remove(attempt, work) {
			work.expire()
		}
	})
	o.work[attempt] = work
}

// resume removes an attempt that its entry resumes.
func (o *orphans) resume(attempt string) {
	o.mu.Lock()
	work := o.work[attempt]
	o.mu.Unlock()
	if work != nil && o.remove(attempt, work) {
		work.timer.Stop()
		work.claim()
	}
}

// remove removes an attempt, and reports whether this call has removed it. Only then may
// the caller end the attempt.
func (o *orphans) remove(attempt string, work *orphan) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.work[attempt] != work {
		return false
	}
	delete(o.work, attempt)
	return true
}
