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
	tenure  uint64  // of the owner
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

// tombstones remembers ended attempts or sessions for a time, oldest first, with
// a number for each.
type tombstones[K comparable] struct {
	entries map[K]tombstone
	order   []K
}

type tombstone struct {
	until time.Duration
	value uint64
}

func (t *tombstones[K]) add(k K, until time.Duration, value uint64) {
	if t.entries == nil {
		t.entries = make(map[K]tombstone)
	}
	if !t.has(k) {
		t.order = append(t.order, k)
	}
	t.entries[k] = tombstone{until, value}
}

func (t *tombstones[K]) has(k K) bool {
	_, ok := t.entries[k]
	return ok
}

// value returns the number remembered with k, or 0.
func (t *tombstones[K]) value(k K) uint64 { return t.entries[k].value }

// expire forgets what ended before now. An entry whose time was put off holds
// back those behind it until then.
func (t *tombstones[K]) expire(now time.Duration) {
	for len(t.order) > 0 {
		k := t.order[0]
		if t.entries[k].until > now {
			return
		}
		delete(t.entries, k)
		t.order = t.order[1:]
	}
}
