package owner

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/placement"
	"github.com/wigeonflow/wigeonflow/internal/upstream"
)

//go:generate go tool msgp -tests=false -io=false -file cache.go

// MethodNote tells the owner of a chat's first candidate where the chat was
// served instead: a Note is answered by an Acknowledged.
const MethodNote = "owner.note"

const (
	// cachedChats is how many chats' records an owner keeps: its share of 16
	// million at 410 routers, with room for a neighbour's share.
	cachedChats = 1 << 17
	// cachePoll spaces reads of an engine's cache events.
	cachePoll = 2 * time.Second
	// cacheTimeout bounds one read.
	cacheTimeout = time.Second
	// maxHandedChats bounds the records in one Handover: the newest ones.
	maxHandedChats = 8192
)

// Note tells that an upstream served a chat that it was not the first choice for.
type Note struct {
	Chat     uint64           `msg:"c"`
	Upstream fleet.UpstreamID `msg:"u"`
	Tokens   int              `msg:"t"`
}

// cache knows which chats are resident on the upstreams of this owner.
type cache struct {
	server *Server

	mu       sync.Mutex
	resident *placement.Resident
	read     map[fleet.UpstreamID]uint64 // last event taken
}

func newCache(s *Server) *cache {
	return &cache{server: s, resident: placement.NewResident(cachedChats), read: make(map[fleet.UpstreamID]uint64)}
}

// check decides whether a chat should be served here, and returns how many of
// its tokens are cached here. A chat whose cache another upstream holds is sent
// there once; one that is asked for at a former candidate is served there only
// if its cache may be there.
func (c *cache) check(req *ChatRequest) (reason Refusal, other fleet.UpstreamID, cached int) {
	key := placement.ChatKey(req.Chat)
	if !key.Chat() {
		return RefusedNone, "", 0
	}
	candidate := placement.Candidate{Upstream: req.Header.Upstream, Basis: placement.Basis(req.Basis)}
	c.mu.Lock()
	presence := c.resident.Lookup(key, candidate.Upstream)
	c.mu.Unlock()
	elsewhere := presence.Trust == placement.Present && presence.Upstream != candidate.Upstream
	switch {
	case elsewhere && !req.Redirected:
		return RefusedNotResident, presence.Upstream, 0
	case !presence.Serves(candidate):
		return RefusedNotResident, "", 0
	case presence.AskOthers(candidate) && !req.Redirected:
		return RefusedAskOthers, "", 0
	case presence.Upstream == candidate.Upstream:
		return RefusedNone, "", presence.Tokens
	default:
		return RefusedNone, "", 0
	}
}

// served notes a chat that an engine of this owner has answered.
func (c *cache) served(req *ChatRequest, tokens int) {
	key := placement.ChatKey(req.Chat)
	if !key.Chat() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resident.Served(c.server.cfg.Clock(), key, req.Header.Upstream, promptTokens(req.Body)+tokens)
}

// bytesPerToken is the estimate for a prompt's size.
const bytesPerToken = 4

func promptTokens(body []byte) int { return len(body) / bytesPerToken }

func (c *cache) note(_ context.Context, _ string, n *Note) (*Acknowledged, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resident.Served(c.server.cfg.Clock(), placement.ChatKey(n.Chat), n.Upstream, n.Tokens)
	return &Acknowledged{}, nil
}

func (c *cache) own(id fleet.UpstreamID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resident.Own(id, false)
	delete(c.read, id)
}

func (c *cache) restarted(id fleet.UpstreamID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resident.Restarted(id)
	delete(c.read, id)
}

// give returns the records of an upstream for its next owner.
func (c *cache) give(id fleet.UpstreamID) []placement.ChatRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	records := c.resident.Export(c.server.cfg.Clock(), id, nil)
	return records[:min(len(records), maxHandedChats)]
}

// adopt takes the records that the former owner gave.
func (c *cache) adopt(id fleet.UpstreamID, records []placement.ChatRecord) {
	if len(records) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resident.Own(id, len(records) < maxHandedChats)
	c.resident.Import(c.server.cfg.Clock(), id, records)
}

// run reads the engines' cache events until ctx ends.
func (c *cache) run(ctx context.Context) {
	fleet.Every(ctx, cachePoll, c.poll)
}

func (c *cache) poll(ctx context.Context) {
	index := c.server.cfg.Index()
	for id, t := range c.server.directory.Load().targets {
		pool := index.Pool(t.upstream.Pool)
		if pool != nil && pool.Kind == "engine" && c.server.authorised(id) == RefusedNone {
			go c.pollOne(ctx, id, t.engine)
		}
	}
}

func (c *cache) pollOne(ctx context.Context, id fleet.UpstreamID, engine upstream.Engine) {
	ctx, cancel := context.WithTimeout(ctx, cacheTimeout)
	defer cancel()
	c.mu.Lock()
	after := c.read[id]
	c.mu.Unlock()
	events, err := engine.CacheEvents(ctx, after)
	if err != nil {
		c.server.log.Debug("cache events not read", "upstream", string(id), "error", err)
		return
	}
	c.server.noteBoot(id, events.Boot)
	c.mu.Lock()
	defer c.mu.Unlock()
	if events.First > after+1 && after > 0 {
		c.resident.Doubt(id)
	}
	for _, e := range events.Events {
		if key, err := strconv.ParseUint(e.Key, 16, 64); err == nil {
			c.resident.Apply(c.server.cfg.Clock(), id, placement.Event{
				Sequence: e.Seq, Kind: eventKind(e.Kind), Key: placement.ChatKey(key), Tokens: e.Tokens,
			})
		}
		c.read[id] = max(c.read[id], e.Seq)
	}
}

func eventKind(kind string) placement.EventKind {
	if kind == upstream.CacheEvicted {
		return placement.EventEvicted
	}
	return placement.EventStored
}
