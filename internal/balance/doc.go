// Package balance chooses the upstream of each request at one router. It limits
// requests to cold upstreams, retries, and requests to failing upstreams. It does
// no I/O; the caller passes the current time with each call.
//
// A router sends to upstreams directly and estimates their load from its own
// requests, from the load that upstreams report with their answers, and from the
// activity that other routers report. Limits that must hold exactly over the whole
// fleet rest on the session lease: only the owner of a cold upstream sends to it,
// and the members share the slack of a pool's retry budget.
package balance
