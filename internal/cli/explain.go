package cli

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// explainFields are the log fields that are compared with the ID.
var explainFields = []string{"request", "upstream", "peer", "instance", "version", "table", "workspace", "route", "operation"}

// maxLogLineBytes limits the length of a log line. A longer line ends the command with an
// error.
const maxLogLineBytes = 1 << 20

func explainCommand(stdout, stderr io.Writer) *ffcli.Command {
	fs := flag.NewFlagSet("explain", flag.ContinueOnError)
	fs.SetOutput(stderr)
	return &ffcli.Command{
		Name: "explain", ShortUsage: "wigeonflow explain ID < LOGS", FlagSet: fs,
		ShortHelp: "Merge the JSON log lines of several processes about a request, an upstream, a router or a version.",
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 {
				return &exitError{exitUsage, errors.New("explain needs exactly one ID")}
			}
			return explain(args[0], os.Stdin, stdout)
		},
	}
}

// logLine is a log line with the ID in one of explainFields.
type logLine struct {
	at     string // RFC 3339, so that the order of strings is that of times
	fields map[string]any
}

// explain prints the log lines that have id in one of explainFields, in the order of their
// times, and then a line with the cause of the failure.
func explain(id string, logs io.Reader, out io.Writer) error {
	lines, err := matchingLines(id, logs)
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return &exitError{exitFailure, fmt.Errorf("no log line has the ID %q in one of the fields %s", id, strings.Join(explainFields, ", "))}
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return strings.Compare(a.at, b.at) })
	for _, l := range lines {
		if _, err := fmt.Fprintln(out, l); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintf(out, "cause: %s\n", cause(lines))
	return err
}

// matchingLines returns the JSON log lines that have id in one of explainFields.
func matchingLines(id string, logs io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		// Log collectors add a prefix to each line.
		_, text, found := strings.Cut(scanner.Text(), "{")
		if !found {
			continue
		}
		var fields map[string]any
		if json.Unmarshal([]byte("{"+text), &fields) != nil {
			continue // not a JSON log line
		}
		if hasID(fields, id) {
			lines = append(lines, logLine{at: field(fields, "@timestamp"), fields: fields})
		}
	}
	return lines, scanner.Err()
}

// hasID reports whether one of explainFields equals id.
func hasID(fields map[string]any, id string) bool {
	for _, name := range explainFields {
		if field(fields, name) == id {
			return true
		}
	}
	return false
}

// field returns a string or number field as text, or "" for other types.
func field(fields map[string]any, name string) string {
	switch v := fields[name].(type) {
	case string:
		return v
	case float64:
		return strconv.FormatFloat(v, 'f', -1, 64)
	default:
		return ""
	}
}

// String formats the line as time, instance, message and the other fields.
func (l logLine) String() string {
	var others []string
	for name := range l.fields {
		if !strings.HasPrefix(name, "@") && name != "instance" && name != "zone" {
			others = append(others, fmt.Sprintf("%s=%v", name, l.fields[name]))
		}
	}
	slices.Sort(others)
	return fmt.Sprintf("%s %s %s: %s", l.at, field(l.fields, "instance"), field(l.fields, "@message"), strings.Join(others, " "))
}

// cause returns the reason or error field of the newest line that has one.
func cause(lines []logLine) string {
	for _, l := range slices.Backward(lines) {
		for _, name := range []string{"reason", "error"} {
			if text := field(l.fields, name); text != "" {
				return text
			}
		}
	}
	return "no log line with the ID reports a reason or error"
}
