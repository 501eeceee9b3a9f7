// Package plan keeps every workspace within the limits of its plan. At a
// workspace's plan home it holds the usage records: the request rate, concurrency
// and tokens used, and the credits granted to routers. At a router, the borrower,
// it holds the granted credits. It also reports what a plan permits. A borrower
// sends a BorrowRequest to the home, which answers with a BorrowReply; the package
// itself does no I/O.
//
// A grant is a numbered amount of credits that expires. The package guarantees over
// all routers that, even if messages are lost, duplicated or reordered, instances
// stop or freeze, and homes move,
//
//   - in any span T no more than Burst + RequestsPerSecond x T requests start,
//   - no more than Concurrency requests are in flight,
//   - in any minute no more than TokensPerMinute tokens are reserved,
//
// as long as the estimate of a request's tokens is an upper bound. A grant expires at
// the borrower no later than at the home: the borrower counts its lifetime from when
// it sent the request, the home from when it received the request.
package plan
