package dispatch

import (
	"container/heap"
	"math"
	"slices"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

const (
	// priorities is the number of priorities; 0 is the most urgent.
	priorities = 10
	// minShare is the part of the work that its part of the demand would give a priority which it
	// gets in any case, so that none starves.
	minShare = 0.25
	// maxCredit bounds the work that a priority is owed, as a multiple of its requests' mean, so that
	// one which has waited for long doesn't take the pool when it gets its turn.
	maxCredit = 2.0
	// demandWindow is the time constant of the measured demand.
	demandWindow = 500 * time.Millisecond
	// maxFlows bounds the workspaces that a priority knows. It exceeds those that can wait.
	maxFlows = 2 * maxWaiting
)

// Request is a request that needs a place at a pool. Times are those of the router's clock.
type Request struct {
	// Priority ranks the request; 0 is the most urgent.
	Priority int
	// Workspace and Session are what starts are shared equally between: workspaces within a
	// priority, and sessions, or hot keys, within a workspace.
	Workspace fleet.WorkspaceID
	Session   uint64
	// Route is the name of its route, by which its work is learned.
	Route string
	// Arrived is when the request arrived, Target when its caller wants the first part of the
	// answer, and Deadline when it stops waiting.
	Arrived, Target, Deadline time.Duration
	// Described is the time for which it would hold a place by what its caller describes.
	Described time.Duration
	// First is the expected time from its start to the first part of the answer, and Work the
	// time to the end, for which it holds a place: see Pool.Expect.
	First, Work time.Duration
	// Again is set if the request has had a place and could not use it.
	Again bool
}

// latestForTarget returns the latest start at which the target can be met.
func (r *Request) latestForTarget() time.Duration { return r.Target - r.First }

// priority returns the request's priority within the bounds.
func (r *Request) priority() int { return min(max(r.Priority, 0), priorities-1) }

// Entry is a request that waits. Its fields but Tag belong to the queue.
type Entry struct {
	Request
	// Tag is for the caller's use.
	Tag any
	// GiveUp is when the request is to be rejected if it has not started.
	GiveUp time.Duration
	// Ahead is the number of requests that waited at its arrival.
	Ahead int

	flow     *flow
	heap     *entryHeap // nil unless the entry waits
	index    int        // in heap
	turn     int        // see flow.turn
	sequence uint64
}

// before reports whether e starts before o, of the same workspace and priority.
func (e *Entry) before(o *Entry) bool {
	switch {
	case e.turn != o.turn:
		return e.turn < o.turn
	case e.Deadline != o.Deadline:
		return e.Deadline < o.Deadline
	case e.Work != o.Work:
		return e.Work < o.Work
	default:
		return e.sequence < o.sequence
	}
}

// entryHeap implements heap.Interface, the first entry in the order on top.
type entryHeap []*Entry

func (h entryHeap) Len() int           { return len(h) }
func (h entryHeap) Less(i, j int) bool { return h[i].before(h[j]) }
func (h entryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *entryHeap) Push(x any) {
	e := x.(*Entry)
	e.index, e.heap = len(*h), h
	*h = append(*h, e)
}

func (h *entryHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	e.heap = nil
	return e
}

// flow holds the demand and the waiting requests of one workspace within a priority. Its tags are those of
// start-time fair queueing (Goyal, Vin and Cheng, 1996).
type flow struct {
	class     *class
	workspace fleet.WorkspaceID
	start     float64 // tag of its next request, valid in busy period busy of the class
	busy      uint64
	demand    demand
	onTime    entryHeap
	late      entryHeap // requests that can't meet their target any more
	work      float64   // of all, in seconds
	sessions  map[uint64]int
}

func (f *flow) len() int { return len(f.onTime) + len(f.late) }

// turn returns after how many rounds the next request of a session starts, if each session has the
// mean number of requests started in a round: one that has no more of them waiting than others
// is not put back.
func (f *flow) turn(session uint64) int {
	return f.sessions[session] * len(f.sessions) / (f.len() + 1)
}

// first returns the next request of the flow. It moves those that can't meet their target any more
// behind the others.
func (f *flow) first(now time.Duration) *Entry {
	for len(f.onTime) > 0 {
		if e := f.onTime[0]; now <= e.latestForTarget() {
			return e
		}
		heap.Push(&f.late, heap.Pop(&f.onTime))
	}
	return f.late[0]
}

// last returns the request that is the last in the order.
func (f *flow) last() *Entry {
	entries := f.late
	if len(entries) == 0 {
		entries = f.onTime
	}
	last := entries[0]
	for _, e := range entries {
		if last.before(e) {
			last = e
		}
	}
	return last
}

// class holds the demand and the waiting requests of one priority.
type class struct {
	flows   map[fleet.WorkspaceID]*flow
	list    []*flow // of flows, in an order that depends on the events alone
	virtual float64 // virtual time: the tag of the latest start
	busy    uint64  // number of times that nothing has waited any more
	waiting int
	work    float64 // of those that wait, in seconds
	credit  float64 // work that the class is owed, in seconds
	demand  demand
}

// recordArrival records work of a workspace that arrives, in seconds.
func (c *class) recordArrival(now time.Duration, workspace fleet.WorkspaceID, work float64) {
	c.demand.add(now, work)
	c.flow(now, workspace).demand.add(now, work)
}

// comingBefore returns the demand that goes before late requests of a workspace: its own, and as much
// of each other workspace's.
func (c *class) comingBefore(now time.Duration, workspace fleet.WorkspaceID) (sum float64) {
	own := 0.0
	if f := c.flows[workspace]; f != nil {
		own = f.demand.current(now)
	}
	for _, f := range c.list {
		sum += min(f.demand.current(now), own)
	}
	return sum
}

// ahead returns the work that starts before the request by the workspaces' parts: its own
// workspace's, and as much of each other one.
func (c *class) ahead(r *Request) float64 {
	own := 0.0
	if f := c.flows[r.Workspace]; f != nil {
		own = f.work
	}
	total := own
	for _, f := range c.list {
		if f.workspace != r.Workspace {
			total += min(f.work, own+r.Work.Seconds())
		}
	}
	return total
}

// demand is the moving mean of the work that arrives, in slots.
type demand struct {
	slots float64
	at    time.Duration
}

// add adds work that arrives, in seconds.
func (d *demand) add(now time.Duration, work float64) {
	d.slots = d.current(now) + work/demandWindow.Seconds()
	d.at = now
}

// current returns the mean at the given time.
func (d *demand) current(now time.Duration) float64 {
	return d.slots * math.Exp(-float64(now-d.at)/float64(demandWindow))
}

// weight returns the class's demand: what waits, and what arrives in a second.
func (c *class) weight(now time.Duration) float64 { return c.work + c.demand.current(now) }

// weight returns the demand of all classes.
func (q *queue) weight(now time.Duration) (sum float64) {
	for i := range q.classes {
		sum += q.classes[i].weight(now)
	}
	return sum
}

// queue holds the requests of one pool that wait.
type queue struct {
	classes  [priorities]class
	waiting  int
	work     float64 // of all, in seconds
	sequence uint64
}

// add adds a request.
func (q *queue) add(now time.Duration, e *Entry) {
	c := &q.classes[e.priority()]
	f := c.flow(now, e.Workspace)
	q.sequence++
	e.sequence, e.flow, e.turn = q.sequence, f, f.turn(e.Session)
	f.sessions[e.Session]++
	if f.len() == 0 {
		f.start = max(f.start, c.virtual)
	}
	if now <= e.latestForTarget() {
		heap.Push(&f.onTime, e)
	} else {
		heap.Push(&f.late, e)
	}
	q.count(e, 1)
}

// count adds n times the entry to the sums, or takes it away with -1.
func (q *queue) count(e *Entry, n int) {
	c, work := e.flow.class, float64(n)*e.Work.Seconds()
	q.waiting += n
	c.waiting += n
	q.work = max(q.work+work, 0)
	c.work = max(c.work+work, 0)
	e.flow.work = max(e.flow.work+work, 0)
}

// flow returns the workspace's flow, which it adds if it is new.
func (c *class) flow(now time.Duration, workspace fleet.WorkspaceID) *flow {
	f := c.flows[workspace]
	if f == nil {
		if len(c.list) >= maxFlows {
			c.forgetFlows(now)
		}
		if c.flows == nil {
			c.flows = make(map[fleet.WorkspaceID]*flow)
		}
		f = &flow{class: c, workspace: workspace, sessions: make(map[uint64]int)}
		c.flows[workspace] = f
		c.list = append(c.list, f)
	}
	if f.busy != c.busy {
		f.busy, f.start = c.busy, 0
	}
	return f
}

// forgetFlows makes room for a further workspace. It drops those that have nothing that waits and of
// which nothing has come for long, or all that have nothing that waits.
func (c *class) forgetFlows(now time.Duration) {
	for _, age := range []time.Duration{10 * demandWindow, 0} {
		if len(c.list) < maxFlows {
			return
		}
		c.list = slices.DeleteFunc(c.list, func(f *flow) bool {
			old := f.len() == 0 && now-f.demand.at >= age
			if old {
				delete(c.flows, f.workspace)
			}
			return old
		})
	}
}

// remove takes an entry out. It reports false if the entry doesn't wait.
func (q *queue) remove(e *Entry) bool {
	if e.heap == nil {
		return false
	}
	heap.Remove(e.heap, e.index)
	f := e.flow
	if f.sessions[e.Session]--; f.sessions[e.Session] == 0 {
		delete(f.sessions, e.Session)
	}
	q.count(e, -1)
	if c := f.class; c.waiting == 0 { // the end of a busy period; without the errors of rounding
		c.busy++
		c.virtual, c.work, c.credit = 0, 0, 0
	}
	return true
}

// first returns the request that starts next, or nil if none waits.
func (q *queue) first(now time.Duration) *Entry {
	var next *Entry
	owed := 0.0
	for i := range q.classes { // the class that is owed a start, or else the most urgent one
		c := &q.classes[i]
		if c.waiting == 0 || next != nil && c.credit <= owed {
			continue
		}
		if e := c.nextFlow().first(now); next == nil || c.credit >= e.Work.Seconds() {
			next, owed = e, c.credit
		}
	}
	return next
}

// nextFlow returns the flow of the workspace that has had the least of its part.
func (c *class) nextFlow() *flow {
	var next *flow
	for _, f := range c.list {
		if f.len() > 0 && (next == nil || f.start < next.start) {
			next = f
		}
	}
	return next
}

// start takes the entry out because it starts, and charges its workspace and priority.
func (q *queue) start(now time.Duration, e *Entry) {
	c, f, work := e.flow.class, e.flow, e.Work.Seconds()
	all := max(q.weight(now), work)
	for i := range q.classes {
		if k := &q.classes[i]; k.waiting > 0 {
			mean := k.work / float64(k.waiting)
			k.credit = min(k.credit+minShare*work*k.weight(now)/all, maxCredit*mean)
		}
	}
	c.credit = max(c.credit-work, 0)
	c.virtual = max(c.virtual, f.start)
	f.start += work
	q.remove(e)
}

// last returns the request that a full queue gives up first: of the least urgent priority, the last
// of the workspace that has most work waiting.
func (q *queue) last() *Entry {
	for i := priorities - 1; i >= 0; i-- {
		var longest *flow
		for _, f := range q.classes[i].list {
			if f.len() > 0 && (longest == nil || f.work > longest.work) {
				longest = f
			}
		}
		if longest != nil {
			return longest.last()
		}
	}
	return nil
}
