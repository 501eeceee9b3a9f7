package gateway

import (
	"slices"
	"sync"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/routes"
)

// history records the upstreams that a request was sent to. It is safe for concurrent use,
// since a replacement may be opened beside the latest attempt.
type history struct {
	mu    sync.Mutex
	sends int // how often the request, or a part of it, may have been sent
	// ran lists the different upstreams that may have run the request.
	ran []fleet.UpstreamID
	// tried lists the upstreams that are not to be asked again.
	tried []fleet.UpstreamID
	// spare lists those of ran whose attempt was canceled because it wasn't needed. They may be
	// asked again, which adds no further upstream that runs the request.
	spare []fleet.UpstreamID
	// replaced lists those of ran whose attempt was canceled in favor of another one since they
	// were silent or slow, and those of spare that have rejected the request since. They may be sound
	// and are asked again if the other one fails.
	replaced []fleet.UpstreamID
	// rejected lists the upstreams that did not run the request when it was last sent to them. They
	// are not asked again before forgetRejections.
	rejected []fleet.UpstreamID
	// moved lists all upstreams whose attempt was canceled in favor of another one.
	moved []fleet.UpstreamID
}

// begin records an attempt that is about to be opened. Until settle it counts as run.
func (h *history) begin(a *attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	id := a.pick.Upstream.ID
	h.sends++
	h.tried = append(h.tried, id)
	is := func(u fleet.UpstreamID) bool { return u == id }
	a.isReturn = slices.Contains(h.replaced, id) || slices.Contains(h.spare, id)
	h.spare, h.replaced = slices.DeleteFunc(h.spare, is), slices.DeleteFunc(h.replaced, is)
	if a.again = slices.Contains(h.ran, id); !a.again {
		h.ran = append(h.ran, id)
	}
}

// settle records what an attempt that was opened has shown. needed is false if it was canceled
// because another attempt serves the request.
func (h *history) settle(a *attempt, needed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	id := a.pick.Upstream.ID
	is := func(s fleet.UpstreamID) bool { return s == id }
	if !a.sent {
		h.sends--
	}
	if !a.ran && !a.again {
		h.ran = slices.DeleteFunc(h.ran, is)
	}
	if !a.ran && needed {
		h.rejected = append(h.rejected, id)
		if a.isReturn {
			h.replaced = append(h.replaced, id)
		}
	}
	if !needed {
		h.tried = slices.DeleteFunc(h.tried, is)
		if slices.Contains(h.ran, id) {
			h.spare = append(h.spare, id)
		}
	}
}

// recordReplaced records that another attempt has taken the place of one whose upstream was silent
// or slow.
func (h *history) recordReplaced(a *attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	id := a.pick.Upstream.ID
	h.moved = append(h.moved, id)
	if slices.Contains(h.ran, id) {
		h.replaced = append(h.replaced, id)
	}
}

// movedFrom returns the upstreams whose attempt was canceled in favor of another one, since they
// were silent or slow.
func (h *history) movedFrom() []fleet.UpstreamID {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.moved)
}

// forgetRejections lets the upstreams that did not run the request be asked again, at least one of
// them.
func (h *history) forgetRejections() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tried = slices.DeleteFunc(h.tried, func(u fleet.UpstreamID) bool {
		return slices.Contains(h.rejected, u) && !slices.Contains(h.ran, u)
	})
	h.rejected = nil
	h.sends = min(h.sends, maxSends-1)
}

// limitReached returns the limit for which the request may not be sent to a further upstream, or
// "" if it may.
func (h *history) limitReached(route *routes.Route) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.sends >= maxSends:
		return reasonTooManySends
	case len(h.ran) > 0 && !route.Repeatable():
		return "not repeatable"
	case h.usedUp(route) && len(h.spare)+len(h.replaced) == 0:
		return "attempts used up"
	}
	return ""
}

// usedUp reports whether as many upstreams as the route allows may have run the request.
func (h *history) usedUp(route *routes.Route) bool {
	return len(h.ran) > 0 && len(h.ran) >= max(route.MaxAttempts, 1)
}

// candidates returns the upstreams that must not be chosen, and those to which the choice is
// limited; nil for no limit.
func (h *history) candidates(route *routes.Route) (tried, only []fleet.UpstreamID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	tried = slices.DeleteFunc(slices.Clone(h.tried), func(u fleet.UpstreamID) bool { return slices.Contains(h.replaced, u) })
	tried = append(tried, h.rejected...)
	if !h.usedUp(route) {
		return tried, nil
	}
	return tried, slices.Concat([]fleet.UpstreamID{}, h.spare, h.replaced)
}

// formerUpstreams returns the upstreams that the request was moved from and that have not rejected it
// lately.
func (h *history) formerUpstreams() []fleet.UpstreamID {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(h.replaced), func(u fleet.UpstreamID) bool { return slices.Contains(h.rejected, u) })
}

// counts returns how often the request may have been sent, and the number of different
// upstreams that may have run it.
func (h *history) counts() (sends, runs int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sends, len(h.ran)
}
