// Package fleet holds the identifiers and small value types that all packages share:
// instances, availability zones, workspaces, upstreams, epochs, and the outcome of a
// request. It also holds small helpers for clocks, errors and periodic work. It keeps
// no state and does no network or disk I/O.
package fleet
