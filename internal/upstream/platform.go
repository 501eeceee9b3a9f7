package upstream

import (
	"context"
	"net/http"
	"sync"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// Platform lists the upstreams that exist.
type Platform interface {
	// Instances returns the platform's latest list, which may lag.
	Instances(ctx context.Context) (InstanceList, error)
}

// InstanceList is the platform's list of live and leaving upstreams.
type InstanceList struct {
	// AsOfMillis is the time of the list in Unix milliseconds of the platform's clock.
	AsOfMillis int64            `json:"as_of_ms"`
	Instances  []fleet.Upstream `json:"instances"`
}

// HTTPPlatform is a Platform over HTTP. It sends the ETag of the previous answer
// (RFC 9110, section 13), so that an unchanged list is not transferred again. It is
// safe for concurrent use.
type HTTPPlatform struct {
	base client

	mu   sync.Mutex
	tag  string // ETag of last; empty if the platform sends none
	last InstanceList
}

// NewPlatform returns the platform at addr, an IP:port.
func NewPlatform(addr string, httpClient *http.Client) *HTTPPlatform {
	return &HTTPPlatform{base: newClient(addr, httpClient)}
}

var _ Platform = (*HTTPPlatform)(nil)

// Instances implements Platform.
func (p *HTTPPlatform) Instances(ctx context.Context) (InstanceList, error) {
	const step = "platform.instances"
	p.mu.Lock()
	defer p.mu.Unlock()
	header := make(http.Header)
	if p.tag != "" {
		header.Set("If-None-Match", p.tag)
	}
	resp, err := p.base.get(ctx, step, "/instances", header)
	if err != nil {
		return InstanceList{}, err
	}
	defer drain(resp.Body)
	switch {
	case resp.StatusCode == http.StatusNotModified && p.tag != "":
		return p.last, nil
	case resp.StatusCode != http.StatusOK:
		return InstanceList{}, p.base.statusError(step, resp)
	}
	var list InstanceList
	if err := p.base.readJSON(step, resp.Body, &list); err != nil {
		return InstanceList{}, err
	}
	p.tag, p.last = resp.Header.Get("ETag"), list
	return list, nil
}
