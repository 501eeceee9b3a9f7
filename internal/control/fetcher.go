package control

import (
	"context"

	"github.com/tinylib/msgp/msgp"

	"github.com/wigeonflow/wigeonflow/internal/deflate"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/mesh"
	"github.com/wigeonflow/wigeonflow/internal/operator"
)

// caller makes calls to the control group. Client implements it.
type caller interface {
	Call(ctx context.Context, method string, request msgp.Marshaler, reply msgp.Unmarshaler) error
	// CallAny makes one call to any member, without retries at other members.
	CallAny(ctx context.Context, method string, request msgp.Marshaler, reply msgp.Unmarshaler) error
}

// Fetcher brings a router's view up to date. It keeps the pages that it has read
// of a full copy from one Fetch to the next, so that a copy completes even on a
// slow link. It is not safe for concurrent use.
type Fetcher struct {
	client  caller
	applied func(*operator.Update) // called after an update was applied; may be nil
	copy    fleet.ConfigVersion    // version of the copy being read; 0 if none
	read    []byte                 // the part of the copy read so far
}

// NewFetcher returns a Fetcher. It calls applied, which may be nil, after each
// update that changed a view.
func NewFetcher(client *Client, applied func(*operator.Update)) *Fetcher {
	return &Fetcher{client: client, applied: applied}
}

// Fetch fetches until the view is up to date, ctx ends or a call fails, and
// reports whether the view changed. atLeast is a version that is known to be
// committed, or 0. If it is given, random members are asked before the leader: all
// routers fetch a new version at the same time, and the leader's link would be the
// bottleneck.
func (f *Fetcher) Fetch(ctx context.Context, view *operator.View, atLeast fleet.ConfigVersion) (changed bool, err error) {
	for {
		request := FetchRequest{After: view.Version(), AtLeast: atLeast, Copy: f.copy, Offset: uint32(len(f.read))}
		reply, err := f.fetchReply(ctx, &request)
		if err != nil {
			return false, err
		}
		if reply.Copy == 0 {
			f.discardCopy()
			return f.applyUpdate(view, &reply.Update)
		}
		if f.addPage(reply) {
			return f.applyCopy(view)
		}
	}
}

// fetchReply sends a request to up to anyAttempts random members, then to the
// leader.
func (f *Fetcher) fetchReply(ctx context.Context, request *FetchRequest) (*FetchReply, error) {
	for attempt := 0; request.AtLeast > 0 && attempt < anyAttempts; attempt++ {
		reply := new(FetchReply)
		if f.client.CallAny(ctx, MethodFetch, request, reply) == nil {
			return reply, nil
		}
		if !fleet.Pause(ctx, retryPause) {
			return nil, ctx.Err()
		}
	}
	// The members asked are busy, behind or unreachable; the leader is never behind.
	reply := new(FetchReply)
	return reply, f.client.Call(ctx, MethodFetch, request, reply)
}

// anyAttempts is the number of requests to random members before the leader is
// asked.
const anyAttempts = 3

// addPage appends a page and reports whether the copy is complete. A page of
// another copy, or at another offset, discards what was read.
func (f *Fetcher) addPage(reply *FetchReply) bool {
	if reply.Copy != f.copy || int(reply.Offset) != len(f.read) {
		f.discardCopy()
		if reply.Offset != 0 {
			return false
		}
		f.copy = reply.Copy
	}
	f.read = append(f.read, reply.Page...)
	return len(f.read) == int(reply.Size)
}

// maxCopy bounds an expanded full copy in bytes. It leaves room for the lists and
// several times the longest routing table that operators may send.
const maxCopy = 64 << 20

// applyCopy applies the complete copy to the view and discards it.
func (f *Fetcher) applyCopy(view *operator.View) (bool, error) {
	defer f.discardCopy()
	encoded, err := deflate.Decompress(f.read, maxCopy)
	if err != nil {
		return false, fleet.At(err, "control.fetch", "")
	}
	var state operator.State
	if err := mesh.Decode(encoded, &state); err != nil {
		return false, fleet.At(err, "control.fetch", "")
	}
	return f.applyUpdate(view, &operator.Update{Full: &state})
}

// applyUpdate applies an update to the view and reports whether the view changed.
func (f *Fetcher) applyUpdate(view *operator.View, u *operator.Update) (bool, error) {
	changed, err := view.Apply(u)
	if changed && f.applied != nil {
		f.applied(u)
	}
	return changed, err
}

// discardCopy discards the copy being read.
func (f *Fetcher) discardCopy() { f.copy, f.read = 0, nil }
