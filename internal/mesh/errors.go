package mesh

import (
	"errors"
	"fmt"
)

// Codes of a RemoteError that the mesh itself sends.
const (
	// CodeUnknownMethod is the answer to a method that the peer does not serve.
	CodeUnknownMethod = "unknown-method"
	// CodeFailed is the answer of a handler that returned an untyped error.
	CodeFailed = "failed"
	// CodeTooManyStreams is the answer to a stream beyond the peer's limit.
	CodeTooManyStreams = "too-many-streams"
)

var (
	// ErrConnectionLost ends every stream of a connection that broke. What the
	// peer did with the messages sent is not known.
	ErrConnectionLost = errors.New("mesh connection lost")
	// ErrReset ends a stream that its opener gave up.
	ErrReset = errors.New("mesh stream reset by its opener")
	// ErrClosed is the answer of a pool or server that was closed.
	ErrClosed = errors.New("mesh closed")
	// ErrHandshake is the answer to a peer of another version or without the
	// fleet's secret.
	ErrHandshake = errors.New("mesh handshake refused")
)

// RemoteError is an error that the peer ended a stream with.
type RemoteError struct {
	Code    string // machine-readable kind
	Step    string // step at which it arose
	Peer    string // peer with which it arose, as the sender saw it
	Message string
}

func (e *RemoteError) Error() string {
	return fmt.Sprintf("%s at %s (%s): %s", e.Code, e.Step, e.Peer, e.Message)
}

// DialError is a connection that could not be made: nothing was sent.
type DialError struct {
	Addr string
	Err  error
}

func (e *DialError) Error() string { return fmt.Sprintf("dial %s: %v", e.Addr, e.Err) }

func (e *DialError) Unwrap() error { return e.Err }
