// Package admission decides when a request may start on an upstream. It owns,
// for the upstreams that one instance owns, the requests in flight, the load
// bound, the cold-start window, the drain state, the queue and the breaker; and
// for one router the retry budgets. It sends no messages and does no I/O:
// requests, answers, pool loads and the current time are handed in, decisions
// come out.
//
// It promises that at every admission the upstream's requests in flight,
// the new one included, are at most
//
//	min(window, MaxConcurrency, Bound(LoadFactor x mean, floor))
//
// where the mean is that of the pool's upstreams at the last renewal, those left
// out whose window has not reached the bound since they started, and
// the floor is StartConcurrency; that an upstream which is out or leaving gets
// no new request; that a queued request is admitted or refused by its deadline;
// and that batch work gets at least one in BatchShare admissions from a queue
// in which it waits.
package admission
