package mesh

import (
	"errors"
	"fmt"
)

// Codes of a RemoteError that the mesh itself sends.
const (
	// CodeUnknownMethod rejects a stream for a method that the peer does not serve.
	CodeUnknownMethod = "unknown-method"
	// CodeFailed ends a stream whose handler returned an untyped error.
	CodeFailed = "failed"
	// CodeTooManyStreams rejects a stream beyond the peer's limit.
	CodeTooManyStreams = "too-many-streams"
)

var (
	// ErrConnectionLost ends every stream of a connection that broke. Whether the
	// peer has processed the messages sent is unknown.
	ErrConnectionLost = errors.New("mesh connection lost")
	// ErrReset ends a stream that its opener canceled, or whose handler has panicked. Whether
	// the peer has processed the messages sent is unknown.
	ErrReset = errors.New("mesh stream reset by the peer")
	// ErrClosed is returned by a pool or server after it has been closed.
	ErrClosed = errors.New("mesh closed")
	// ErrHandshake reports a peer with another protocol version or without the
	// fleet's secret.
	ErrHandshake = errors.New("mesh handshake rejected")
)

// RemoteError is the error with which the peer ended a stream.
type RemoteError struct {
	Code    string // machine-readable kind
	Step    string // step at which the error occurred
	Peer    string // peer involved in the step, as seen by the sender
	Message string
}

func (e *RemoteError) Error() string {
	return fmt.Sprintf("%s at %s (%s): %s", e.Code, e.Step, e.Peer, e.Message)
}

// DialError reports that no connection could be established, so nothing was sent.
type DialError struct {
	Addr string
	Err  error
}

func (e *DialError) Error() string { return fmt.Sprintf("dial %s: %v", e.Addr, e.Err) }

func (e *DialError) Unwrap() error { return e.Err }
