package admission

// awaiting lists the admitted requests of one upstream that have no first token
// yet, in the order of their start.
type awaiting struct {
	first, last *entry
}

func (a *awaiting) push(e *entry) {
	e.before, e.after = a.last, nil
	if a.last != nil {
		a.last.after = e
	} else {
		a.first = e
	}
	a.last = e
}

// remove takes the entry off the list and marks it seen; it does nothing to an
// entry that was removed before.
func (a *awaiting) remove(e *entry) {
	if e.seen {
		return
	}
	e.seen = true
	if e.before != nil {
		e.before.after = e.after
	} else {
		a.first = e.after
	}
	if e.after != nil {
		e.after.before = e.before
	} else {
		a.last = e.before
	}
	e.before, e.after = nil, nil
}
