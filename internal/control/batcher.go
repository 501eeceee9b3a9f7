package control

import (
	"context"
	"sync"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/session"
)

// batcher makes one call for all that ask for its result while an earlier call runs. Everyone gets
// the result of a call that began after it had asked. It is safe for concurrent use.
type batcher[T any] struct {
	call  func() (T, error)
	guard *fleet.Guard // confines panics of call to those that wait for it

	mu      sync.Mutex
	next    *batch[T] // of those that ask while a call runs; nil for none
	running bool
}

// batch is one call and its result.
type batch[T any] struct {
	done   chan struct{} // closed once result and err are set
	result T
	err    error
}

// get returns the result of a call that begins after get was called.
func (b *batcher[T]) get(ctx context.Context) (T, error) {
	mine := b.join()
	select {
	case <-mine.done:
		return mine.result, mine.err
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}

// join returns the batch of the next call, and starts that call unless another one runs.
func (b *batcher[T]) join() *batch[T] {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next == nil {
		b.next = &batch[T]{done: make(chan struct{})}
	}
	mine := b.next
	if !b.running {
		b.running = true
		go b.run()
	}
	return mine
}

// run makes calls until nobody asks for one.
func (b *batcher[T]) run() {
	for current := b.take(); current != nil; current = b.take() {
		current.err = b.guard.Confine("control batch", func() (err error) {
			current.result, err = b.call()
			return err
		})
		close(current.done)
	}
}

// take returns the batch of the next call, or nil and ends the run.
func (b *batcher[T]) take() *batch[T] {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.next
	b.next = nil
	b.running = current != nil
	return current
}

// confirmTimeout bounds one question to the leader. It leaves time for the answer to the routers
// within callTimeout.
const confirmTimeout = 300 * time.Millisecond

// askLeader returns the leader's confirmation.
func (s *Server) askLeader() (*session.RenewReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	addr, _ := s.group.KnownLeader()
	if addr == "" || addr == s.cfg.Addr {
		return nil, s.notLeader(MethodConfirm)
	}
	reply := new(session.RenewReply)
	if err := s.pool.Call(ctx, addr, MethodConfirm, new(session.RenewRequest), reply); err != nil {
		return nil, err
	}
	return reply, nil
}
