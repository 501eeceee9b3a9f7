// Package load sends requests to a fleet, or directly to engines, as callers do and
// checks every answer: streams token by token against the stand-in's expected
// answer, lookups against their expected response, and bookings with repeated keys
// against the runs that the services counted. It measures the time to the first
// token and between tokens, and reads the routers' processor time from their
// metrics.
//
// Load is bounded: a closed loop by its concurrency, an open loop by its rate and
// by the requests in flight. Arrivals above a bound are not sent but counted as
// held back.
package load
