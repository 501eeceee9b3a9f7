package gateway

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/balance"
	"github.com/wigeonflow/wigeonflow/internal/mesh"
)

//go:generate go tool msgp -tests=false -io=false -file loads.go
//msgp:ignore loadAggregator

// LoadReport holds the activities of one or several routers at upstreams. Upstreams
// without activity are left out of a report that doesn't hold changes.
type LoadReport struct {
	// Number is the number of the list that Places refers to.
	Number uint64 `msg:"n"`
	// Changes is set if the report holds only the upstreams whose activity differs from the report
	// before on the same stream, which referred to the same list.
	Changes bool `msg:"d,omitempty"`
	// Places are indices into the sorted list of upstreams.
	Places []uint16 `msg:"p"`
	// Running, Ended and Failed are the counts of balance.Activity, in the order of
	// Places.
	Running []uint16 `msg:"c"`
	Ended   []uint16 `msg:"e"`
	Failed  []uint16 `msg:"f"`
	// Suspicions is what has become known to the sender, since its last report on the same
	// stream, of prompt parts and requests under which upstreams broke off.
	Suspicions []Suspicion `msg:"s,omitempty"`
	// Leaving is what the sender knows of upstreams that have said that they leave.
	Leaving []LeavingUpstream `msg:"l,omitempty"`
	// Demand is the demand of the pools at DemandRouters routers. Routers of the release before
	// send neither.
	Demand        []PoolDemand `msg:"o,omitempty"`
	DemandRouters uint16       `msg:"or,omitempty"`
}

// Loads exchanges activities at upstreams, demands of pools, suspicions of prompt parts and
// requests, and reports of leaving upstreams, with the balancer.
type Loads interface {
	// Activities returns this router's activities.
	Activities(now time.Duration) balance.Activities
	// SetPeerActivities replaces the activities of all other routers.
	SetPeerActivities(now time.Duration, others balance.Activities)
	// Demands returns this router's demands, and SetPeerDemands replaces the sum of those of all
	// other routers.
	Demands(now time.Duration) balance.Demands
	SetPeerDemands(now time.Duration, others balance.Demands)
	// Suspicions returns what has become known since the given change, and the change to ask
	// from next time; MergeSuspicions adds what another router knows.
	Suspicions(now time.Duration, since uint64) (suspicions []balance.Suspicion, upTo uint64)
	MergeSuspicions(now time.Duration, reports []balance.Suspicion)
	// Leavers returns what this router knows of leaving upstreams that the list doesn't
	// show as leaving, and MergeLeavers adds what another router knows.
	Leavers(now time.Duration) []balance.Leaver
	MergeLeavers(now time.Duration, leavers []balance.Leaver)
}

const (
	// totalsAge is the age at which the cached totals of all routers are recomputed.
	totalsAge = 200 * time.Millisecond
	// maxCount is the largest count that a report carries.
	maxCount = 1<<16 - 1
)

// clampCount limits a count to the range of a report.
func clampCount(n int) uint16 { return uint16(min(n, maxCount)) }

// encodeReport encodes activities by the index of their upstream in the list: their changes
// since former, or all of them if that is nil.
func (s *snapshot) encodeReport(number uint64, activities, former balance.Activities) *LoadReport {
	r := &LoadReport{Number: number, Changes: former != nil}
	for index, id := range s.sortedIDs {
		if a := activities[id]; a != former[id] && index <= maxCount {
			r.Places = append(r.Places, uint16(index))
			r.Running = append(r.Running, clampCount(a.Running))
			r.Ended = append(r.Ended, clampCount(a.Ended))
			r.Failed = append(r.Failed, clampCount(a.Failed))
		}
	}
	return r
}

// decodeReport returns a report's counts by upstream, which become those of last. It returns nil
// if the report is malformed, refers to another list than the given number, or holds changes of a
// report that wasn't decoded.
func (s *snapshot) decodeReport(number uint64, r *LoadReport, last *decodedReport) balance.Activities {
	n := len(r.Places)
	if s == nil || r.Number != number || len(r.Running) != n || len(r.Ended) != n || len(r.Failed) != n {
		return nil
	}
	out := make(balance.Activities, n)
	if r.Changes {
		if last.activities == nil || last.number != number {
			return nil
		}
		maps.Copy(out, last.activities)
	}
	for i, index := range r.Places {
		if int(index) >= len(s.sortedIDs) {
			return nil
		}
		id := s.sortedIDs[index]
		if a := (balance.Activity{Running: int(r.Running[i]), Ended: int(r.Ended[i]), Failed: int(r.Failed[i])}); a != (balance.Activity{}) {
			out[id] = a
		} else {
			delete(out, id)
		}
	}
	*last = decodedReport{number, out}
	return out
}

// decodedReport is the report that was decoded last on one stream.
type decodedReport struct {
	number     uint64 // of the list that it refers to
	activities balance.Activities
}

// loadAggregator aggregates the activities of routers at upstreams along the tree by which
// the list is distributed: each router reports the activities of its subtree to its
// source, and sends those of the whole fleet to its followers. The subtree of a router
// is the router itself with its direct and indirect followers. It is safe for
// concurrent use.
type loadAggregator struct {
	ownActivities func(now time.Duration) balance.Activities // of this router

	mu       sync.Mutex
	reports  map[*mesh.Stream]balance.Activities // of the followers' subtrees
	sum      balance.Activities                  // of reports
	outside  balance.Activities                  // of routers outside this subtree, as the source reports
	totals   balance.Activities                  // of the whole fleet; nil if they must be recomputed
	totalsAt time.Duration                       // when totals was computed
}

func newLoadAggregator(own func(time.Duration) balance.Activities) *loadAggregator {
	return &loadAggregator{ownActivities: own, reports: make(map[*mesh.Stream]balance.Activities), sum: make(balance.Activities)}
}

// setReport replaces the activities of a follower's subtree; nil removes them.
func (b *loadAggregator) setReport(from *mesh.Stream, activities balance.Activities) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, a := range b.reports[from] {
		if left := b.sum[id].Minus(a); left != (balance.Activity{}) {
			b.sum[id] = left
		} else {
			delete(b.sum, id)
		}
	}
	if activities == nil {
		delete(b.reports, from)
		return
	}
	b.reports[from] = activities
	addActivities(b.sum, activities)
}

// setTotals sets the fleet's totals as the source sent them; reported holds the latest report
// of this subtree, which they include. Both are nil if there is no source.
func (b *loadAggregator) setTotals(totals, reported balance.Activities) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.outside = make(balance.Activities, len(totals))
	for id, a := range totals {
		if left := a.Minus(reported[id]); left != (balance.Activity{}) {
			b.outside[id] = left
		}
	}
	b.totals = nil
}

// peerActivities returns the activities of all other routers.
func (b *loadAggregator) peerActivities() balance.Activities {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := maps.Clone(b.sum)
	addActivities(out, b.outside)
	return out
}

// subtreeActivities returns the activities of this router's subtree.
func (b *loadAggregator) subtreeActivities(now time.Duration) balance.Activities {
	own := b.ownActivities(now)
	b.mu.Lock()
	defer b.mu.Unlock()
	out := maps.Clone(b.sum)
	addActivities(out, own)
	return out
}

// fleetActivities returns the activities of the whole fleet, cached for up to totalsAge.
// The map must not be changed.
func (b *loadAggregator) fleetActivities(now time.Duration) balance.Activities {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.totals == nil || now-b.totalsAt >= totalsAge {
		b.totals, b.totalsAt = maps.Clone(b.sum), now
		addActivities(b.totals, b.outside)
		addActivities(b.totals, b.ownActivities(now))
	}
	return b.totals
}

// addActivities adds activities to sum.
func addActivities(sum, activities balance.Activities) {
	for id, a := range activities {
		sum[id] = sum[id].Plus(a)
	}
}

// receiveReports records a follower's load reports until its stream ends. known returns
// the list that was sent to the follower last.
func (l *upstreamList) receiveReports(ctx context.Context, stream *mesh.Stream, known func() *snapshot) {
	var last decodedReport
	for {
		message, err := stream.Recv(ctx)
		if err != nil {
			return // the goroutine that sends on the stream gets the error as well
		}
		var r LoadReport
		if err := mesh.Decode(message, &r); err != nil {
			l.log.Warn("cannot decode load report", "peer", stream.Peer(), "error", err)
			return
		}
		l.mergeReport(&r, l.mergeSuspicions)
		l.mergeReport(&r, l.mergeLeaving)
		list := known()
		if list == nil {
			continue
		}
		l.mergeReport(&r, func(r *LoadReport) {
			if activities := list.decodeReport(list.number, r, &last); activities != nil {
				l.loadTotals.setReport(stream, activities)
				l.demandTotals.setReport(l.clock(), stream, r.decodeDemands())
				l.passPeerLoads()
			}
		})
	}
}

// mergeReport calls f, which merges a part of another router's report. Reports are advice: one that
// is lost in a panic costs no request its answer.
func (l *upstreamList) mergeReport(r *LoadReport, f func(*LoadReport)) {
	_ = l.guard.Confine("upstream list: merge a report", func() error { // the guard has logged it
		f(r)
		return nil
	})
}

// exchangeLoads applies the totals of an update and replies with a report of this
// router's subtree. received and sent are the latest totals and report of the stream, and are
// updated.
func (l *upstreamList) exchangeLoads(ctx context.Context, stream *mesh.Stream, list *snapshot, u *ListUpdate, received *decodedReport, sent *lastReport) error {
	l.mergeReport(&u.Totals, func(r *LoadReport) {
		if totals := list.decodeReport(u.Number, r, received); totals != nil {
			l.loadTotals.setTotals(totals, sent.activities)
			l.demandTotals.setTotals(r.decodeDemands(), sent.demands)
			l.passPeerLoads()
		}
	})
	subtree := l.loadTotals.subtreeActivities(l.clock())
	report := l.newReport(list, u.Number, subtree, u.AcceptsChanges, sent)
	sent.demands = l.demandTotals.subtreeDemands(l.clock())
	report.encodeDemands(sent.demands)
	message, err := report.MarshalMsg(nil)
	if err != nil {
		return err
	}
	return stream.Send(ctx, message)
}

// passPeerLoads passes what is known of the other routers' activities and demands to the balancer.
func (l *upstreamList) passPeerLoads() {
	now := l.clock()
	l.loads.SetPeerActivities(now, l.loadTotals.peerActivities())
	l.loads.SetPeerDemands(now, l.demandTotals.peerDemands(now))
}

// lastReport is what a router reported last on one stream.
type lastReport struct {
	number       uint64 // of the list that it refers to
	activities   balance.Activities
	demands      balance.Demands
	suspicionsTo uint64 // see Loads.Suspicions
}

// newReport returns a report of the given activities, of what has become known of suspects since
// the last report, which it updates, and of the leaving upstreams that this router knows. A
// receiver that accepts changes gets those of the activities if the list is still the same.
func (l *upstreamList) newReport(list *snapshot, number uint64, activities balance.Activities, acceptsChanges bool, last *lastReport) *LoadReport {
	var former balance.Activities
	if acceptsChanges && last.number == number {
		former = last.activities
	}
	r := list.encodeReport(number, activities, former)
	suspicions, upTo := l.loads.Suspicions(l.clock(), last.suspicionsTo)
	r.Suspicions = encodeSuspicions(suspicions)
	last.number, last.activities, last.suspicionsTo = number, activities, upTo
	r.Leaving = l.encodeLeaving(l.loads.Leavers(l.clock()))
	return r
}
