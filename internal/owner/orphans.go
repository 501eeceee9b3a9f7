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
	timer   *time.Timer
	expire  func() // see keep
	claimed func() // see keep
}

// orphans holds the attempts whose connection to their entry was lost. It is safe for
// concurrent use.
type orphans struct {
	mu        sync.Mutex
	byAttempt map[string]*orphan
}

// keep adds an attempt. It calls expire after orphanGrace, or claimed if the attempt is
// resumed before that.
func (o *orphans) keep(attempt string, expire, claimed func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	kept := &orphan{expire: expire, claimed: claimed}
	kept.timer = time.AfterFunc(orphanGrace, func() {
		if o.remove(attempt, kept) {
			kept.expire()
		}
	})
	o.byAttempt[attempt] = kept
}

// resume removes an attempt that its entry resumes, and calls its claimed function.
func (o *orphans) resume(attempt string) {
	o.mu.Lock()
	kept := o.byAttempt[attempt]
	o.mu.Unlock()
	if kept != nil && o.remove(attempt, kept) {
		kept.timer.Stop()
		kept.claimed()
	}
}

// remove removes an attempt, and reports whether this call has removed it. Only then may
// the caller end the attempt.
func (o *orphans) remove(attempt string, kept *orphan) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byAttempt[attempt] != kept {
		return false
	}
	delete(o.byAttempt, attempt)
	return true
}
