package fleet

import (
	"errors"
	"io"
	"testing"

	"github.com/matryer/is"
)

// At must keep the cause reachable, and Located must return the outermost step and
// peer.
func TestAtKeepsCauseStepAndPeer(t *testing.T) {
	is := is.New(t)
	err := At(At(io.EOF, "inner", "p1"), "outer", "p2")
	is.True(errors.Is(err, io.EOF))
	step, peer := Located(err)
	is.Equal(step, "outer")
	is.Equal(peer, "p2")
	is.Equal(At(nil, "x", "y"), nil)
}
