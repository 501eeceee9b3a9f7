// Package owner runs work at the upstreams that this instance owns. It admits
// or refuses each request that an entry router forwards, dispatches it to the
// upstream, relays the answer and keeps the upstream's facts: requests in
// flight, cold-start window, drain state and the chats it holds.
//
// It serves MethodChat and MethodCall on the mesh. It promises that no request
// leaves for an upstream unless the session lease is valid and this instance
// owns the upstream at that moment, and that a Verdict that refuses is true: no
// byte of the request has left.
package owner
