// Package routes holds the operators' routing table: which requests go to which
// pool, which may be retried, how long a caller waits, and which API keys are valid.
//
// A Table is decoded from the document that operators send, checked completely, and
// indexed by host and path. The control group replicates the document itself, so
// that operators read it back exactly as they sent it.
package routes
