package mesh

import (
	"bufio"
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newLostConnection returns an accepted connection that is terminated while its reader still has
// frames to handle.
func newLostConnection(t *testing.T, onOpen func(*Stream, openBody)) *connection {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { _ = far.Close() })
	cfg := testConfig.withDefaults()
	c := newConnection(cfg, near, bufio.NewReader(near), "peer")
	c.onOpen = onOpen
	c.terminate()
	return c
}

func openFrame(t *testing.T, method string) frame {
	t.Helper()
	body, err := openBody{Method: method}.marshal()
	if err != nil {
		t.Fatal(err)
	}
	return frame{kind: frameOpen, stream: 1, body: body}
}

func TestStreamOpenedOnLostConnectionEndsProcess(t *testing.T) {
	is := is.New(t)
	opened := 0
	c := newLostConnection(t, func(*Stream, openBody) { opened++ })
	is.True(errors.Is(c.handleFrame(openFrame(t, "m")), ErrConnectionLost))
	is.Equal(opened, 0)
}

// The connection is lost between the opening of the stream and the start of its handler.
func TestHandlerOfStreamOnLostConnectionIsNotCanceled(t *testing.T) {
	is := is.New(t)
	canceled := make(chan error, 1)
	server := NewServer(testConfig)
	server.Handle("wait", func(ctx context.Context, _ *Stream, _ []byte) error {
		select {
		case <-ctx.Done():
			canceled <- nil
		case <-time.After(10 * time.Second):
			canceled <- errors.New("the handler's context is not canceled")
		}
		return nil
	})
	c := newLostConnection(t, nil)
	s := newStream(c, 1, false)
	s.fail(ErrConnectionLost)
	server.startStream(s, openBody{Method: "wait"})
	is.NoErr(<-canceled)
}
