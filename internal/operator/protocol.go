package operator

import (
	"strconv"
	"strings"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/lists"
)

// Paths of the operators' HTTP API.
const (
	pathConfig    = "/v1/config"
	pathStatus    = "/v1/status"
	pathUpstreams = "/v1/upstreams"
	pathOrders    = "/v1/orders"
	pathZone      = "/v1/zones/"
	pathInstance  = "/v1/instances/"
	pathUpstream  = "/v1/upstreams/"
)

// Headers of the operators' HTTP API.
const (
	headerOperation = "Idempotency-Key"
	headerOutcome   = "Wigeonflow-Outcome"
	headerExpect    = "If-Match"
	headerVersion   = "ETag"
	anyVersion      = "*"
)

// maxBody bounds a request body in bytes.
const maxBody = 64 << 20

// Values of stateBody.State.
const (
	stateIn  = "in"
	stateOut = "out"
)

// stateBody is the body of a PUT that takes a zone, an instance or an upstream out
// of service or back in.
type stateBody struct {
	State string `json:"state"`
}

// Result is the body of every response to a change.
type Result struct {
	// Version is the version that the change made, or the version in force if the
	// change was rejected.
	Version fleet.ConfigVersion `json:"version"`
	// Decided is set if the control log decided on the command, in which case
	// retries give the same result.
	Decided bool   `json:"decided"`
	Error   string `json:"error,omitempty"`
	// Violations holds the violations if the lists were rejected.
	Violations []lists.Violation `json:"faults,omitempty"`
}

func formatVersion(v fleet.ConfigVersion) string {
	return `"` + strconv.FormatUint(uint64(v), 10) + `"`
}

func parseVersion(tag string) (fleet.ConfigVersion, bool) {
	digits, ok := strings.CutPrefix(tag, `"`)
	if !ok {
		return 0, false
	}
	digits, ok = strings.CutSuffix(digits, `"`)
	if !ok {
		return 0, false
	}
	v, err := strconv.ParseUint(digits, 10, 64)
	return fleet.ConfigVersion(v), err == nil
}
