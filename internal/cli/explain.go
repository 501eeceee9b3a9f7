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

// explainFields are the log fields by which lines are about the same thing.
var explainFields = []string{"request", "upstream", "peer", "instance", "version", "table", "workspace", "route", "operation"}

// maxLogLine bounds one line of a log in bytes.
const maxLogLine = 1 << 20

func explainCommand(stdout, stderr io.Writer) *ffcli.Command {
	fs := flag.NewFlagSet("explain", flag.ContinueOnError)
	fs.SetOutput(stderr)
	return &ffcli.Command{
		Name: "explain", ShortUsage: "wigeonflow explain ID < LOGS", FlagSet: fs,
		ShortHelp: "Join what several processes' JSON logs say of a request, an upstream, a router or a version.",
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 {
				return &exitError{exitUsage, errors.New("explain needs one ID")}
			}
			return explain(args[0], os.Stdin, stdout)
		},
	}
}

// logLine is one line of a log that is about what is asked.
type logLine struct {
	at     string // RFC 3339, so that texts order as times
	fields map[string]any
}

// explain prints the lines of the logs that name id, in the order of their times,
// and in the last line why it ended so.
func explain(id string, logs io.Reader, out io.Writer) error {
	lines, err := linesAbout(id, logs)
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return &exitError{exitRefused, fmt.Errorf("no line of the logs names %s", id)}
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

func linesAbout(id string, logs io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		// Collectors put their own words in front of a line.
		_, text, found := strings.Cut(scanner.Text(), "{")
		if !found {
			continue
		}
		var fields map[string]any
		if json.Unmarshal([]byte("{"+text), &fields) != nil {
			continue // not a line of the fleet's log
		}
		if about(fields, id) {
			lines = append(lines, logLine{at: field(fields, "@timestamp"), fields: fields})
		}
	}
	return lines, scanner.Err()
}

func about(fields map[string]any, id string) bool {
	for _, name := range explainFields {
		if field(fields, name) == id {
			return true
		}
	}
	return false
}

// field returns a field's text; numbers as they are written.
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

// String returns the line for a reader: time, process, message and the rest.
func (l logLine) String() string {
	var rest []string
	for name := range l.fields {
		if !strings.HasPrefix(name, "@") && name != "instance" && name != "zone" {
			rest = append(rest, fmt.Sprintf("%s=%v", name, l.fields[name]))
		}
	}
	slices.Sort(rest)
	return fmt.Sprintf("%s %s %s: %s", l.at, field(l.fields, "instance"), field(l.fields, "@message"), strings.Join(rest, " "))
}

// cause returns the reason or error of the newest line that has one.
func cause(lines []logLine) string {
	for _, l := range slices.Backward(lines) {
		for _, name := range []string{"reason", "error"} {
			if text := field(l.fields, name); text != "" {
				return text
			}
		}
	}
	return "none of the lines tells of a failure"
}
