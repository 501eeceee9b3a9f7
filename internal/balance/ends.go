package balance

import (
	"slices"
	"time"
)

const (
	// endWindow is how far apart a break on an idle connection and other evidence of the
	// upstream's end may be.
	endWindow = 3 * time.Second
	// restartWindow is the same if the list shows the upstream's next start: it is down for some
	// seconds, and the list lags.
	restartWindow = 10 * time.Second
	// maxIdleBreaks bounds the breaks on idle connections that are kept for one upstream.
	maxIdleBreaks = 64
)

// idleBreak is a request that broke off on a connection that had been idle.
type idleBreak struct {
	upstream uint64 // see Break
	parts    []PromptPart
	at       time.Duration
}

// recordIdleBreak counts the break against the parts of the prompt if the upstream has ended: by
// other connections, or by a second break since the upstream last answered. Otherwise the break
// is kept.
func (s *upstreamState) recordIdleBreak(b idleBreak, suspects *suspects) {
	s.dropIdleBreaks(b.at)
	s.idleBreaks = append(s.idleBreaks, b)
	ended := s.endedAt > 0 && b.at-s.endedAt < endWindow
	if n := len(s.idleBreaks); n > 1 {
		previous := s.idleBreaks[n-2].at
		ended = ended || b.at-previous < endWindow && s.answeredAt <= previous
	}
	if ended {
		s.blameIdleBreaks(b.at-endWindow, suspects)
	}
}

// recordEnd records that the upstream has ended.
func (s *upstreamState) recordEnd(now time.Duration, suspects *suspects) {
	s.endedAt = now
	s.blameIdleBreaks(now-endWindow, suspects)
}

// recordRestart records that the list shows another start of the upstream.
func (s *upstreamState) recordRestart(now time.Duration, suspects *suspects) {
	s.endedAt = now
	s.blameIdleBreaks(now-restartWindow, suspects)
}

// blameIdleBreaks counts the breaks since the given time against the parts of their prompts.
func (s *upstreamState) blameIdleBreaks(since time.Duration, suspects *suspects) {
	for _, b := range s.idleBreaks {
		if b.at >= since {
			suspects.recordPartBreaks(b.at, b.upstream, b.parts)
		}
	}
	s.idleBreaks = slices.DeleteFunc(s.idleBreaks, func(b idleBreak) bool { return b.at >= since })
}

// dropIdleBreaks drops the breaks that nothing can show any more to be ends, and makes room.
func (s *upstreamState) dropIdleBreaks(now time.Duration) {
	s.idleBreaks = slices.DeleteFunc(s.idleBreaks, func(b idleBreak) bool { return now-b.at > restartWindow })
	if len(s.idleBreaks) >= maxIdleBreaks {
		s.idleBreaks = slices.Delete(s.idleBreaks, 0, 1)
	}
}
