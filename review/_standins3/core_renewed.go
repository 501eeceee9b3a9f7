package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"
)

// The core machines of dala-press and those that may be added to it: one in each zone.
const (
	coreMachines  = 5
	spareMachines = 4
)

// Waits of the case. All but the last are longer than catch_up_s (4 s), and the last is longer than
// recovery_s (12 s).
const (
	catchUp       = 6 * time.Second
	betweenStops  = 7 * time.Second
	quietTime     = 8 * time.Second
	recoveryTime  = 18 * time.Second
	contactTime   = 3 * time.Second // contact_ms: for so long the operator reads back at least
	changeTimeout = 4 * time.Second // ack_timeout_ms
)

var errSetup = errors.New("the fleet did not serve before the disruption")

// startFleet starts core machines, two fronts, the platform and two replicas.
func startFleet(f *fleet, cores int) (core, fronts []*machine, err error) {
	f.list = &platformList{}
	if err := serveHTTP(f.addr(200, portList), f.list); err != nil {
		return nil, nil, err
	}
	var entries []entry
	for n := range 2 {
		r := &replica{rec: f.rec, id: fmt.Sprintf("i-%d", n+1), work: 10 * time.Millisecond}
		addr := f.addr(100+n, portReplica)
		if err := serveHTTP(addr, r); err != nil {
			return nil, nil, err
		}
		entries = append(entries, entry{ID: r.id, Service: "ledger", Address: addr, Zone: zones[n], Version: "v1", Slots: 16, State: "ready", Born: time.Now().UnixMilli()})
	}
	f.list.set(entries...)
	for n := range cores {
		core = append(core, f.addCore(n))
	}
	for n := range 2 {
		fronts = append(fronts, f.addFront(n))
	}
	f.setSeeds(core[:3]...)
	for _, m := range append(append([]*machine(nil), core...), fronts...) {
		if err := f.start(m, true); err != nil {
			return nil, nil, err
		}
	}
	return core, fronts, nil
}

// addresses returns the addresses of machines at a port.
func addresses(machines []*machine, port int) (out []string) {
	for _, m := range machines {
		out = append(out, fmt.Sprintf("%s:%d", m.ip, port))
	}
	return out
}

// coreRenewed renews the core as planned work: the spare machines are added one after the other, and
// then as many old ones are stopped for good, one after the other. Then one machine loses its disk, which fault_tolerance
// allows. The operator reads back what was acknowledged.
func coreRenewed(rec *recorder, trouble bool) (held bool, err error) {
	f, err := newFleet(rec)
	if err != nil {
		return false, err
	}
	defer f.close()
	core, fronts, err := startFleet(f, coreMachines)
	if err != nil {
		return false, err
	}
	o := &operator{rec: rec, nodes: func() []string { return addresses(core, portControl) }}
	version := 7
	if !o.replace(version, 15*time.Second) {
		return false, errSetup
	}
	change := func() bool {
		version += 3
		return o.replace(version, changeTimeout)
	}
	c := &clients{rec: rec, fronts: func() []string { return addresses(fronts, portFront) }}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go c.run(ctx, 20)
	time.Sleep(4 * time.Second)

	if trouble {
		for n := range spareMachines {
			added := f.addCore(coreMachines + n)
			if err := f.start(added, false); err != nil {
				return false, err
			}
			core = append(core, added)
			time.Sleep(catchUp) // a new machine counts as lost until then
		}
		for range spareMachines {
			f.stop(core[0])
			core = core[1:]
			f.setSeeds(core[len(core)-3:]...)
			if !change() {
				return false, errors.New("no change was acknowledged after a machine was stopped")
			}
			time.Sleep(betweenStops)
		}
	}
	time.Sleep(quietTime)
	now := time.Now()
	served, all := c.served(now.Add(-4*time.Second), now.Add(-time.Second))
	rec.event("clients, before the loss: %d of %d served", served, all)
	if !change() || served*2 < all {
		return false, errSetup
	}
	if trouble {
		lost := core[len(core)-1]
		f.kill(lost)
		if err := os.RemoveAll(lost.data); err != nil {
			return false, err
		}
		rec.event("%s has lost its disk", lost.name)
		time.Sleep(500 * time.Millisecond)
		if err := f.start(lost, false); err != nil {
			return false, err
		}
	}
	time.Sleep(recoveryTime)
	now = time.Now()
	got := o.read(2 * contactTime)
	time.Sleep(contactTime)
	served, all = c.served(now, time.Now().Add(-time.Second))
	rec.event("clients, %v after the loss: %d of %d served; acknowledged version %d, read back %d", recoveryTime, served, all, version, got)
	return got >= version, nil // CONFIG alone; what clients got is only told
}
