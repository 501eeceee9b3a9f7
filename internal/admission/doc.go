// Package admission decides when a request may start on an upstream. For each
// upstream that one instance owns it holds the requests in flight, the load bound,
// the cold-start window, the drain state, the queue and the breaker; for each
// router it holds the retry budgets. It sends no messages and does no I/O: the
// caller passes in requests, answers, pool loads and the current time, and gets
// decisions back.
//
// It guarantees that at every admission, except that of a resumed request, the
// upstream's requests in flight, including the new one, are at most
//
//	min(window, MaxConcurrency, Bound(LoadFactor x mean, floor))
//
// where mean is the mean load of the pool's upstreams at the last renewal, without
// those whose window has not reached the bound since they started, and floor is
// StartConcurrency. It also guarantees that
//
//   - an upstream that is out or leaving gets no new request;
//   - a queued request is admitted or rejected by its deadline, or at the first Tick
//     after it;
//   - batch work gets at least one in BatchShare admissions from a queue in which
//     it waits.
package admission
