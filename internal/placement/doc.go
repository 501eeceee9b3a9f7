// Package placement decides which upstream a request goes to, which instance owns
// an upstream, and which instance is the plan home of a workspace. It computes
// owners and plan homes from a committed membership, ranks a pool's upstreams for a
// chat, records which chats are resident on which upstream, and computes the cost
// of moving a chat's KV cache. It sends no messages and does no I/O: the caller
// passes in the membership, upstreams, cache events and the current time.
//
// It guarantees that all routers with the same membership compute the same owner,
// that a change of one upstream moves only the chats ranked on it, and that a
// lookup doesn't allocate.
//
// The ranking is rendezvous hashing (Thaler and Ravishankar, 1998); unequal
// weights use the logarithmic method (Schindelhauer and Schomaker, 2005).
package placement
