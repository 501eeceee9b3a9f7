package demo

import (
	"context"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/agent"
)

// A router without configuration knows no key. It must reject requests with 503 rather
// than 401, since their keys may be valid.
func TestRouterWithoutConfigurationRejectsWith503(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	opts := Options{Dir: t.TempDir(), Routers: 1}
	f := &Fleet{opts: opts.withDefaults()}
	is.NoErr(f.startStandins())
	network, err := newNetwork()
	is.NoErr(err)
	f.assignSettings(network)
	router, err := agent.Start(ctx, f.settings[1], f.opts.Log) // no control member runs
	is.NoErr(err)
	resp, _, err := f.Do(ctx, 0, http.MethodPost, "/v1/chat/completions", "", validChat)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable) // not 401: the key may be valid
	is.Equal(resp.Header.Get("Wigeonflow-Outcome"), "not-run")
	stopped, stop := context.WithCancel(ctx)
	stop() // the router has no lease to release, so Stop need not wait
	_ = router.Stop(stopped)
	is.NoErr(f.Stop(ctx))
}
