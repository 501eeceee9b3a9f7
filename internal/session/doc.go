// Package session owns the fleet's authority: who is a member, who holds a
// lease, and from which epoch on each membership may be acted upon.
//
// It has three cores without I/O:
//
//   - Roster is replicated through the control log. Its commands add and remove
//     members; each change of the set raises the epoch.
//   - Grantor lives beside the log's leader and is made anew at each election.
//     It answers RenewRequest with RenewReply and proposes Roster commands.
//   - Holder lives in each router. It sends RenewRequest and decides whether
//     the router may dispatch to an upstream now.
//
// Promise: at any instant at most one router owns a key under a valid lease,
// provided that clocks drift by no more than Settings.MaxDrift and that the
// control log has at most one leader with a valid leader lease. The leases are
// those of Gray and Cheriton (SOSP 1989), granted as in Chubby (Burrows, OSDI
// 2006): counted by the holder from the moment it sent the renewal, and waited
// out in full by each new grantor.
package session
