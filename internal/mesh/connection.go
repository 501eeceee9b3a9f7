package mesh

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"

	"github.com/wigeonflow/wigeonflow/internal/deflate"
)

const readBufferBytes = 8 << 10

// connection is a TCP connection that carries many streams.
type connection struct {
	cfg    *Config
	conn   net.Conn
	reader *bufio.Reader
	writer *frameWriter
	peer   string
	// onOpen serves a stream that the peer opened; nil on a dialed connection.
	onOpen func(*Stream, openBody)

	lastReceived atomic.Int64 // time of the last received frame, in nanoseconds of monotonicNow

	mu           sync.Mutex
	streams      map[uint32]*Stream
	lastStreamID uint32
	lost         bool
	done         chan struct{}
}

func newConnection(cfg *Config, conn net.Conn, in *bufio.Reader, peer string) *connection {
	c := &connection{
		cfg: cfg, conn: conn, reader: in, peer: peer,
		writer:  newFrameWriter(conn),
		streams: make(map[uint32]*Stream),
		done:    make(chan struct{}),
	}
	c.lastReceived.Store(int64(monotonicNow()))
	return c
}

// run reads and writes frames until the connection is lost, as it is after a panic. It logs the
// reason unless the connection was closed by either side.
func (c *connection) run() {
	go func() {
		if err := c.cfg.Guard.Confine("mesh connection: write", c.writer.run); err != nil {
			c.cfg.Logger.Debug("mesh write failed", "peer", c.peer, "error", err)
		}
		_ = c.conn.Close()
	}()
	err := c.cfg.Guard.Confine("mesh connection: read", c.readFrames)
	if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		c.cfg.Logger.Info("mesh connection lost", "peer", c.peer, "error", err)
	}
	c.terminate()
}

// readFrames reads and handles frames until reading fails or the peer violates the protocol.
func (c *connection) readFrames() error {
	for {
		f, err := readFrame(c.reader, c.cfg.MaxFrameBytes)
		if err != nil {
			return err
		}
		c.lastReceived.Store(int64(monotonicNow()))
		if err := c.handleFrame(f); err != nil {
			return err
		}
	}
}

// handleFrame processes one received frame. An error ends the connection.
func (c *connection) handleFrame(f frame) error {
	switch f.kind {
	case frameOpen:
		return c.handleOpen(f)
	case framePing:
		c.writer.write(framePong, 0, nil)
		return nil
	case framePong:
		return nil
	}
	s := c.stream(f.stream)
	if s == nil {
		return nil // the frame was in flight when the stream ended
	}
	switch f.kind {
	case frameData, frameDeflated:
		return c.handleData(s, f)
	case frameWindow:
		if len(f.body) != 4 {
			return fmt.Errorf("malformed window frame on stream %d: body has %d bytes, want 4", f.stream, len(f.body))
		}
		s.extendWindow(int(binary.BigEndian.Uint32(f.body)))
	case frameReset:
		c.removeStream(f.stream)
		s.fail(ErrReset)
	case frameEnd:
		return c.handleEnd(s, f)
	default:
		return fmt.Errorf("unexpected frame of kind %d on open stream %d", f.kind, f.stream)
	}
	return nil
}

func (c *connection) handleData(s *Stream, f frame) error {
	message := f.body
	if f.kind == frameDeflated {
		var err error
		if message, err = deflate.Decompress(f.body, c.cfg.MaxFrameBytes); err != nil {
			return err
		}
	}
	if !s.deliver(message) {
		return fmt.Errorf("stream %d: the peer exceeded the flow-control window of %d bytes by more than one message", f.stream, c.cfg.WindowBytes)
	}
	return nil
}

// handleOpen serves a stream that the peer opened, or ends it if too many are open. It returns
// ErrConnectionLost if the connection was terminated while the frame was read.
func (c *connection) handleOpen(f frame) error {
	var body openBody
	if _, err := body.UnmarshalMsg(f.body); err != nil || c.onOpen == nil {
		return errors.New("received a stream-open frame that is malformed, or on the dialing side, which accepts no streams")
	}
	s := newStream(c, f.stream, false)
	added, err := c.addOpened(s)
	if err != nil {
		return err
	}
	if !added {
		s.end(endBody{Code: CodeTooManyStreams, Step: "mesh.open", Message: "too many streams"})
		return nil
	}
	c.onOpen(s, body)
	return nil
}

// addOpened adds a stream that the peer has opened, and reports false if too many are open. It
// returns ErrConnectionLost if the connection is terminated.
func (c *connection) addOpened(s *Stream) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lost {
		return false, ErrConnectionLost
	}
	if len(c.streams) >= c.cfg.MaxStreams {
		return false, nil
	}
	c.streams[s.id] = s
	return true, nil
}

// handleEnd ends the receiving side of s with io.EOF or the peer's error.
func (c *connection) handleEnd(s *Stream, f frame) error {
	var body endBody
	if _, err := body.UnmarshalMsg(f.body); err != nil {
		return fmt.Errorf("malformed end frame on stream %d: %v", f.stream, err)
	}
	if s.opener {
		c.removeStream(f.stream)
	}
	if body.Code == "" {
		s.fail(io.EOF)
		return nil
	}
	s.fail(&RemoteError{Code: body.Code, Step: body.Step, Peer: body.Peer, Message: body.Message})
	return nil
}

// openStream opens a stream for a method and sends its first message.
func (c *connection) openStream(method string, message []byte) (*Stream, error) {
	body, err := openBody{Method: method, Message: message}.marshal()
	if err != nil {
		return nil, err
	}
	if len(body) > c.cfg.MaxFrameBytes-frameOverheadBytes {
		return nil, errFrameTooLong
	}
	s, err := c.addNext()
	if err != nil {
		return nil, err
	}
	c.writer.write(frameOpen, s.id, body)
	return s, nil
}

// addNext adds the next stream of this side. It returns ErrConnectionLost if the connection is
// terminated.
func (c *connection) addNext() (*Stream, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lost {
		return nil, ErrConnectionLost
	}
	c.lastStreamID++
	s := newStream(c, c.lastStreamID, true)
	c.streams[s.id] = s
	return s, nil
}

func (b openBody) marshal() ([]byte, error) { return b.MarshalMsg(nil) }

// stream returns the stream with the given ID, or nil if it is not open.
func (c *connection) stream(id uint32) *Stream {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.streams[id]
}

func (c *connection) removeStream(id uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.streams, id)
}

// terminate closes the connection and ends every stream with ErrConnectionLost.
func (c *connection) terminate() {
	streams, first := c.markLost()
	if !first {
		return
	}
	close(c.done)
	c.writer.close()
	_ = c.conn.Close()
	for _, s := range streams {
		s.fail(ErrConnectionLost)
	}
}

// markLost marks the connection as lost and removes its streams. It reports whether this is the
// first call.
func (c *connection) markLost() (streams map[uint32]*Stream, first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lost {
		return nil, false
	}
	streams = c.streams
	c.lost, c.streams = true, nil
	return streams, true
}

func (c *connection) isLost() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lost
}
