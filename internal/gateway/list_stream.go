package gateway

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/mesh"
)

var (
	errListGap       = errors.New("the first update does not hold the complete upstream list")
	errListStale     = errors.New("the source's upstream list exceeds the maximum age")
	errSourceChanged = errors.New("the membership assigns another source")
)

// follow applies a source's updates until the stream fails, the source exceeds its idle
// timeout or sends a stale list, or another router is to be followed. The error is
// never nil.
func (l *upstreamList) follow(ctx context.Context, addr string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	known, _ := l.newest() // the list that the source's next update is relative to
	stream, err := l.openList(ctx, addr, known)
	if err != nil {
		return fleet.At(err, "gateway.follow", addr)
	}
	defer stream.Close()
	timeout := sourceIdleTimeout
	if known == nil {
		timeout = firstIdleTimeout
	}
	var last lastReport
	for {
		u, err := receiveUpdate(ctx, stream, timeout)
		if err != nil {
			return fleet.At(err, "gateway.follow", addr)
		}
		timeout = sourceIdleTimeout
		l.mergeSuspicions(&u.Totals) // before new upstreams may get requests
		if known, err = known.apply(l.clock(), u); err != nil {
			return fleet.At(err, "gateway.follow", addr)
		}
		if u.Age > maxListAge {
			return fleet.At(errListStale, "gateway.follow", addr)
		}
		l.adopt(known)
		l.mergeLeaving(&u.Totals) // after the list that it refers to
		if err = l.exchangeLoads(ctx, stream, known, u, &last); err != nil {
			return fleet.At(err, "gateway.follow", addr)
		}
		if source, ok := l.source(); !ok || source.Addr != addr {
			return errSourceChanged
		}
	}
}

// openList opens a stream at a source and sends it the digest of the known list.
func (l *upstreamList) openList(ctx context.Context, addr string, known *snapshot) (*mesh.Stream, error) {
	var request ListRequest
	if known != nil {
		request.Digest = known.digest
	}
	message, err := request.MarshalMsg(nil)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	return l.pool.Open(ctx, addr, MethodList, message)
}

// receiveUpdate receives the next update. The end of the stream is an error as well.
func receiveUpdate(ctx context.Context, stream *mesh.Stream, timeout time.Duration) (*ListUpdate, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	message, err := stream.Recv(ctx)
	if errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	u := new(ListUpdate)
	return u, mesh.Decode(message, u)
}

// serve sends the list and its changes to a follower, and receives its load reports.
func (l *upstreamList) serve(ctx context.Context, stream *mesh.Stream, message []byte) error {
	var request ListRequest
	if err := mesh.Decode(message, &request); err != nil {
		return err
	}
	var sent atomic.Pointer[snapshot] // the latest list sent to this follower
	ctx, cancel := context.WithCancel(ctx)
	received := make(chan struct{})
	go func() {
		defer close(received)
		l.receiveReports(ctx, stream, sent.Load)
	}()
	defer func() {
		cancel()
		<-received
		l.loadTotals.setReport(stream, nil)
	}()
	var last lastReport
	for {
		current, changed := l.newest()
		if err := l.sendUpdate(ctx, stream, current, &sent, request.Digest, &last); err != nil {
			return err
		}
		if err := awaitChange(ctx, changed); err != nil {
			return err
		}
	}
}

// sendUpdate sends the changes that the follower lacks. A stale list is not sent, so
// that the follower switches to another source.
func (l *upstreamList) sendUpdate(ctx context.Context, stream *mesh.Stream, current *snapshot, sent *atomic.Pointer[snapshot], followerDigest uint64, last *lastReport) error {
	now := l.clock()
	if current == nil || now-current.asOf > maxListAge {
		return nil
	}
	u := current.update(sent.Load(), followerDigest, now)
	u.Totals = *l.newReport(current, current.number, l.loadTotals.fleetActivities(now), last)
	message, err := u.MarshalMsg(nil)
	if err != nil {
		return err
	}
	sent.Store(current) // before the follower can report on this list
	return stream.Send(ctx, message)
}

// awaitChange waits for a newer list, or for the next heartbeat.
func awaitChange(ctx context.Context, changed <-chan struct{}) error {
	beat := time.NewTimer(heartbeatInterval)
	defer beat.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-beat.C:
	case <-changed:
	}
	return nil
}
