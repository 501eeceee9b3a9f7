package balance

import "time"

// tally counts the events of one slot of a sliding window, and separately those that are
// marked: failures or retries.
type tally struct {
	index  int64 // of the slot, counted from the clock's start
	all    int
	marked int
}

// tallyAt returns the window's slot for the time now, cleared if it still holds an earlier
// period. width is the length of a slot.
func tallyAt(window []tally, now, width time.Duration) *tally {
	index := int64(now / width)
	t := &window[index%int64(len(window))]
	if t.index != index {
		*t = tally{index: index}
	}
	return t
}

// sumTallies sums the slots of a window that ends now.
func sumTallies(window []tally, now, width time.Duration) (all, marked int) {
	oldest := int64(now/width) - int64(len(window))
	for _, t := range window {
		if t.index > oldest {
			all += t.all
			marked += t.marked
		}
	}
	return all, marked
}
