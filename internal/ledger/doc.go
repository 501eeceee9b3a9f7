// Package ledger keeps requests that may not be repeated from running twice.
//
// It owns, per idempotency key, the record of one attempt: begun, unknown or
// finished with its whole answer. State is the replicated part: a deterministic
// core that a quorum of control instances applies from their log. Booking is
// the part of the router that owns the upstream: it drives one attempt from its
// begin to its finish. The messages are Command and Result, in MessagePack.
//
// It promises that of all attempts under one key at most one writes to a
// service: an attempt writes only after its begin was committed, a begin is
// granted to one attempt of one process, and a process whose lease may have run
// out does not write. It does not promise that an attempt runs: after a loss the
// outcome of a key may stay unknown until the service is asked.
package ledger
