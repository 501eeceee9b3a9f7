// Package fleet holds the identifiers and small value types that every duty of
// the router fleet shares: instances, availability zones, workspaces,
// upstreams, epochs and the outcome of a request. It owns no state and does no
// I/O.
package fleet
