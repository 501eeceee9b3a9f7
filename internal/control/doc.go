// Package control runs a member of the control group: the replicated log, the
// state machine with the routers' membership, the configuration and the ledger,
// and on the leader the session leases.
//
// It serves the session, config, ledger and consensus methods on the mesh,
// implements the backend of the operators' HTTP API, and provides the client with
// which routers find the leader. It guarantees that leases are granted only by a
// member that can prove that it leads, and that nothing is acknowledged before it
// is committed.
package control
