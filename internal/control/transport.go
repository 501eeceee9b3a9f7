package control

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/wigeonflow/wigeonflow/internal/consensus"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/mesh"
)

// MethodStep opens a stream on which only the opener sends: consensus messages to the
// member that accepts the stream.
const MethodStep = "consensus.step"

const (
	// peerQueue bounds the queue of messages to one member. Dropped messages are
	// retransmitted by the consensus protocol.
	peerQueue = 1024
	// redialPause is the time between attempts to connect to a member.
	redialPause = 100 * time.Millisecond
	// sendTimeout bounds sending one message to a member that doesn't read.
	sendTimeout = 2 * time.Second
)

// transport is a consensus.Transport over the mesh. A member's ID is its mesh
// address.
type transport struct {
	pool *mesh.Pool
	log  hclog.Logger
	ctx  context.Context
	// guard confines panics of sending to the messages that are queued: the protocol sends them
	// again.
	guard *fleet.Guard

	mu    sync.Mutex
	peers map[consensus.MemberID]chan consensus.Message
}

func newTransport(ctx context.Context, pool *mesh.Pool, guard *fleet.Guard, log hclog.Logger) *transport {
	return &transport{ctx: ctx, pool: pool, guard: guard, log: log, peers: make(map[consensus.MemberID]chan consensus.Message)}
}

// Send implements consensus.Transport. It never blocks: it drops the message if the
// member's queue is full.
func (t *transport) Send(to consensus.MemberID, m consensus.Message) {
	select {
	case t.queue(to) <- m:
	default:
	}
}

// queue returns the queue of messages to a member, and starts its sender at the
// first call.
func (t *transport) queue(to consensus.MemberID) chan consensus.Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	q := t.peers[to]
	if q == nil {
		q = make(chan consensus.Message, peerQueue)
		t.peers[to] = q
		go t.sendLoop(to, q)
	}
	return q
}

// sendLoop sends the messages to one member, over a new stream after each failure.
func (t *transport) sendLoop(to consensus.MemberID, q chan consensus.Message) {
	for t.ctx.Err() == nil {
		err := t.guard.Confine("control transport", func() error { return t.sendOverStream(to, q) })
		if err != nil {
			t.log.Debug("consensus stream ended", "peer", string(to), "error", err)
		}
		select {
		case <-t.ctx.Done():
		case <-time.After(redialPause):
		}
		discardQueued(q)
	}
}

// discardQueued discards the messages queued for an unreachable member: old messages would
// only delay new ones.
func discardQueued(q chan consensus.Message) {
	for {
		select {
		case <-q:
		default:
			return
		}
	}
}

// sendOverStream opens a stream to a member and sends the queued messages over it until
// it fails.
func (t *transport) sendOverStream(to consensus.MemberID, q chan consensus.Message) error {
	s, err := t.pool.Open(t.ctx, string(to), MethodStep, nil)
	if err != nil {
		return err
	}
	defer s.Close()
	var buf []byte
	for {
		select {
		case <-t.ctx.Done():
			return t.ctx.Err()
		case m := <-q:
			if buf, err = m.MarshalMsg(buf[:0]); err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(t.ctx, sendTimeout)
			err = s.Send(ctx, buf)
			cancel()
			if err != nil {
				return err
			}
		}
	}
}

// receiveHandler returns the handler of MethodStep, which passes a peer's messages to the group.
func receiveHandler(group *consensus.Group) mesh.Handler {
	return func(ctx context.Context, s *mesh.Stream, _ []byte) error {
		for {
			message, err := s.Recv(ctx)
			if err != nil {
				return nil // the peer opens a new stream
			}
			m, err := consensus.DecodeMessage(message)
			if err != nil {
				return err
			}
			group.Receive(m)
		}
	}
}
