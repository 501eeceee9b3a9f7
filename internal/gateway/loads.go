package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/mesh"
)

//go:generate go tool msgp -tests=false -io=false -file loads.go
//msgp:ignore loadBook loadVector

// LoadReport tells how many requests one router has in flight, by the place of an
// upstream in the ordered list of the given number. Upstreams without any are left
// out.
type LoadReport struct {
	Number uint64   `msg:"n"`
	Places []uint16 `msg:"p"`
	Counts []uint16 `msg:"c"`
}

// Loads are what a router needs to know of the others' work, and tells of its own.
type Loads interface {
	// Running returns this router's requests in flight by upstream.
	Running() map[fleet.UpstreamID]int
	// SetOthers takes what runs for other routers.
	SetOthers(now time.Duration, others map[fleet.UpstreamID]int)
}

const (
	// totalsAge is how long the sum over all routers is used before it is taken again.
	totalsAge = 200 * time.Millisecond
	// maxCount is the largest count that a report carries.
	maxCount = 1<<16 - 1
)

// report returns the counts of running requests by their place in the list.
func (s *snapshot) report(number uint64, running map[fleet.UpstreamID]int) *LoadReport {
	r := &LoadReport{Number: number}
	for place, id := range s.order {
		if n := running[id]; n > 0 && place <= maxCount {
			r.Places = append(r.Places, uint16(place))
			r.Counts = append(r.Counts, uint16(min(n, maxCount)))
		}
	}
	return r
}

// running returns a report's counts by upstream; nil where it is of another list.
func (s *snapshot) running(number uint64, r *LoadReport) map[fleet.UpstreamID]int {
	if s == nil || r.Number != number || len(r.Places) != len(r.Counts) {
		return nil
	}
	out := make(map[fleet.UpstreamID]int, len(r.Places))
	for i, place := range r.Places {
		if int(place) >= len(s.order) {
			return nil
		}
		out[s.order[place]] = int(r.Counts[i])
	}
	return out
}

// loadBook sums the followers' reports at a source. It is safe for concurrent use.
type loadBook struct {
	mu      sync.Mutex
	reports map[*mesh.Stream]map[fleet.UpstreamID]int
	totals  map[fleet.UpstreamID]int
	at      time.Duration
}

func newLoadBook() *loadBook {
	return &loadBook{reports: make(map[*mesh.Stream]map[fleet.UpstreamID]int)}
}

func (b *loadBook) set(from *mesh.Stream, running map[fleet.UpstreamID]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reports[from] = running
}

func (b *loadBook) forget(from *mesh.Stream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.reports, from)
}

// sum returns what runs for all routers, this one included, and what of it runs for
// the others. The maps must not be changed.
func (b *loadBook) sum(now time.Duration, own func() map[fleet.UpstreamID]int) (totals map[fleet.UpstreamID]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.totals != nil && now-b.at < totalsAge {
		return b.totals
	}
	totals = make(map[fleet.UpstreamID]int)
	add(totals, own())
	for _, running := range b.reports {
		add(totals, running)
	}
	b.totals, b.at = totals, now
	return totals
}

// others returns the sum of the followers' reports.
func (b *loadBook) others() map[fleet.UpstreamID]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum := make(map[fleet.UpstreamID]int)
	for _, running := range b.reports {
		add(sum, running)
	}
	return sum
}

func add(sum, running map[fleet.UpstreamID]int) {
	for id, n := range running {
		sum[id] += n
	}
}

// without returns totals less what a router had reported itself.
func without(totals, own map[fleet.UpstreamID]int) map[fleet.UpstreamID]int {
	out := make(map[fleet.UpstreamID]int, len(totals))
	for id, n := range totals {
		if n -= own[id]; n > 0 {
			out[id] = n
		}
	}
	return out
}

// receiveReports takes a follower's reports until its stream ends. known returns the
// list, with its number, that was sent to the follower last.
func (l *lists) receiveReports(ctx context.Context, stream *mesh.Stream, known func() (*snapshot, uint64)) {
	for {
		message, err := stream.Recv(ctx)
		if err != nil {
			return // the stream's sender learns it as well
		}
		var r LoadReport
		if _, err := r.UnmarshalMsg(message); err != nil {
			l.log.Warn("load report not readable", "peer", stream.Peer(), "error", err)
			return
		}
		list, number := known()
		if running := list.running(number, &r); running != nil {
			l.book.set(stream, running)
			l.loads.SetOthers(l.clock(), l.book.others())
		}
	}
}

// exchangeLoads takes the totals of an update and answers with this router's own
// report. own is what it reported last; the new report is returned.
func (l *lists) exchangeLoads(ctx context.Context, stream *mesh.Stream, list *snapshot, u *ListUpdate, own map[fleet.UpstreamID]int) (map[fleet.UpstreamID]int, error) {
	if totals := list.running(u.Number, &u.Totals); totals != nil {
		l.loads.SetOthers(l.clock(), without(totals, own))
	}
	running := l.loads.Running()
	message, err := list.report(u.Number, running).MarshalMsg(nil)
	if err != nil {
		return nil, err
	}
	return running, stream.Send(ctx, message)
}
