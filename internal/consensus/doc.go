// Package consensus keeps one replicated log on three, five or seven members
// and applies its committed commands to a state machine in the same order on
// each of them. It follows Raft: Diego Ongaro, "Consensus: Bridging Theory and
// Practice" (Stanford, 2014), cited below as "thesis" with the section.
//
// Core is the protocol state machine and does no I/O: its inputs are messages,
// proposals and the time, and its output is a Ready that lists what must be synced,
// sent and applied. The store keeps the log, the vote and the snapshot in one data
// directory. Group runs both in a goroutine.
//
// The package sends and receives Message values only, through a Transport that
// may lose, duplicate, delay and reorder them.
//
// It guarantees:
//   - at most one leader per term, and no two members that hold a leader lease
//     at the same instant while clocks drift by no more than the stated bound;
//   - an acknowledged proposal is synced to the disks of a majority, and is never
//     lost while a majority of the members keep their disks;
//   - an emptied, copied or foreign data directory never votes or acknowledges on
//     behalf of the member it replaces.
package consensus
