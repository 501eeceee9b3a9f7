package gateway

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/mesh"
	"github.com/wigeonflow/wigeonflow/internal/placement"
)

// MethodList opens a stream on which a router sends the platform's list and its
// changes.
const MethodList = "gateway.list"

const (
	// beatInterval spaces the updates of a stream while nothing changes.
	beatInterval = 400 * time.Millisecond
	// sourceSilence is how long a source may send nothing before a follower reads the
	// list itself. With the interval of reads it stays below the time in which a
	// leaving upstream must get no more work.
	sourceSilence = time.Second
	// maxSources is how many routers of the ranking are tried before a router reads
	// the list itself.
	maxSources = 2
	// sourceRetry is how long a source that failed is passed over.
	sourceRetry = 5 * time.Second
	// followTimeout bounds opening a stream.
	followTimeout = 500 * time.Millisecond
)

// listsConfig holds what lists are set up with.
type listsConfig struct {
	log      hclog.Logger
	clock    fleet.Clock
	self     fleet.InstanceID
	lister   Lister
	interval time.Duration // between two reads of the platform's list
	pool     *mesh.Pool
	members  func() fleet.Membership
	loads    Loads
	take     func(asOf time.Duration, s *snapshot)
}

// lists keeps the platform's list. One router of the fleet reads it from the
// platform, the first of a ranking that all compute alike; the others follow that
// router. Whoever hears nothing from its source reads the list itself and follows
// the next one, which reads the list because it is followed.
type lists struct {
	listsConfig
	book *loadBook // of the followers

	mu        sync.Mutex
	current   *snapshot
	changed   chan struct{} // closed at the next change
	followers int
	failed    map[fleet.InstanceID]time.Duration // sources that failed, and when
}

func newLists(cfg listsConfig) *lists {
	return &lists{listsConfig: cfg, book: newLoadBook(), changed: make(chan struct{}), failed: make(map[fleet.InstanceID]time.Duration)}
}

// run keeps the list until ctx ends.
func (l *lists) run(ctx context.Context) {
	for ctx.Err() == nil {
		source, ok := l.source()
		if !ok {
			l.read(ctx)
			fleet.Pause(ctx, l.interval)
			continue
		}
		err := l.follow(ctx, source.Addr)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errSourceChanged) {
			continue
		}
		l.log.Info("source of the platform's list lost", "peer", string(source.ID), "error", err)
		l.mu.Lock()
		l.failed[source.ID] = l.clock()
		l.mu.Unlock()
		l.read(ctx)
	}
}

// source returns the router to follow; ok is false where this one reads itself.
func (l *lists) source() (source fleet.Member, ok bool) {
	ranking := rankSources(l.members())
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.followers > 0 {
		return fleet.Member{}, false
	}
	now := l.clock()
	for i := 0; i < len(ranking) && i < maxSources; i++ {
		if ranking[i].ID == l.self {
			return fleet.Member{}, false
		}
		if at, failed := l.failed[ranking[i].ID]; !failed || now-at > sourceRetry {
			return ranking[i], true
		}
	}
	return fleet.Member{}, false
}

// sourceSalt keeps the ranking of sources apart from other uses of the hash.
const sourceSalt = "platform-list/"

// rankSources orders the routers that may be followed.
func rankSources(m fleet.Membership) []fleet.Member {
	var out []fleet.Member
	for _, member := range m.Members {
		if !member.Draining {
			out = append(out, member)
		}
	}
	placement.Order(out, sourceSalt)
	return out
}

// read reads the list from the platform. On a failure the former one stays.
func (l *lists) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, l.interval)
	defer cancel()
	asOf := l.clock()
	list, err := l.lister.List(ctx)
	if err != nil {
		l.log.Warn("platform's list not read; the former one stays", "error", err)
		return
	}
	l.set(newSnapshot(asOf, list))
}

func (l *lists) set(s *snapshot) {
	l.mu.Lock()
	if l.current != nil && l.current.asOf > s.asOf {
		l.mu.Unlock()
		return // an older view than the one in hand
	}
	s.after(l.current)
	l.current = s
	close(l.changed)
	l.changed = make(chan struct{})
	l.mu.Unlock()
	l.take(s.asOf, s)
}

// follow takes a source's updates until it fails, falls silent or should no longer
// be followed.
func (l *lists) follow(ctx context.Context, addr string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	opening, opened := context.WithTimeout(ctx, followTimeout)
	message, err := (&ListRequest{}).MarshalMsg(nil)
	if err != nil {
		opened()
		return err
	}
	stream, err := l.pool.Open(opening, addr, MethodList, message)
	opened()
	if err != nil {
		return err
	}
	defer stream.Close()
	var known *snapshot // as the source knows this router's list
	var reported map[fleet.UpstreamID]int
	for {
		u, err := receiveUpdate(ctx, stream)
		if err != nil {
			return fleet.At(err, "gateway.follow", addr)
		}
		next := known.apply(l.clock(), u)
		if next == nil {
			return fleet.At(errListGap, "gateway.follow", addr)
		}
		known = next
		l.set(next)
		if reported, err = l.exchangeLoads(ctx, stream, known, u, reported); err != nil {
			return fleet.At(err, "gateway.follow", addr)
		}
		if source, ok := l.source(); !ok || source.Addr != addr {
			return fleet.At(errSourceChanged, "gateway.follow", addr)
		}
	}
}

var (
	errListGap       = errors.New("the list's first update is not whole")
	errSourceChanged = errors.New("another router is to be followed")
)

func receiveUpdate(ctx context.Context, stream *mesh.Stream) (*ListUpdate, error) {
	ctx, cancel := context.WithTimeout(ctx, sourceSilence)
	defer cancel()
	message, err := stream.Recv(ctx)
	if errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	u := new(ListUpdate)
	_, err = u.UnmarshalMsg(message)
	return u, err
}

// serve sends the list and its changes to a follower. A list that is old is not
// sent: the follower reads its own then.
func (l *lists) serve(ctx context.Context, stream *mesh.Stream, _ []byte) error {
	l.mu.Lock()
	l.followers++
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		l.followers--
		l.mu.Unlock()
	}()
	var last atomic.Pointer[snapshot] // sent to this follower
	ctx, cancel := context.WithCancel(ctx)
	received := make(chan struct{})
	go func() {
		defer close(received)
		l.receiveReports(ctx, stream, func() (*snapshot, uint64) {
			s := last.Load()
			if s == nil {
				return nil, 0
			}
			return s, s.number
		})
	}()
	defer func() {
		cancel()
		<-received
		l.book.forget(stream)
	}()
	for {
		sent := last.Load()
		l.mu.Lock()
		current, changed := l.current, l.changed
		l.mu.Unlock()
		if current != nil && l.clock()-current.asOf <= 2*l.interval {
			u := current.update(sent, l.clock())
			u.Totals = *current.report(current.number, l.book.all(l.clock(), l.loads.Running))
			message, err := u.MarshalMsg(nil)
			if err != nil {
				return err
			}
			if err := stream.Send(ctx, message); err != nil {
				return err
			}
			last.Store(current)
		}
		if err := l.awaitChange(ctx, last.Load(), changed); err != nil {
			return err
		}
	}
}

// awaitChange waits for a newer list that differs, or for the next beat.
func (l *lists) awaitChange(ctx context.Context, sent *snapshot, changed <-chan struct{}) error {
	beat := time.NewTimer(beatInterval)
	defer beat.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-beat.C:
			return nil
		case <-changed:
		}
		l.mu.Lock()
		current := l.current
		changed = l.changed
		l.mu.Unlock()
		if sent == nil || current.number != sent.number {
			return nil
		}
	}
}
