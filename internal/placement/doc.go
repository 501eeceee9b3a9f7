// Package placement decides which upstream a request goes to and which
// instance owns what. It owns the mapping from a committed membership to owners
// and plan homes, the ranking of a pool's upstreams for a chat, the record of
// which chats are resident on which upstream, and the price of moving a chat's
// KV cache. It sends no messages and does no I/O: membership, upstreams, cache
// events and the current time are handed in.
//
// It promises that every router with the same membership names the same owner,
// that a change of one upstream moves only the chats ranked on it, and that a
// lookup allocates nothing.
//
// The ranking is rendezvous hashing (Thaler and Ravishankar, 1998); unequal
// weights use the logarithmic method (Schindelhauer and Schomaker, 2005).
package placement
