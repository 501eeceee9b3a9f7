package entry

import (
	"slices"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/placement"
)

// stop is one owner to ask for one request.
type stop struct {
	placement.Candidate
	// firm requests may use the headroom above the mean load, which the first
	// round over the candidates leaves to chats with more cached.
	firm bool
	// queue lets the owner hold the request until it has capacity.
	queue bool
}

// route is the order in which a request's candidates are asked: each once, each
// again as a firm request, and the first one of the present ranking, where a new
// cache belongs, to queue at. It is a plain value without I/O.
type route struct {
	stops []stop
	at    int
	// first is the upstream that is told where the chat was served instead.
	first fleet.UpstreamID
	// redirected is set once an owner has changed the order: the owners' records
	// may disagree.
	redirected bool
}

func newRoute(candidates []placement.Candidate) *route {
	r := &route{stops: make([]stop, 0, 2*len(candidates)+1)}
	for _, c := range candidates {
		r.stops = append(r.stops, stop{Candidate: c})
	}
	return r.firmStops(candidates)
}

// newCallRoute is the route of a request that has no cache anywhere.
func newCallRoute(candidates []placement.Candidate) *route {
	return new(route).firmStops(candidates)
}

func (r *route) firmStops(candidates []placement.Candidate) *route {
	for _, c := range candidates {
		if c.Basis == placement.Ranked {
			r.stops = append(r.stops, stop{Candidate: c, firm: true})
		}
	}
	wait := max(placement.FirstRanked(candidates), 0)
	if len(candidates) > 0 {
		r.first = candidates[wait].Upstream
		r.stops = append(r.stops, stop{Candidate: candidates[wait], firm: true, queue: true})
	}
	return r
}

// maxStops bounds the stops of one route.
const maxStops = 3*maxHops + 3

func (r *route) current() stop { return r.stops[r.at] }

// advance moves to the next stop; false means that none is left.
func (r *route) advance() bool {
	if r.at+1 >= len(r.stops) {
		return false
	}
	r.at++
	return true
}

// redirect puts the upstream that holds the chat's cache next, if it takes work,
// and the present one, which serves the chat where that one cannot, behind it.
func (r *route) redirect(id fleet.UpstreamID, eligible bool) {
	if r.redirected {
		return
	}
	r.redirected = true
	if eligible {
		named := stop{Candidate: placement.Candidate{Upstream: id, Basis: placement.Recorded}}
		r.insert(named, r.current())
		return
	}
	r.insert(r.current())
}

// askOthers puts the other candidates next, to serve the chat only if its cache
// is there, and the present one behind them.
func (r *route) askOthers() {
	if r.redirected {
		return
	}
	r.redirected = true
	var asked []stop
	for _, s := range r.stops[r.at+1:] {
		if s.firm {
			break
		}
		s.Basis = placement.Former
		asked = append(asked, s)
	}
	r.insert(append(asked, r.current())...)
}

func (r *route) insert(stops ...stop) {
	r.stops = slices.Insert(r.stops, r.at+1, stops...)
}
