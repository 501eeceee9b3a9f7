package mesh

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/tinylib/msgp/msgp"
)

// protocolVersion is incremented with every incompatible change of the frames.
const protocolVersion = 2

const (
	frameLengthBytes = 4
	frameFields      = 3
	// frameOverheadBytes is an upper bound of the bytes that a frame's msgpack fields
	// add to its body.
	frameOverheadBytes = 16
)

// DefaultMaxFrameBytes is the default maximum size of a frame.
const DefaultMaxFrameBytes = 8 << 20

type frameKind uint8

const (
	frameHello    frameKind = iota + 1 // handshake, body is a hello
	frameProof                         // handshake, body is a proof
	frameOpen                          // body is an openBody
	frameData                          // body is one message
	frameEnd                           // the sender's messages are complete, body is an endBody
	frameReset                         // the opener canceled the stream
	frameWindow                        // body is the number of bytes that were read
	frameDeflated                      // body is one message, deflated
	framePing                          // requests a framePong
	framePong                          // response to a framePing
)

type frame struct {
	kind   frameKind
	stream uint32
	body   []byte
}

var errFrameTooLong = errors.New("frame exceeds the size limit")

// appendFrame appends the encoded frame to buf.
func appendFrame(buf []byte, kind frameKind, stream uint32, body []byte) []byte {
	start := len(buf)
	buf = append(buf, 0, 0, 0, 0)
	buf = msgp.AppendArrayHeader(buf, frameFields)
	buf = msgp.AppendUint8(buf, uint8(kind))
	buf = msgp.AppendUint32(buf, stream)
	buf = msgp.AppendBytes(buf, body)
	binary.BigEndian.PutUint32(buf[start:], uint32(len(buf)-start-frameLengthBytes))
	return buf
}

// readFrame reads one frame of at most maxBytes. The caller owns the newly allocated
// body.
func readFrame(r *bufio.Reader, maxBytes int) (frame, error) {
	size, err := readLength(r)
	if err != nil {
		return frame{}, err
	}
	if uint64(size) > uint64(maxBytes) {
		return frame{}, fmt.Errorf("%w: %d bytes, at most %d", errFrameTooLong, size, maxBytes)
	}
	buf := make([]byte, size)
	if _, err := io.ReadFull(r, buf); err != nil {
		return frame{}, err
	}
	return decodeFrame(buf)
}

// readLength reads a frame's length. It returns io.EOF only if the connection ends
// between two frames.
func readLength(r *bufio.Reader) (uint32, error) {
	head, err := r.Peek(frameLengthBytes)
	if err != nil {
		if errors.Is(err, io.EOF) && len(head) > 0 {
			err = io.ErrUnexpectedEOF
		}
		return 0, err
	}
	size := binary.BigEndian.Uint32(head)
	_, err = r.Discard(frameLengthBytes) // cannot fail: the bytes are buffered
	return size, err
}

func decodeFrame(buf []byte) (frame, error) {
	fields, buf, err := msgp.ReadArrayHeaderBytes(buf)
	if err != nil {
		return frame{}, err
	}
	if fields != frameFields {
		return frame{}, fmt.Errorf("frame has %d fields, want %d", fields, frameFields)
	}
	kind, buf, err := msgp.ReadUint8Bytes(buf)
	if err != nil {
		return frame{}, err
	}
	stream, buf, err := msgp.ReadUint32Bytes(buf)
	if err != nil {
		return frame{}, err
	}
	body, _, err := msgp.ReadBytesZC(buf)
	if err != nil {
		return frame{}, err
	}
	return frame{kind: frameKind(kind), stream: stream, body: body}, nil
}
