// Package plan keeps every workspace within its plan. It owns, at a workspace's
// plan home, the books of that workspace: the request rate, the concurrency and
// the tokens used, and what of them is lent to routers; and at a router, the
// credits it has borrowed. It also answers what a plan permits. Routers send
// BorrowRequest to the home, which answers with BorrowReply; the package itself
// does no I/O.
//
// It promises that over all routers, and while messages are lost, repeated or
// reordered, instances stop or freeze and homes change hands,
//
//   - in any span T no more than Burst + RequestsPerSecond x T requests start,
//   - no more than Concurrency requests are in flight,
//   - in any minute no more than TokensPerMinute tokens are reserved,
//
// as long as estimates bound the tokens of a request from above. A credit lapses at the
// borrower no later than at the home: the borrower counts its lifetime from when
// it sent the request, the home from when it received it.
package plan
