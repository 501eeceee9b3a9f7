package gateway

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/mesh"
)

//go:generate go tool msgp -tests=false -io=false -file loads.go
//msgp:ignore loadBook

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

// loadBook sums the followers' reports at a source. The sum is kept up to date with
// each report: reports of all followers come several times a second. It is safe for
// concurrent use.
type loadBook struct {
	mu      sync.Mutex
	reports map[*mesh.Stream]map[fleet.UpstreamID]int
	sum     map[fleet.UpstreamID]int // of reports
	totals  map[fleet.UpstreamID]int // sum and this router's own, as of at
	at      time.Duration
}

func newLoadBook() *loadBook {
	return &loadBook{
		reports: make(map[*mesh.Stream]map[fleet.UpstreamID]int), sum: make(map[fleet.UpstreamID]int),
	}
}

// set replaces a follower's report and returns the sum of all.
func (b *loadBook) set(from *mesh.Stream, running map[fleet.UpstreamID]int) map[fleet.UpstreamID]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.replace(from, running)
	b.reports[from] = running
	return maps.Clone(b.sum)
}

func (b *loadBook) forget(from *mesh.Stream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.replace(from, nil)
	delete(b.reports, from)
}

// replace brings the sum up to date with a follower's next report. The caller holds
// mu.
func (b *loadBook) replace(from *mesh.Stream, running map[fleet.UpstreamID]int) {
	for id, n := range b.reports[from] {
		if b.sum[id] -= n; b.sum[id] == 0 {
			delete(b.sum, id)
		}
	}
	for id, n := range running {
		b.sum[id] += n
	}
}

// all returns what runs for all routers, this one included, as of a moment ago. The
// map must not be changed.
func (b *loadBook) all(now time.Duration, own func() map[fleet.UpstreamID]int) map[fleet.UpstreamID]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.totals != nil && now-b.at < totalsAge {
		return b.totals
	}
	totals := maps.Clone(b.sum)
	for id, n := range own() {
		totals[id] += n
	}
	b.totals, b.at = totals, now
	return totals
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
			l.loads.SetOthers(l.clock(), l.book.set(stream, running))
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
