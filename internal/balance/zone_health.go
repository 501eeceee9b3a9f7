package balance

import (
	"slices"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

const (
	// minSilent is the number of upstreams of a zone that must have failed without a byte, and none
	// of the zone answered meanwhile, before the zone is avoided. One or two may fail by themselves.
	minSilent = 3
	// zoneBarBase and zoneBarMax bound how long a zone is avoided before it is probed; the time
	// doubles with each failed probe. A zone that has lost its power or its links is back within
	// seconds.
	zoneBarBase = 500 * time.Millisecond
	zoneBarMax  = 2 * time.Second
)

// zoneHealth avoids the upstreams that a pool has in one availability zone, while none of them
// answers. Without it a router learns of the loss of a zone one upstream after the other, which
// takes the longer the more upstreams there are.
type zoneHealth struct {
	answeredAt  time.Duration      // time of the newest byte from any upstream of the zone
	silent      []fleet.UpstreamID // that have failed without a byte since then, up to minSilent
	bar         time.Duration      // time for which the zone is avoided; 0 if it is not
	barredUntil time.Duration
	probing     bool // a probe is in flight
}

// usable reports whether upstreams of the zone may get a request now, and whether that request is a
// probe.
func (z *zoneHealth) usable(now time.Duration) (ok, probe bool) {
	if z == nil || z.bar == 0 {
		return true, false
	}
	return now >= z.barredUntil && !z.probing, true
}

// recordAnswer records that an upstream of the zone has sent a byte of an answer.
func (z *zoneHealth) recordAnswer(now time.Duration) {
	if z != nil {
		z.answeredAt, z.silent, z.bar, z.probing = now, z.silent[:0], 0, false
	}
}

// beginProbe records that a request is sent to the zone, and reports whether it is a probe.
func (z *zoneHealth) beginProbe(now time.Duration) bool {
	ok, probe := z.usable(now)
	if ok && probe {
		z.probing = true
	}
	return ok && probe
}

// recordSilence records that an upstream of the zone has failed a request without a byte, which was
// sent at the time began.
func (z *zoneHealth) recordSilence(now, began time.Duration, id fleet.UpstreamID) {
	if z == nil || began <= z.answeredAt {
		return
	}
	if len(z.silent) < minSilent && !slices.Contains(z.silent, id) {
		z.silent = append(z.silent, id)
	}
	if len(z.silent) < minSilent || now < z.barredUntil { // late results of requests sent before the bar
		return
	}
	z.bar = min(max(2*z.bar, zoneBarBase), zoneBarMax)
	z.barredUntil = now + z.bar
}

// poolZone is the part of a pool that lies in one availability zone.
type poolZone struct {
	pool fleet.PoolID
	zone fleet.AvailabilityZone
}

// zoneOf returns the health of an upstream's zone, or nil if the pool has too few upstreams there to
// tell the zone's failure from theirs.
func (b *Balancer) zoneOf(s *upstreamState, counts map[poolZone]int) *zoneHealth {
	key := poolZone{s.Pool, s.Zone}
	if counts[key] < minSilent {
		return nil
	}
	z := b.zones[key]
	if z == nil {
		z = new(zoneHealth)
		b.zones[key] = z
	}
	return z
}

// setZones sets the zone health of all upstreams, and forgets zones without upstreams.
func (b *Balancer) setZones() {
	counts := make(map[poolZone]int)
	for _, s := range b.states {
		if s.listed {
			counts[poolZone{s.Pool, s.Zone}]++
		}
	}
	for key := range b.zones {
		if counts[key] < minSilent {
			delete(b.zones, key)
		}
	}
	for _, s := range b.states {
		s.zoneHealth = b.zoneOf(s, counts)
	}
}

// endProbe records that a probe has ended. The zone is nil if it isn't judged any more.
func (z *zoneHealth) endProbe() {
	if z != nil {
		z.probing = false
	}
}
