// Package load asks a fleet, or engines without one, as callers would, and
// checks every answer: streams token by token against the stand-in's expected
// answer, lookups against theirs, and bookings with repeated keys against the
// runs that the services counted. It measures the time to the first token and
// between tokens, and reads the routers' processor time from their metrics.
//
// Load is bounded: a closed loop by its concurrency, an open loop by its rate and
// by the requests in flight. Arrivals that the bound holds back are counted, not
// hidden.
package load
