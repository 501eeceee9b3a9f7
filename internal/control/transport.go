package control

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/wigeonflow/wigeonflow/internal/consensus"
	"github.com/wigeonflow/wigeonflow/internal/mesh"
)

// MethodStep carries consensus messages: the opener sends, nothing comes back.
const MethodStep = "consensus.step"

const (
	// peerQueue bounds the messages that wait for one member; the log repeats
	// what is dropped.
	peerQueue = 1024
	// redialPause spaces connection attempts to a member.
	redialPause = 100 * time.Millisecond
	// sendTimeout bounds waiting for a member that reads nothing.
	sendTimeout = 2 * time.Second
)

// transport sends consensus messages over the mesh. A member's ID is its mesh
// address.
type transport struct {
	pool *mesh.Pool
	log  hclog.Logger
	ctx  context.Context

	mu    sync.Mutex
	peers map[consensus.MemberID]chan consensus.Message
}

func newTransport(ctx context.Context, pool *mesh.Pool, log hclog.Logger) *transport {
	return &transport{ctx: ctx, pool: pool, log: log, peers: make(map[consensus.MemberID]chan consensus.Message)}
}

// Send implements consensus.Transport.
func (t *transport) Send(to consensus.MemberID, m consensus.Message) {
	select {
	case t.queue(to) <- m:
	default:
	}
}

func (t *transport) queue(to consensus.MemberID) chan consensus.Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	q := t.peers[to]
	if q == nil {
		q = make(chan consensus.Message, peerQueue)
		t.peers[to] = q
		go t.run(to, q)
	}
	return q
}

// run sends one member's messages, over a new stream after each failure.
func (t *transport) run(to consensus.MemberID, q chan consensus.Message) {
	for t.ctx.Err() == nil {
		if err := t.stream(to, q); err != nil {
			t.log.Debug("consensus stream ended", "peer", string(to), "error", err)
		}
		select {
		case <-t.ctx.Done():
		case <-time.After(redialPause):
		}
		drain(q)
	}
}

// drain drops what waited for an unreachable member: old messages only delay
// the new ones.
func drain(q chan consensus.Message) {
	for {
		select {
		case <-q:
		default:
			return
		}
	}
}

func (t *transport) stream(to consensus.MemberID, q chan consensus.Message) error {
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

// receive hands a peer's messages to the group.
func receive(group *consensus.Group) mesh.Handler {
	return func(ctx context.Context, s *mesh.Stream, _ []byte) error {
		for {
			message, err := s.Recv(ctx)
			if err != nil {
				return nil // the peer opens a new stream
			}
			var m consensus.Message
			if _, err := m.UnmarshalMsg(message); err != nil {
				return err
			}
			group.Receive(m)
		}
	}
}
