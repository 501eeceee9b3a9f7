package admission

// awaitingList is a linked list of one upstream's admitted requests that have no first
// token yet, in order of admission.
type awaitingList struct {
	first, last *entry
}

func (a *awaitingList) push(e *entry) {
	e.prev, e.next = a.last, nil
	if a.last != nil {
		a.last.next = e
	} else {
		a.first = e
	}
	a.last = e
}

// remove unlinks the entry and marks its first token as counted. It does nothing if
// the entry was removed before.
func (a *awaitingList) remove(e *entry) {
	if e.firstTokenCounted {
		return
	}
	e.firstTokenCounted = true
	if e.prev != nil {
		e.prev.next = e.next
	} else {
		a.first = e.next
	}
	if e.next != nil {
		e.next.prev = e.prev
	} else {
		a.last = e.prev
	}
	e.prev, e.next = nil, nil
}
