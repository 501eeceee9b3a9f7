// Package upstream speaks to the back ends and to the platform: engines (chat
// streams, load, cache events, orders, KV cache), plain services and the
// platform's list of instances. Each stands behind a small interface, with one
// implementation over HTTP.
//
// It owns the connections and holds no decision. It sends the engine protocol,
// the services' plain HTTP and the platform's GET /instances.
//
// It promises exact facts: a failed call reports answer.Facts in which
// MayHaveLeft is false only if no byte of the request was handed to the
// network. A call that may not be repeated is written at most once, to one
// connection of its own. An answer that names another attempt is never
// returned.
package upstream
