package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/lists"
)

func newStoppingServer(now time.Duration, stop *fleet.PlannedStop) *Server {
	return NewServer(Config{
		Clock: func() time.Duration { return now }, Stopping: func() bool { return stop != nil },
		Stop: func() *fleet.PlannedStop { return stop }, Serving: func() error { return nil },
		Logger: hclog.NewNullLogger(), Metrics: metrics.NewRegistry(),
	})
}

// A request that came late in the grace period was passed on and cut at its end.
func TestStoppingRouterAcceptsLateRequests(t *testing.T) {
	stop := &fleet.PlannedStop{NoticeEnd: time.Minute + 2*time.Second, GraceEnd: time.Minute + 30*time.Second}
	cases := []struct {
		name   string
		now    time.Duration
		status int
	}{
		{"within the notice", time.Minute + time.Second, http.StatusUnauthorized}, // it has no key
		{"after the notice", time.Minute + 2*time.Second, http.StatusServiceUnavailable},
		{"at the end of the grace", time.Minute + 30*time.Second, http.StatusServiceUnavailable},
	}
	for _, path := range []string{"/v1/chat/completions", "/services/counter/pickups"} {
		for _, tc := range cases {
			t.Run(path+" "+tc.name, func(t *testing.T) {
				is := is.New(t)
				w := httptest.NewRecorder()
				newStoppingServer(tc.now, stop).ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, nil))
				is.Equal(w.Code, tc.status)
				is.Equal(w.Header().Get("Connection"), "close")
				is.Equal(w.Header().Get("Retry-After") != "", tc.status == http.StatusServiceUnavailable)
			})
		}
	}
}

// A call that was accepted had its connection closed without an answer at the end of the grace.
func TestStoppingRouterCutsCalls(t *testing.T) {
	is := is.New(t)
	const now = time.Minute
	deadline := func(stop *fleet.PlannedStop) time.Duration {
		s := newStoppingServer(now, stop)
		r := httptest.NewRequest(http.MethodPost, "/services/counter/pickups", nil)
		return s.newCallRun(r, &lists.Service{Name: "counter"}, "r", &lists.Workspace{}, "", nil).deadline
	}
	is.Equal(deadline(nil), now+DefaultCallTimeout)
	is.Equal(deadline(&fleet.PlannedStop{GraceEnd: now + time.Hour}), now+DefaultCallTimeout)
	cut := now + 20*time.Second
	capped := deadline(&fleet.PlannedStop{GraceEnd: cut})
	is.True(capped < cut) // answered before
	is.True(capped > cut-time.Second)
}
