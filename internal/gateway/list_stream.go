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
	errListStale     = errors.New("the source's upstream list exceeds the maximum age, and this router has a newer one")
	errSourceChanged = errors.New("the membership assigns another source")
)

// follow applies a source's updates until the stream fails, the source exceeds its idle
// timeout or sends a stale list while this router has a fresh one, or another router is
// to be followed. While its list exceeds searchAge, a fresh one is searched for. The error
// is never nil.
func (l *upstreamList) follow(ctx context.Context, addr string) error {
	stream, known, err := l.openList(ctx, addr)
	if err != nil {
		return fleet.At(err, "gateway.follow", addr)
	}
	defer stream.Close()
	defer l.pending.Store(false)
	timeout := idleTimeout(known)
	patience := time.Duration(0)
	var received decodedReport
	var reported lastReport
	var pace searchPace
	for {
		u, next, err := l.readUpdate(ctx, stream, timeout, known)
		if err != nil {
			return fleet.At(err, "gateway.follow", addr)
		}
		if u.Pending {
			l.pending.Store(true)
			if err := l.checkSource(ctx, addr); err != nil {
				return err
			}
			continue
		}
		timeout = sourceIdleTimeout
		l.mergeReport(&u.Totals, l.mergeSuspicions) // before new upstreams may get requests
		now := l.clock()
		known = next
		if current, _ := l.newest(); current != nil && isOutdated(now, known, current, patience) {
			return fleet.At(errListStale, "gateway.follow", addr)
		}
		patience = catchUpTime
		l.adopt(known)
		l.mergeReport(&u.Totals, l.mergeLeaving) // after the list that it refers to
		if err = l.exchangeLoads(ctx, stream, known, u, &received, &reported); err != nil {
			return fleet.At(err, "gateway.follow", addr)
		}
		if pace.due(now, known, l.position()) {
			l.search(ctx, addr)
		}
		if err := l.checkSource(ctx, addr); err != nil {
			return err
		}
	}
}

// checkSource returns errSourceChanged if another router than the one at addr is to be followed.
// If that one had failed, it is tried in the background meanwhile.
func (l *upstreamList) checkSource(ctx context.Context, addr string) error {
	switch source, ok := l.source(); {
	case ok && source.Addr == addr:
	case ok && l.hasFailed(source.ID) && l.mayFollow(addr):
		l.retry(ctx, source) // this one serves until that one does
	default:
		return errSourceChanged
	}
	return nil
}

// openList opens a stream at a source, sends it the digest of the current list, and
// returns that list, to which the source's next update is relative.
func (l *upstreamList) openList(ctx context.Context, addr string) (*mesh.Stream, *snapshot, error) {
	request := ListRequest{AcceptsStale: true, AcceptsChanges: true, AcceptsPending: true}
	known, _ := l.newest()
	if known != nil {
		request.Digest = known.digest
	}
	message, err := request.MarshalMsg(nil)
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	stream, err := l.pool.Open(ctx, addr, MethodList, message)
	return stream, known, err
}

// idleTimeout returns the idle timeout for the first update of a router with the given list.
func idleTimeout(known *snapshot) time.Duration {
	if known == nil {
		return firstIdleTimeout
	}
	return sourceIdleTimeout
}

// readUpdate receives the next update and returns it with the list that results from it; that is
// the known one if the update is pending.
func (l *upstreamList) readUpdate(ctx context.Context, stream *mesh.Stream, timeout time.Duration, known *snapshot) (u *ListUpdate, next *snapshot, err error) {
	err = l.guard.Confine("upstream list: read an update", func() (err error) {
		if u, err = receiveUpdate(ctx, stream, timeout); err != nil {
			return err
		}
		next, err = known, nil
		if !u.Pending {
			next, err = known.apply(l.clock(), u)
		}
		return err
	})
	return u, next, err
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
		err := l.guard.Confine("upstream list: receive reports", func() error {
			l.receiveReports(ctx, stream, sent.Load)
			return nil
		})
		if err != nil {
			cancel() // the follower opens a new stream
		}
	}()
	defer func() {
		cancel()
		<-received
		l.loadTotals.setReport(stream, nil)
		l.demandTotals.removeReport(stream)
	}()
	var last lastReport
	for {
		current, changed := l.newest()
		if err := l.sendUpdate(ctx, stream, current, &sent, &request, &last); err != nil {
			return err
		}
		if err := awaitChange(ctx, changed); err != nil {
			return err
		}
	}
}

// sendUpdate sends the changes that the follower lacks. A stale list is only sent to
// followers that accept it: those of earlier releases would otherwise open streams
// without a pause.
func (l *upstreamList) sendUpdate(ctx context.Context, stream *mesh.Stream, current *snapshot, sent *atomic.Pointer[snapshot], request *ListRequest, last *lastReport) error {
	now := l.clock()
	if current == nil {
		return l.sendPending(ctx, stream, request)
	}
	if current.isStale(now) && !request.AcceptsStale {
		return nil
	}
	u := current.update(sent.Load(), request.Digest, now)
	u.Totals = *l.newReport(current, current.number, l.loadTotals.fleetActivities(now), request.AcceptsChanges, last)
	u.Totals.encodeDemands(l.demandTotals.fleetDemands(now))
	u.AcceptsChanges = true
	message, err := u.MarshalMsg(nil)
	if err != nil {
		return err
	}
	sent.Store(current) // before the follower can report on this list
	return stream.Send(ctx, message)
}

// sendPending tells a follower that accepts it that the first list is being read.
func (l *upstreamList) sendPending(ctx context.Context, stream *mesh.Stream, request *ListRequest) error {
	if !request.AcceptsPending || !l.pending.Load() {
		return nil
	}
	message, err := (&ListUpdate{Pending: true}).MarshalMsg(nil)
	if err != nil {
		return err
	}
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
