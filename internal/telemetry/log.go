package telemetry

import (
	"io"

	"github.com/hashicorp/go-hclog"

	"github.com/wigeonflow/wigeonflow/internal/settings"
)

// Log keys that every duty uses alike.
const (
	LogInstance  = "instance"
	LogZone      = "zone"
	LogPeer      = "peer"
	LogStep      = "step"
	LogRequest   = "request"
	LogWorkspace = "workspace"
	LogUpstream  = "upstream"
	LogOutcome   = "outcome"
	LogEpoch     = "epoch"
	LogVersion   = "version"
	LogError     = "error"
)

// NewLogger returns the instance's root logger, which writes to w. Duties take
// named loggers from it.
func NewLogger(s settings.Settings, w io.Writer) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:       "wigeonflow",
		Level:      hclog.LevelFromString(s.Log.Level),
		Output:     w,
		JSONFormat: s.Log.JSON,
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
	}).With(LogInstance, string(s.Instance), LogZone, string(s.Zone))
}
