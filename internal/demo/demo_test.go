package demo

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestRunServesChatsLookupAndBooking(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(Run(context.Background(), &out))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 7)
	for _, line := range lines {
		is.True(strings.Contains(line, "outcome ran"))
	}
	is.True(!strings.Contains(lines[2], "cached   0"))      // the first chat returned to the engine that caches its prefix
	is.True(strings.HasSuffix(lines[6], "the same answer")) // the repeated key got the stored answer
}
