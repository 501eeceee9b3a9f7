// Package dispatch decides which of a router's requests to a pool start now, which wait, in which
// order, and which are rejected at once, when the pool has too little room for all of them.
//
// Each router decides by itself, within its part of the pool's capacity: no request waits for a
// message of another router. The package does no I/O and starts nothing: events and the time go
// in, and the entries that start or are rejected come out. The shell is in internal/gateway.
package dispatch
