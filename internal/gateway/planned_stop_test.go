package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/routes"
)

// A request that came late in the grace period was passed on and cut at its end.
func TestStoppingRouterPassesOnWhatItWillCut(t *testing.T) {
	const notice = 2500 * time.Millisecond
	cases := []struct {
		name    string
		kind    routes.Kind
		after   time.Duration // since the stop began
		grace   time.Duration
		timeout time.Duration
		status  int
	}{
		{"once, ends in time", routes.KindOnce, 0, 8 * time.Second, 4 * time.Second, http.StatusOK},
		{"once, may be cut", routes.KindOnce, 0, 8 * time.Second, 9 * time.Second, http.StatusServiceUnavailable},
		{"once, late but in time", routes.KindOnce, 6 * time.Second, 8 * time.Second, time.Second, http.StatusOK},
		{"once, too late", routes.KindOnce, 7 * time.Second, 8 * time.Second, 1500 * time.Millisecond, http.StatusServiceUnavailable},
		{"repeatable, within the notice", routes.KindIdempotent, time.Second, 8 * time.Second, 15 * time.Second, http.StatusOK},
		{"repeatable, after the notice", routes.KindIdempotent, 3 * time.Second, 8 * time.Second, 15 * time.Second, http.StatusServiceUnavailable},
		{"repeatable, after the notice, ends in time", routes.KindIdempotent, 3 * time.Second, 8 * time.Second, 2 * time.Second, http.StatusOK},
		{"no grace period", routes.KindOnce, time.Hour, 0, 15 * time.Second, http.StatusOK},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			r := newTestGateway(t, routes.Route{Kind: tc.kind, MaxAttempts: 1, Timeout: tc.timeout}, serveDone)
			r.stopping.Store(true)
			now := r.server.cfg.Clock()
			stop := &fleet.PlannedStop{NoticeEnd: now - tc.after + notice}
			if tc.grace > 0 {
				stop.GraceEnd = now - tc.after + tc.grace
			}
			r.stop.Store(stop)
			resp, _, err := r.send()
			is.NoErr(err)
			is.Equal(resp.StatusCode, tc.status)
			is.True(resp.Close)
			is.Equal(len(r.arrivals()) > 0, tc.status == http.StatusOK)
			is.Equal(resp.Header.Get("Retry-After") != "", tc.status != http.StatusOK)
		})
	}
}

// A request without a byte of its answer at the end of the grace period is cut with the process.
func TestRequestThatWaitsIsUnansweredAtEndOfGracePeriod(t *testing.T) {
	for name, kind := range map[string]routes.Kind{"idempotent": routes.KindIdempotent, "stream": routes.KindStream} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			const grace = 700 * time.Millisecond
			r := newTestGateway(t, routes.Route{Kind: kind, MaxAttempts: 1, Timeout: 4 * time.Second}, awaitClose)
			now := r.server.cfg.Clock()
			r.stopping.Store(true)
			r.stop.Store(&fleet.PlannedStop{NoticeEnd: now + grace/2, GraceEnd: now + grace})
			ctx, cancel := context.WithTimeout(t.Context(), grace)
			defer cancel()
			resp, _, err := r.sendWith(ctx, "POST", "/x", "order")
			is.NoErr(err)
			is.True(resp.StatusCode >= http.StatusInternalServerError)
		})
	}
}
