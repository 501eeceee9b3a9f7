package control

import (
	"context"
	"sync"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/deflate"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/operator"
)

//go:generate go tool msgp -tests=false -io=false -file config_endpoint.go

// MethodFetch returns the configuration changes that a router lacks: a
// FetchRequest is answered by a FetchReply. The leader answers, and so does any
// member that has applied FetchRequest.AtLeast.
const MethodFetch = "config.fetch"

// pageBytes bounds the part of a full copy that one reply carries. When the whole
// fleet starts at once it shares the leader's link: one page for each router must
// be transferred well within a call's timeout, or every call would time out.
const pageBytes = 16 << 10

// FetchRequest requests the changes after a version. If Copy is set, it requests
// the next page, at Offset, of the full copy of that version.
type FetchRequest struct {
	After fleet.ConfigVersion `msg:"a"`
	// AtLeast is a version that is known to be committed. A member that has applied
	// it answers even if it does not lead.
	AtLeast fleet.ConfigVersion `msg:"l,omitempty"`
	Copy    fleet.ConfigVersion `msg:"c,omitempty"`
	Offset  uint32              `msg:"o,omitempty"`
}

// FetchReply carries the changes or, if Copy is set, a page of a full copy: an
// encoded and deflated operator.State of Size bytes. If Copy is not the requested
// one, the page starts at Offset 0.
type FetchReply struct {
	Update operator.Update     `msg:"u"`
	Copy   fleet.ConfigVersion `msg:"c,omitempty"`
	Size   uint32              `msg:"s,omitempty"`
	Offset uint32              `msg:"o,omitempty"`
	Page   []byte              `msg:"p,omitempty"`
}

const (
	// appliedWait is how long a member that doesn't lead waits for the version that a request
	// names. The leader tells it of the commit soon after a router.
	appliedWait = 200 * time.Millisecond
	// appliedPoll is the interval at which it checks for that version.
	appliedPoll = 10 * time.Millisecond
)

// fetch answers MethodFetch.
func (s *Server) fetch(ctx context.Context, _ string, req *FetchRequest) (*FetchReply, error) {
	if !s.mayServe(ctx, req) {
		return nil, s.notLeader(MethodFetch)
	}
	committed := s.config.Committed()
	reply, err := s.copies.reply(committed, req)
	if err == nil {
		err = s.copyPacer.reserveAndWait(ctx, reply.Msgsize())
	}
	return reply, fleet.At(err, MethodFetch, s.cfg.Addr)
}

// mayServe reports whether this member may answer the request: as the leader, or once it has applied
// the version that the request names, for which it waits up to appliedWait.
func (s *Server) mayServe(ctx context.Context, req *FetchRequest) bool {
	if _, leading := s.group.LeaderLease(); leading || req.AtLeast == 0 {
		return leading
	}
	ctx, cancel := context.WithTimeout(ctx, appliedWait)
	defer cancel()
	return fleet.Await(ctx, appliedPoll, func() bool { return s.config.Committed().State.Version >= req.AtLeast })
}

// keptCopies is the number of versions whose full copies are kept, so that routers
// can finish reading one after a change.
const keptCopies = 2

// copyCache caches the newest full copies, each encoded once for all routers.
type copyCache struct {
	mu   sync.Mutex
	kept []fullCopy // newest last
}

// fullCopy is the full copy of one version of the configuration.
type fullCopy struct {
	version fleet.ConfigVersion
	encoded []byte // the operator.State, encoded and deflated
}

// reply returns the changes after the router's version if they are kept. Otherwise
// it returns the next page of the copy that the router is reading, or the first
// page of the newest copy.
func (c *copyCache) reply(committed *operator.Committed, req *FetchRequest) (*FetchReply, error) {
	update := committed.Fetch(req.After)
	if update.Full == nil {
		return &FetchReply{Update: update}, nil
	}
	copied, offset, err := c.selectCopy(update.Full, req)
	if err != nil {
		return nil, err
	}
	end := min(int(offset)+pageBytes, len(copied.encoded))
	return &FetchReply{
		Copy: copied.version, Size: uint32(len(copied.encoded)), Offset: offset, Page: copied.encoded[offset:end],
	}, nil
}

// selectCopy returns the copy to read and the offset at which to continue: the copy that
// the request names if it is kept, otherwise the newest copy from its start. It makes
// and keeps the newest copy if there is none yet.
func (c *copyCache) selectCopy(newest *operator.State, req *FetchRequest) (fullCopy, uint32, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.kept {
		if k.version == req.Copy && int(req.Offset) <= len(k.encoded) {
			return k, req.Offset, nil
		}
	}
	if n := len(c.kept); n > 0 && c.kept[n-1].version == newest.Version {
		return c.kept[n-1], 0, nil
	}
	encoded, err := newest.MarshalMsg(nil)
	if err != nil {
		return fullCopy{}, 0, err
	}
	made := fullCopy{version: newest.Version, encoded: deflate.Compress(encoded)}
	c.kept = append(c.kept, made)
	if len(c.kept) > keptCopies {
		c.kept = c.kept[1:]
	}
	return made, 0, nil
}
