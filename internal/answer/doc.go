// Package answer decides what a request's caller is told and what is done next
// when an attempt at an upstream ends.
//
// It owns the outcome of a request (not-run, ran or unknown), the decision to
// retry, resume or fail, and the assembly of one whole answer from the events
// of one or more attempts. It sends no messages and does no I/O: events and
// facts go in, decisions and bytes come out.
//
// It promises that not-run is reported only where no byte of the request can
// have left for an upstream, that a request that may not be repeated is never
// tried again once a byte may have left, that every token event is relayed
// exactly once and in order, and that a stream without its end is never passed
// off as whole.
package answer
