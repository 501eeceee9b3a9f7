// Package gateway serves callers by the operators' routing table: it finds the
// route and the workspace of a request, has the balancer choose an upstream,
// forwards the request to it and relays the answer.
//
// A router decides on each request without asking other routers. It keeps serving
// while the control group is unavailable, except that keys are only accepted under
// a recently confirmed configuration, and cold upstreams only used under a valid
// session lease.
//
// A Protocol translates the header fields of callers and upstreams.
package gateway
