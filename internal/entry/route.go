package entry

import (
	"slices"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/placement"
)

// target is one candidate of a request, with the conditions under which its owner is
// asked to admit the request.
type target struct {
	placement.Candidate
	// firm requests may use the headroom above the mean load. It is reserved for chats
	// with more cached tokens on the first pass over the candidates.
	firm bool
	// queue allows the owner to queue the request until it has capacity.
	queue bool
}

// route is the order in which the owners of a request's candidates are asked: each
// candidate once, then each as a firm request, and finally the first ranked one, where
// a new cache is placed, with queueing. It does no I/O.
type route struct {
	targets []target
	at      int // index of the current target
	// first is the upstream whose owner is notified if another one serves the chat.
	first fleet.UpstreamID
	// redirected is set once an owner has changed the order. Further changes are
	// ignored, since the owners' records may contradict each other.
	redirected bool
}

// newRoute returns the route of a chat.
func newRoute(candidates []placement.Candidate) *route {
	r := &route{targets: make([]target, 0, 2*len(candidates)+1)}
	for _, c := range candidates {
		r.targets = append(r.targets, target{Candidate: c})
	}
	return r.addFirmTargets(candidates)
}

// newCallRoute returns the route of a request to a plain service, which uses no cache.
func newCallRoute(candidates []placement.Candidate) *route {
	return new(route).addFirmTargets(candidates)
}

// addFirmTargets appends the firm targets and the one that may queue.
func (r *route) addFirmTargets(candidates []placement.Candidate) *route {
	for _, c := range candidates {
		if c.Basis == placement.Ranked {
			r.targets = append(r.targets, target{Candidate: c, firm: true})
		}
	}
	index := max(placement.FirstRanked(candidates), 0)
	if len(candidates) > 0 {
		r.first = candidates[index].Upstream
		r.targets = append(r.targets, target{Candidate: candidates[index], firm: true, queue: true})
	}
	return r
}

// maxTargets bounds the targets of one route: each candidate as a plain and as a firm
// target, the one that may queue, and those that redirect or askOthers inserts.
const maxTargets = 3*maxCandidates + 3

func (r *route) current() target { return r.targets[r.at] }

// advance moves to the next target, and reports whether there is one.
func (r *route) advance() bool {
	if r.at+1 >= len(r.targets) {
		return false
	}
	r.at++
	return true
}

// redirect inserts the upstream that holds the chat's cache as the next target, if it
// is eligible, followed by the current target again, which serves the chat if that
// upstream can't.
func (r *route) redirect(id fleet.UpstreamID, eligible bool) {
	if r.redirected {
		return
	}
	r.redirected = true
	if eligible {
		holder := target{Candidate: placement.Candidate{Upstream: id, Basis: placement.Recorded}}
		r.insert(holder, r.current())
		return
	}
	r.insert(r.current())
}

// askOthers inserts the other candidates as the next targets, which serve the chat only
// if they have its cache, followed by the current target again.
func (r *route) askOthers() {
	if r.redirected {
		return
	}
	r.redirected = true
	var others []target
	for _, s := range r.targets[r.at+1:] {
		if s.firm {
			break
		}
		s.Basis = placement.Former
		others = append(others, s)
	}
	r.insert(append(others, r.current())...)
}

// insert inserts targets after the current one.
func (r *route) insert(targets ...target) {
	r.targets = slices.Insert(r.targets, r.at+1, targets...)
}
