// Package answer decides what to send to a request's caller and how to continue
// when an attempt at an upstream ends.
//
// It computes the outcome of a request (not-run, ran or unknown), decides whether
// to retry, resume or fail, and assembles one complete answer from the events of
// one or more attempts. It sends no messages and does no I/O: the caller passes in
// events and facts, and gets decisions and bytes back.
//
// It guarantees that
//
//   - not-run is reported only if no byte of the request can have been sent to an
//     upstream;
//   - a request that may not be repeated is never retried once a byte may have been
//     sent;
//   - every token event is relayed exactly once and in order;
//   - a stream without its end is never reported as complete.
package answer
