// Package balance chooses the upstream of each request at one router and decides
// what a router may send on: cold upstreams, second tries, upstreams that fail.
// It has no I/O; times come in with each call.
//
// A router sends to upstreams itself and knows their load from its own requests
// and from what upstreams report with their answers. What must be exact over the
// whole fleet rests on the session lease: only the owner of a cold upstream sends
// to it, and the slack of a pool's retry budget is shared by the membership.
package balance
