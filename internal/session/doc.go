// Package session manages the fleet's membership: which routers are members, which
// hold a lease, and from which epoch on each membership may be used.
//
// It has three cores without I/O:
//
//   - Roster is replicated through the control log. Its commands add and remove
//     members; each change of the set raises the epoch.
//   - Grantor runs on the log's leader and is created at each election. It answers
//     RenewRequest with RenewReply and proposes Roster commands.
//   - Holder runs in each router. It sends RenewRequest and decides whether the
//     router may dispatch to an upstream now.
//
// Guarantee: at any instant at most one router owns a key under a valid lease,
// provided that clocks drift by no more than Settings.MaxDrift and that the
// control log has at most one leader with a valid leader lease. The leases follow
// Gray and Cheriton (SOSP 1989) and are granted as in Chubby (Burrows, OSDI 2006):
// the holder counts a lease from the instant at which it sent the renewal, and each
// new grantor waits for a full lease before it removes a member.
package session
