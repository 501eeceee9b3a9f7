// Package ledger prevents requests that are not idempotent from running twice.
//
// It keeps one record per idempotency key, for one attempt: begun, unknown, or
// finished with its complete answer. State is the replicated part: a deterministic
// state machine that the control instances apply from their log. Booking runs in the
// router that owns the upstream: it is the state machine of one attempt, from its
// begin to its end. The messages are Command and Result, in MessagePack.
//
// It guarantees that of all attempts under one key at most one writes to a service:
// an attempt writes only after its begin was committed, a begin is granted to one
// attempt of one process, and a process whose lease may have expired does not write.
// It does not guarantee that an attempt runs: after a failure the outcome of a key may
// stay unknown until the service is queried.
package ledger
