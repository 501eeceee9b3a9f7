package upstream

import (
	"context"
	"net/http"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// Platform lists the instances that exist.
type Platform interface {
	// Instances returns the platform's latest, lagging, list.
	Instances(ctx context.Context) (InstanceList, error)
}

// InstanceList is the platform's list of live and leaving upstreams.
type InstanceList struct {
	// AsOfMillis is when the platform took the list, in Unix milliseconds of its
	// own clock.
	AsOfMillis int64            `json:"as_of_ms"`
	Instances  []fleet.Upstream `json:"instances"`
}

// HTTPPlatform is a Platform over HTTP.
type HTTPPlatform struct {
	base client
}

// NewPlatform returns the platform at addr, an IP:port.
func NewPlatform(addr string, httpClient *http.Client) *HTTPPlatform {
	return &HTTPPlatform{base: newClient(addr, httpClient)}
}

var _ Platform = (*HTTPPlatform)(nil)

// Instances implements Platform.
func (p *HTTPPlatform) Instances(ctx context.Context) (InstanceList, error) {
	var list InstanceList
	err := p.base.getJSON(ctx, "platform.instances", "/instances", &list)
	if err != nil {
		return InstanceList{}, err
	}
	return list, nil
}
