package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/routes"
)

// A newer table may have the route or the key, and callers don't retry these rejections.
func TestFinalRejectionRestsOnAConfirmedTable(t *testing.T) {
	cases := []struct {
		name, path, key, body string
		status                int // with a table that was just confirmed
	}{
		{"unknown route", "/nowhere", "good", "order", http.StatusNotFound},
		{"unknown key", "/x", "bad", "order", http.StatusUnauthorized},
		{"body over the limit", "/x", "good", "a long order", http.StatusRequestEntityTooLarge},
	}
	for _, tc := range cases {
		for age, status := range map[time.Duration]int{
			0: tc.status, time.Second: tc.status, 2100 * time.Millisecond: http.StatusServiceUnavailable,
		} {
			t.Run(tc.name+", "+age.String(), func(t *testing.T) {
				is := is.New(t)
				r := newTestGateway(t, routes.Route{Kind: routes.KindOnce, MaxAttempts: 1}, serveDone)
				r.table.Routes[0].Prefix = "/x"
				r.table.Workspaces = []routes.Workspace{{ID: "w", Keys: []string{"good"}}}
				r.table.Limits.MaxBodyBytes = 8
				r.configAge = age
				r.startServer()
				resp, _, err := r.sendWith(t.Context(), "POST", tc.path, tc.body, "Key", tc.key)
				is.NoErr(err)
				is.Equal(resp.StatusCode, status)
				is.Equal(resp.Header.Get("Retry-After") != "", status == http.StatusServiceUnavailable)
				is.Equal(len(r.arrivals()), 0)
			})
		}
	}
}

// A route may have moved or a key may be gone in a newer table that was acknowledged.
func TestNothingIsServedByAnUnconfirmedTable(t *testing.T) {
	cases := []struct {
		name    string
		age     time.Duration
		contact bool
		newer   bool // a newer table is known
		status  int
	}{
		{"just confirmed", 0, true, false, http.StatusOK},
		{"an election", 2100 * time.Millisecond, true, false, http.StatusOK},
		{"in contact without a confirmation", 3100 * time.Millisecond, true, false, http.StatusServiceUnavailable},
		{"cut off from the control group", 3100 * time.Millisecond, false, false, http.StatusOK},
		{"a newer table is being read", time.Second, true, true, http.StatusOK},
		{"a newer table can't be read", 2100 * time.Millisecond, true, true, http.StatusServiceUnavailable},
		{"cut off from a newer table", 2100 * time.Millisecond, false, true, http.StatusServiceUnavailable},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			r := newTestGateway(t, routes.Route{Kind: routes.KindOnce, MaxAttempts: 1}, serveDone)
			r.configAge, r.contact, r.superseded = tc.age, tc.contact, tc.newer
			r.startServer()
			resp, _, err := r.send()
			is.NoErr(err)
			is.Equal(resp.StatusCode, tc.status)
			is.Equal(resp.Header.Get("Retry-After") != "", tc.status == http.StatusServiceUnavailable)
			is.Equal(len(r.arrivals()) > 0, tc.status == http.StatusOK)
		})
	}
}
