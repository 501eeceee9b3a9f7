// Package owner runs requests at the upstreams that this instance owns. It admits
// or rejects each request that an entry router forwards, dispatches it to the
// upstream and relays the answer. It keeps the state of its upstreams: requests in
// flight, cold-start window, drain state and cached chats.
//
// It serves MethodChat and MethodCall on the mesh. It guarantees that a request is
// sent to an upstream only while the session lease is valid and this instance owns the
// upstream, and that no byte of a request was sent if its Verdict is a rejection.
package owner
