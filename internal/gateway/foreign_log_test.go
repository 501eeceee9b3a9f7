package gateway

import (
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/routes"
)

// byteCount counts the bytes that are written to it.
type byteCount struct{ atomic.Int64 }

func (c *byteCount) Write(b []byte) (int, error) {
	c.Add(int64(len(b)))
	return len(b), nil
}

// The error of a head that is no answer quotes its line, up to 64 KiB. It was kept for as long as
// the request lasted, and written to the log.
func TestForeignHeadIsLoggedWhole(t *testing.T) {
	is := is.New(t)
	var logged byteCount
	foreign := func(c *conn) { c.write(strings.Repeat("x", 60<<10), "\r\n\r\n") }
	r := newTestGateway(t, routes.Route{Kind: routes.KindIdempotent, MaxAttempts: 2}, foreign, foreign)
	r.server.cfg.Log = slog.New(slog.NewTextHandler(&logged, nil))
	resp, _, err := r.send()
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusBadGateway)
	r.awaitIdle()
	is.True(logged.Load() < 16<<10)
}
