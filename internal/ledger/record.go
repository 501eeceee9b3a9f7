package ledger

import (
	"time"

	"github.com/wigeonflow/wigeonflow/internal/answer"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// status is where a record stands.
type status uint8

const (
	statusBegun status = iota
	statusUnknown
	statusFinished
	statuses
)

// session is one start of one process.
type session struct {
	owner fleet.InstanceID
	boot  fleet.BootID
}

// record is what the ledger holds under one key.
type record struct {
	key     Key
	body    BodyDigest
	attempt answer.AttemptID
	owner   session // while begun
	answer  []byte  // while finished and kept
	since   time.Duration
	status  status

	prev, next *record
}

// queue is a list of records in the order in which they were put there. The
// state's time only grows, so the front is the oldest.
type queue struct {
	front, back *record
	size        int
}

func (q *queue) push(r *record) {
	r.prev, r.next = q.back, nil
	if q.back != nil {
		q.back.next = r
	} else {
		q.front = r
	}
	q.back = r
	q.size++
}

func (q *queue) remove(r *record) {
	if r.prev != nil {
		r.prev.next = r.next
	} else {
		q.front = r.next
	}
	if r.next != nil {
		r.next.prev = r.prev
	} else {
		q.back = r.prev
	}
	r.prev, r.next = nil, nil
	q.size--
}

// tombstones remembers ended attempts or processes for a time, oldest first.
type tombstones[K comparable] struct {
	until map[K]time.Duration
	order []K
}

func (t *tombstones[K]) add(k K, until time.Duration) {
	if t.until == nil {
		t.until = make(map[K]time.Duration)
	}
	if _, ok := t.until[k]; !ok {
		t.order = append(t.order, k)
	}
	t.until[k] = until
}

func (t *tombstones[K]) has(k K) bool {
	_, ok := t.until[k]
	return ok
}

// expire forgets what ended before now. An entry that was put off goes to the
// back of the queue.
func (t *tombstones[K]) expire(now time.Duration) {
	for len(t.order) > 0 {
		k := t.order[0]
		if t.until[k] > now {
			return
		}
		delete(t.until, k)
		t.order = t.order[1:]
	}
}
