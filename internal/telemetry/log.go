package telemetry

import (
	"io"
	"log/slog"
	"strings"

	"github.com/hashicorp/go-hclog"

	"github.com/wigeonflow/wigeonflow/internal/settings"
)

// Log keys that are common to all packages.
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

// rootName is the first part of every line's module name. timeFormat is the format of
// the lines' timestamps.
const (
	rootName   = "wigeonflow"
	timeFormat = "2006-01-02T15:04:05.000Z07:00"
)

// NewLogger returns the instance's root logger, which writes to w. Packages derive named
// loggers from it.
func NewLogger(s settings.Settings, w io.Writer) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:       rootName,
		Level:      hclog.LevelFromString(s.Log.Level),
		Output:     w,
		JSONFormat: s.Log.JSON,
		TimeFormat: timeFormat,
	}).With(LogInstance, string(s.Instance), LogZone, string(s.Zone))
}

// NewRequestLogger returns a logger for per-request lines. Its JSON lines have the same
// fields as those of NewLogger. Routers log many fields for every request, and hclog takes
// several times as long as slog for such a line.
func NewRequestLogger(s settings.Settings, module string, w io.Writer) *slog.Logger {
	options := &slog.HandlerOptions{Level: slogLevel(s.Log.Level), ReplaceAttr: renameBuiltin}
	var handler slog.Handler = slog.NewTextHandler(w, options)
	if s.Log.JSON {
		handler = slog.NewJSONHandler(w, options)
	}
	return slog.New(handler).With("@module", rootName+"."+module, LogInstance, string(s.Instance), LogZone, string(s.Zone))
}

// slogLevel converts a level of the settings. Trace becomes the debug level. Off becomes the
// error level, which suffices because per-request lines have the info level.
func slogLevel(level string) slog.Level {
	switch hclog.LevelFromString(level) {
	case hclog.Trace, hclog.Debug:
		return slog.LevelDebug
	case hclog.Warn:
		return slog.LevelWarn
	case hclog.Error, hclog.Off:
		return slog.LevelError
	default:
		return slog.LevelInfo
	}
}

// renameBuiltin renames slog's built-in fields to the names that hclog uses.
func renameBuiltin(groups []string, a slog.Attr) slog.Attr {
	if len(groups) > 0 {
		return a
	}
	switch a.Key {
	case slog.TimeKey:
		return slog.String("@timestamp", a.Value.Time().Format(timeFormat))
	case slog.LevelKey:
		return slog.String("@level", strings.ToLower(a.Value.String()))
	case slog.MessageKey:
		a.Key = "@message"
	}
	return a
}
