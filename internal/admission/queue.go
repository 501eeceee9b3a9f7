package admission

import (
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// entry is a queued or in-flight request. Entries are recycled, so that the hot path
// doesn't allocate.
type entry struct {
	request           Request
	upstream          *upstream
	admitted          bool
	started           time.Duration // time of the admission
	firstTokenCounted bool          // first token reported, or counted as overdue
	// prev and next link the entries that await their first token.
	prev, next *entry
	probe      bool // admitted as a probe of the upstream's breaker
	position   int  // index in its queue
	// generation is the upstream's generation at the admission. Results of requests
	// from an earlier generation are ignored, as they don't describe the upstream's
	// present state.
	generation int
	sequence   uint64 // increases with each new entry of the gate
}

// queue orders waiting requests by deadline, earliest first: a binary heap.
type queue struct {
	heap []*entry
}

func (q *queue) len() int { return len(q.heap) }

func (q *queue) less(i, j int) bool {
	a, b := q.heap[i], q.heap[j]
	if a.request.Deadline != b.request.Deadline {
		return a.request.Deadline < b.request.Deadline
	}
	return a.sequence < b.sequence
}

func (q *queue) swap(i, j int) {
	q.heap[i], q.heap[j] = q.heap[j], q.heap[i]
	q.heap[i].position, q.heap[j].position = i, j
}

func (q *queue) push(e *entry) {
	e.position = len(q.heap)
	q.heap = append(q.heap, e)
	q.siftUp(e.position)
}

func (q *queue) first() *entry { return q.heap[0] }

func (q *queue) remove(e *entry) {
	at, last := e.position, len(q.heap)-1
	q.swap(at, last)
	q.heap[last] = nil
	q.heap = q.heap[:last]
	if at < last {
		q.siftUp(at)
		q.siftDown(at)
	}
}

func (q *queue) siftUp(i int) {
	for i > 0 && q.less(i, (i-1)/2) {
		q.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (q *queue) siftDown(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(q.heap); child++ {
			if q.less(child, least) {
				least = child
			}
		}
		if least == i {
			return
		}
		q.swap(i, least)
		i = least
	}
}

// queues holds the waiting requests of one upstream, one queue per priority.
type queues struct {
	interactive queue
	batch       queue
	// sinceBatch counts interactive admissions since the last batch admission while
	// batch work waited.
	sinceBatch int
}

func (l *queues) forPriority(p fleet.Priority) *queue {
	if p == fleet.PriorityBatch {
		return &l.batch
	}
	return &l.interactive
}

func (l *queues) len() int { return l.interactive.len() + l.batch.len() }

// next selects the queue to serve: interactive first, but batch often enough to get
// at least one in BatchShare admissions.
func (l *queues) next() *queue {
	switch {
	case l.batch.len() == 0:
		return &l.interactive
	case l.interactive.len() == 0, l.sinceBatch >= BatchShare-1:
		return &l.batch
	default:
		return &l.interactive
	}
}

// recordAdmission counts an admission from the queue q.
func (l *queues) recordAdmission(q *queue) {
	switch {
	case q == &l.batch:
		l.sinceBatch = 0
	case l.batch.len() > 0:
		l.sinceBatch++
	}
}

// other returns the queue of the priority that q does not hold.
func (l *queues) other(q *queue) *queue {
	if q == &l.batch {
		return &l.interactive
	}
	return &l.batch
}
