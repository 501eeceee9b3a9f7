package gateway

import (
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// fingerprint returns a hash of what a request asks for: its method, host, target, workspace
// and body. It is the same each time the request arrives, at any router and under any ID.
func fingerprint(r *http.Request, workspace fleet.WorkspaceID, body []byte) uint64 {
	var h xxhash.Digest
	h.Reset()
	for _, field := range [...]string{r.Method, r.Host, r.RequestURI, string(workspace)} {
		_, _ = h.WriteString(field) // writes to a hash never fail
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return h.Sum64()
}

// workspaceID returns the ID of the request's workspace; empty if the route requires no key.
func (f *forwarder) workspaceID() fleet.WorkspaceID {
	if f.workspace == nil {
		return ""
	}
	return f.workspace.ID
}

// formatHash returns a hash in hexadecimal.
func formatHash(hash uint64) string { return strconv.FormatUint(hash, 16) }
