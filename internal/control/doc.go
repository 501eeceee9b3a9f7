// Package control runs a member of the control group: the replicated log with
// the state machine that holds the routers' roster, the configuration and the
// ledger, and on the leader the session leases.
//
// It serves the session, config, ledger and consensus methods on the mesh and
// the operators' HTTP API, and holds the client with which routers find the
// leader. It promises that leases are granted only by a member that can prove
// that it leads, and that nothing is acknowledged before it is committed.
package control
