package answer

import (
	"net/http"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// failStatus returns the HTTP status for a request that failed before any byte of an answer
// was sent to its caller. A request that may not be repeated and may have run gets 409.
func (p *Progress) failStatus(end End) int {
	if p.outcome != fleet.OutcomeNotRun && (p.kind == KindKeyed || p.kind == KindUnkeyed) {
		return http.StatusConflict
	}
	switch end {
	case EndBadRequest:
		return http.StatusBadRequest
	case EndDeadline:
		return http.StatusGatewayTimeout
	case EndCut, EndMisdelivered, EndOwnerLost, EndResumeDeclined:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}
