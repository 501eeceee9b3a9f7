// Package exchange makes HTTP/1.1 exchanges with upstreams over persistent
// connections.
//
// Unlike net/http's Transport it never sends a request a second time, reports
// whether a byte of a request may have arrived, skips answers that belong to an
// earlier exchange, and reuses a connection only after an exchange that ended
// cleanly on both sides.
package exchange
