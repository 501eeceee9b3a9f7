package session

import "time"

// testClock is the monotonic clock of a process. It runs at rate times true time.
type testClock struct {
	rate   float64
	offset time.Duration
}

// at returns the reading of the clock at the true time t.
func (c testClock) at(t time.Duration) time.Duration {
	return c.offset + time.Duration(float64(t)*c.rate)
}

// trueTime is the inverse of at.
func (c testClock) trueTime(local time.Duration) time.Duration {
	return time.Duration(float64(local-c.offset) / c.rate)
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
