// Package consensus keeps one replicated log on three, five or seven members
// and applies its committed commands to a state machine in the same order on
// each of them. It follows Raft: Diego Ongaro, "Consensus: Bridging Theory and
// Practice" (Stanford, 2014), cited below as "thesis" with the section.
//
// Core holds every decision and does no I/O: messages, proposals and the time
// go in, and a Ready with what must be synced, sent and applied comes out. The
// store keeps the log, the vote and the snapshot in one data folder. Group runs
// both in a goroutine.
//
// The package sends and receives Message values only, through a Transport that
// may lose, repeat, delay and reorder them.
//
// It promises:
//   - at most one leader per term, and no two members that hold a leader lease
//     at the same instant while clocks drift by no more than the stated bound;
//   - a proposal that was answered is on the synced disks of a majority, and is
//     never lost while a majority of the members keep their disks;
//   - an emptied, copied or foreign data folder never votes or acknowledges as
//     the member that it stands in for.
package consensus
