package gateway

import (
	"errors"
	"log/slog"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/balance"
)

// logDecision logs a decision on the request, with the request's ID and age.
func (f *forwarder) logDecision(message string, args ...any) {
	log := f.server.cfg.Log
	if !log.Enabled(f.r.Context(), slog.LevelInfo) {
		return
	}
	fields := []any{"request", string(f.call.ID), "age", (f.server.cfg.Clock() - f.start).Round(time.Millisecond).String()}
	log.Info(message, append(fields, args...)...)
}

// logError logs a failure of this router on the request.
func (f *forwarder) logError(message string, args ...any) {
	f.server.cfg.Log.Error(message, append([]any{"request", string(f.call.ID)}, args...)...)
}

// recordOutcome counts the request and logs its outcome. status is the status of the
// complete answer, even if writing it to the caller failed, and 0 if there is no complete
// answer. reason is empty if the caller was served.
func (f *forwarder) recordOutcome(status int, reason string) {
	kind := "none"
	if f.route != nil {
		kind = kindNames[f.route.Kind]
	}
	message, outcome := "request served", "served"
	if reason != "" {
		message, outcome = "request failed", "failed"
		f.failure = errors.New(reason)
	}
	f.server.countRequest(kind, outcome, f.server.cfg.Clock()-f.start)
	sends, runs := f.history.counts()
	args := []any{"status", status, "kind", kind, "sends", sends, "runs", runs}
	if f.held > 0 {
		args = append(args, "held", f.held.Round(time.Millisecond).String())
	}
	if f.waited > 0 || f.shed != nil {
		args = append(args, "waited", f.waited.Round(time.Millisecond).String(), "ahead", f.ahead, "class", f.priority)
	}
	if f.pick != nil {
		args = append(args, "upstream", string(f.pick.Upstream.ID), "load", f.pick.Load, "mean", math.Round(f.pick.Mean))
	}
	if f.route != nil {
		args = append(args, "route", f.route.Name)
	}
	if f.workspace != nil {
		args = append(args, "workspace", string(f.workspace.ID))
	}
	if f.table != nil {
		args = append(args, "table", f.table.Version())
		if reason != "" {
			args = append(args, "config_age", f.configAge().Round(time.Millisecond).String())
		}
	}
	if reason != "" {
		now := f.server.cfg.Clock()
		args = append(args, "keys_left", (f.server.cfg.KeysUntil() - now).Round(time.Millisecond).String(),
			"list_age", f.server.cfg.ListAge().Round(time.Millisecond).String(),
			"cpu_wait", f.server.overload.latest().Round(time.Millisecond).String(), "reason", reason)
	}
	if reason != "" {
		args = append(args, f.progress(status)...)
	}
	if reason != "" && f.noAttempt != "" {
		args = append(args, "last_error", f.lastErr, "no_attempt", f.noAttempt)
	}
	f.logDecision(message, args...)
}

// progress returns the fields that tell how far a request that failed had got: the time that it
// was given, the size of its body, and the table in force if that has changed since the request
// was admitted. Without a complete answer, they also tell how many events the caller has.
func (f *forwarder) progress(status int) []any {
	var fields []any
	if f.deadline > 0 {
		fields = append(fields, "limit", (f.deadline - f.start).Round(time.Millisecond).String(), "body", len(f.body))
	}
	if newest := f.server.cfg.Table(); f.table != nil && newest != nil && newest.Version() != f.table.Version() {
		fields = append(fields, "newest_table", newest.Version())
	}
	if status == 0 {
		relayed := 0
		if f.stream != nil {
			relayed = f.stream.events
		}
		fields = append(fields, "begun", f.streamBegun(), "relayed", relayed)
	}
	return fields
}

// formatParts returns the IDs of a prompt's parts in hexadecimal, separated by commas.
func formatParts(parts []balance.PromptPart) string {
	var b strings.Builder
	for i, p := range parts {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(strconv.FormatUint(p.ID, 16))
	}
	return b.String()
}

var kindNames = [...]string{"once", "idempotent", "stream"}
