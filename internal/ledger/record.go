package ledger

import (
	"time"

	"github.com/wigeonflow/wigeonflow/internal/answer"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// status is the state of a record.
type status uint8

const (
	statusBegun status = iota
	statusUnknown
	statusFinished
	statuses // number of statuses
)

// processID identifies one boot of an instance.
type processID struct {
	owner fleet.InstanceID
	boot  fleet.BootID
}

// record is the ledger's record of one key.
type record struct {
	key     Key
	body    BodyDigest
	attempt answer.AttemptID
	owner   processID     // only while begun
	tenure  uint64        // of the owner, only while begun
	answer  []byte        // only while finished; nil if it isn't stored
	since   time.Duration // state time of the last status change
	status  status

	prev, next *record
}

// queue is a linked list of records in the order of insertion. The state's time never
// goes back, so the front is the oldest.
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

// tombstones keeps the IDs of ended attempts or processes until they expire, in the order
// of insertion. The value of a process is its last ended tenure; that of an attempt is 0.
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

// value returns the number stored with k, or 0.
func (t *tombstones[K]) value(k K) uint64 { return t.entries[k].value }

// expire removes the entries that expired by now. An entry whose expiry was extended
// delays the removal of the entries after it.
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
