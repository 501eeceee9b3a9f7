// Package entry serves the callers' HTTP API. For each request it finds the
// workspace, charges its plan, orders the candidate upstreams, forwards the
// request to the owner of one of them over the mesh and relays the answer.
//
// It keeps the request, the caller's connection and the offset of the last event
// relayed, so that a broken answer can be resumed through another owner. It
// guarantees that every request ends with its own complete answer, an explicit error
// inside the stream, or a rejection with an outcome.
package entry
