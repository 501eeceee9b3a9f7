// Package upstream holds the clients of upstreams and of the platform: engines (chat
// streams, load, cache events, orders, KV cache), plain services and the platform's
// list of upstreams. Each has a small interface with one implementation over HTTP.
//
// It manages the connections and makes no routing decisions. It speaks the engine
// protocol, the services' plain HTTP and the platform's GET /instances.
//
// It guarantees exact facts: a failed call reports answer.Facts in which MayHaveBeenSent
// is false only if no byte of the request was passed to the network. A call that is
// not repeatable is written at most once, to its own connection. An answer that names
// another attempt is never returned.
package upstream
