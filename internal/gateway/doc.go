// Package gateway serves callers by the operators' routing table: it finds the
// route and the workspace of a request, has the balancer choose an upstream, sends
// the request there and passes the answer on.
//
// The router that takes a request decides on it alone. It serves through any loss
// of the control group; only keys ask for a confirmed configuration, and cold
// upstreams for a session lease.
//
// What callers and upstreams write into headers is a Dialect's business.
package gateway
