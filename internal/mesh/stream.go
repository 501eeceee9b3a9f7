package mesh

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"sync"

	"github.com/wigeonflow/wigeonflow/internal/deflate"
)

// Stream is a bidirectional sequence of messages with a peer. Send and Recv may be
// called concurrently with each other, but each from one goroutine at a time.
type Stream struct {
	conn   *connection
	id     uint32
	opener bool

	mu          sync.Mutex
	queue       [][]byte      // queue[head:] are received and unread messages
	head        int           // queue[:head] were read
	queuedBytes int           // bytes in queue[head:]
	recvErr     error         // set once no more messages will be received
	sendWindow  int           // bytes that may be sent before the peer reads
	unreturned  int           // bytes read and not yet returned in a window frame
	sendClosed  bool          // an end or reset frame was sent
	readable    chan struct{} // capacity 1
	writable    chan struct{} // capacity 1
	cancel      context.CancelFunc
}

func newStream(c *connection, id uint32, opener bool) *Stream {
	return &Stream{
		conn: c, id: id, opener: opener,
		sendWindow: c.cfg.WindowBytes,
		readable:   make(chan struct{}, 1),
		writable:   make(chan struct{}, 1),
	}
}

// Peer returns the instance ID of the peer.
func (s *Stream) Peer() string { return s.conn.peer }

// Err returns the reason why no more messages will be received, or nil if the stream is
// still open for receiving.
func (s *Stream) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recvErr
}

// Pending reports whether Recv would return a message without blocking.
func (s *Stream) Pending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.head < len(s.queue)
}

// Send queues one message. It blocks while a full window is unread by the peer, until
// ctx or the stream ends.
func (s *Stream) Send(ctx context.Context, message []byte) error {
	if len(message) > s.conn.cfg.MaxFrameBytes-frameOverheadBytes {
		return errFrameTooLong
	}
	if err := s.reserveWindow(ctx, len(message)); err != nil {
		return err
	}
	kind, body := encodeMessage(message)
	if !s.conn.writer.write(kind, s.id, body) {
		return ErrConnectionLost
	}
	return nil
}

// minDeflateBytes is the minimum size of a message that is deflated. Smaller messages fit
// into one or two packets anyway.
const minDeflateBytes = 2 << 10

// encodeMessage returns the frame kind and body that carry a message, deflated if that is
// shorter. Flow-control windows count the uncompressed length.
func encodeMessage(message []byte) (frameKind, []byte) {
	if len(message) >= minDeflateBytes {
		if deflated := deflate.Compress(message); len(deflated) < len(message) {
			return frameDeflated, deflated
		}
	}
	return frameData, message
}

// reserveWindow waits until the send window is not exhausted and takes n bytes from it. A
// message may be larger than the rest of the window, so that the window size does not
// limit the message size.
func (s *Stream) reserveWindow(ctx context.Context, n int) error {
	for {
		if taken, err := s.takeWindow(n); taken || err != nil {
			return err
		}
		select {
		case <-s.writable:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// takeWindow takes n bytes from the send window, and reports false if that is exhausted.
func (s *Stream) takeWindow(n int) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sendClosed {
		return false, io.ErrClosedPipe
	}
	if err := s.recvErr; err != nil && !errors.Is(err, io.EOF) {
		return false, err
	}
	if s.sendWindow <= 0 {
		return false, nil
	}
	s.sendWindow -= n
	return true, nil
}

// Recv returns the next message. It returns io.EOF after the peer's last message, a
// *RemoteError if the peer ended the stream with an error, and ErrConnectionLost or
// ErrReset if the stream was cut.
func (s *Stream) Recv(ctx context.Context) ([]byte, error) {
	for {
		message, ok, err := s.next()
		if ok {
			s.sendWindowUpdate(len(message))
			return message, nil
		}
		if err != nil {
			return nil, err
		}
		select {
		case <-s.readable:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// next removes and returns the oldest unread message. If there is none, ok is false, and err tells
// why no more will be received, if so.
func (s *Stream) next() (message []byte, ok bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.head < len(s.queue) {
		return s.dequeue(), true, nil
	}
	return nil, false, s.recvErr
}

// dequeue removes and returns the oldest unread message. It reuses the queue's array from
// the start once all messages were read. The caller holds mu.
func (s *Stream) dequeue() []byte {
	message := s.queue[s.head]
	s.queue[s.head] = nil
	s.head++
	if s.head == len(s.queue) {
		s.queue, s.head = s.queue[:0], 0
	}
	s.queuedBytes -= len(message)
	return message
}

// compact removes the slots of read messages from a full queue, so that a queue that is
// never empty does not grow without limit. The caller holds mu.
func (s *Stream) compact() {
	if s.head == 0 || len(s.queue) < cap(s.queue) || s.head < len(s.queue)/2 {
		return
	}
	n := copy(s.queue, s.queue[s.head:])
	clear(s.queue[n:])
	s.queue, s.head = s.queue[:n], 0
}

// sendWindowUpdate returns n read bytes to the peer's send window, in steps of at least
// half a window.
func (s *Stream) sendWindowUpdate(n int) {
	due := s.takeUnreturned(n)
	if due == 0 {
		return
	}
	var body [4]byte
	binary.BigEndian.PutUint32(body[:], uint32(due))
	s.conn.writer.write(frameWindow, s.id, body[:])
}

// takeUnreturned counts n read bytes and returns how many are to be returned now; 0 for none.
func (s *Stream) takeUnreturned(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreturned += n
	due := s.unreturned
	if due < s.conn.cfg.WindowBytes/2 || s.recvErr != nil {
		return 0
	}
	s.unreturned = 0
	return due
}

// end ends the sending side of the stream with body, unless it has ended already.
func (s *Stream) end(body endBody) {
	if !s.closeSend() {
		return
	}
	encoded, _ := body.MarshalMsg(nil) // cannot fail: the body holds only strings
	s.conn.writer.write(frameEnd, s.id, encoded)
	if !s.opener {
		s.conn.removeStream(s.id)
	}
}

// abort cuts the stream from the side that serves it, unless that has ended it already.
func (s *Stream) abort() {
	if !s.closeSend() {
		return
	}
	s.conn.writer.write(frameReset, s.id, nil)
	s.conn.removeStream(s.id)
}

// closeSend marks the sending side as ended. It returns false if it was already.
func (s *Stream) closeSend() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sendClosed {
		return false
	}
	s.sendClosed = true
	return true
}

// Close cancels the stream. The context of the peer's handler is canceled unless the
// stream has ended already.
func (s *Stream) Close() {
	s.conn.removeStream(s.id)
	if s.Err() != nil {
		return
	}
	s.fail(ErrReset)
	s.conn.writer.write(frameReset, s.id, nil)
}

// deliver queues a received message. It returns false if the sender has exceeded its window.
func (s *Stream) deliver(message []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.recvErr != nil {
		return true
	}
	// The sender may exceed its window by one message.
	if s.queuedBytes > s.conn.cfg.WindowBytes+s.conn.cfg.MaxFrameBytes {
		return false
	}
	if s.head == len(s.queue) {
		signal(s.readable) // a reader waits only if the queue was empty
	}
	s.compact()
	s.queue = append(s.queue, message)
	s.queuedBytes += len(message)
	return true
}

// setCancel sets the function that cancels the handler's context, and calls it if the stream has
// failed before.
func (s *Stream) setCancel(cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancel = cancel
	if s.recvErr != nil && !errors.Is(s.recvErr, io.EOF) {
		cancel()
	}
}

// fail ends the receiving side with err, unless it has ended already, and wakes blocked
// calls. An err other than io.EOF cancels the handler's context too.
func (s *Stream) fail(err error) {
	cancel := s.setRecvErr(err)
	signal(s.readable)
	signal(s.writable)
	if cancel != nil && !errors.Is(err, io.EOF) {
		cancel()
	}
}

// setRecvErr sets the reason why no more messages will be received, unless there is one, and
// returns the function that cancels the handler's context, if any.
func (s *Stream) setRecvErr(err error) context.CancelFunc {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.recvErr == nil {
		s.recvErr = err
	}
	return s.cancel
}

// extendWindow adds the n bytes that the peer has read to the send window.
func (s *Stream) extendWindow(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sendWindow += n
	signal(s.writable)
}

// signal wakes the goroutine that waits on ch, or the next one that does.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
