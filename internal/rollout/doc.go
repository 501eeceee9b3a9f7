// Package rollout decides how a pool's traffic moves to upstreams of a new version: which share
// they get, when the new version has shown that it is no worse than the old one, and when the
// traffic goes back.
package rollout
