package cli

import (
	"bytes"
	"io"
	"testing"

	"github.com/matryer/is"
)

func TestRunExitCodes(t *testing.T) {
	cases := []struct {
		name string
		args []string
		code int
	}{
		{"version prints and succeeds", []string{"version"}, exitDone},
		{"no command is a usage error", nil, exitUsage},
		{"an order without its kind is a usage error", []string{"order"}, exitUsage},
		{"an order without an upstream is a usage error", []string{"order", "load", "--model", "m"}, exitUsage},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var out, errs bytes.Buffer
			is.Equal(Run(tc.args, &out, &errs), tc.code)
		})
	}
}

func TestEachCommandIsListedOnce(t *testing.T) {
	is := is.New(t)
	seen := make(map[string]bool)
	for _, c := range commands(io.Discard, io.Discard) {
		is.True(!seen[c.Name]) // the command is new
		seen[c.Name] = true
	}
}
