package load

import (
	"context"
	"io"
	"net/http"
	"time"
)

const (
	// readyInterval is the time between two rounds of readiness checks of a target.
	readyInterval = 250 * time.Millisecond
	// readyTimeout bounds one check.
	readyTimeout = time.Second
)

// trackReadiness restricts the target to the addresses that answer /readyz with 200, as
// the platform's load balancer does. It checks them every readyInterval until ctx ends.
func (t *target) trackReadiness(ctx context.Context, client *http.Client) {
	for {
		var ready []string
		for _, url := range t.URLs {
			if isReady(ctx, client, url) {
				ready = append(ready, url)
			}
		}
		t.mu.Lock()
		if len(ready) > 0 {
			t.ready = ready // if none is ready, the last ready addresses stay in use
		}
		t.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(readyInterval):
		}
	}
}

func isReady(ctx context.Context, client *http.Client, url string) bool {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK
}
