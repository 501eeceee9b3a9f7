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

// MethodServedNotice notifies the owner of a chat's first candidate that another upstream has
// served the chat: a ServedNotice is answered by an Empty.
const MethodServedNotice = "owner.note"

const (
	// maxCachedChats is the maximum number of chat records of an owner: one router's share
	// of 16 million chats in a fleet of 410 routers, with room for the share of another
	// router.
	maxCachedChats = 1 << 17
	// cachePoll is the interval between reads of an engine's cache events.
	cachePoll = 2 * time.Second
	// cacheTimeout bounds one read.
	cacheTimeout = time.Second
	// maxHandoverChats is the maximum number of records in one Handover, which holds the
	// newest ones.
	maxHandoverChats = 8192
)

// ServedNotice reports that an upstream has served a chat whose first candidate it is not.
type ServedNotice struct {
	Chat     uint64           `msg:"c"`
	Upstream fleet.UpstreamID `msg:"u"`
	Tokens   int              `msg:"t"`
}

// cache records which chats are cached on the upstreams of this owner. It is safe for
// concurrent use.
type cache struct {
	server *Server

	mu       sync.Mutex
	resident *placement.Resident
	lastRead map[fleet.UpstreamID]uint64 // sequence number of the last event applied
}

func newCache(s *Server) *cache {
	return &cache{server: s, resident: placement.NewResident(maxCachedChats), lastRead: make(map[fleet.UpstreamID]uint64)}
}

// checkCached decides whether the requested upstream should serve a chat, and returns the
// number of the chat's tokens that it has cached. A chat that another upstream has
// cached is redirected there once. A former candidate serves a chat only if it may
// have it cached.
func (c *cache) checkCached(req *ChatRequest) (reason Rejection, other fleet.UpstreamID, cached int) {
	key := placement.ChatKey(req.Chat)
	if !key.Chat() {
		return RejectionNone, "", 0
	}
	candidate := placement.Candidate{Upstream: req.Header.Upstream, Basis: placement.Basis(req.Basis)}
	c.mu.Lock()
	presence := c.resident.Lookup(key, candidate.Upstream)
	c.mu.Unlock()
	otherHasIt := presence.Trust == placement.Present && presence.Upstream != candidate.Upstream
	switch {
	case otherHasIt && !req.Redirected:
		return RejectionNotCached, presence.Upstream, 0
	case !presence.Serves(candidate):
		return RejectionNotCached, "", 0
	case presence.AskOthers(candidate) && !req.Redirected:
		return RejectionAskOthers, "", 0
	case presence.Upstream == candidate.Upstream:
		return RejectionNone, "", presence.Tokens
	default:
		return RejectionNone, "", 0
	}
}

// recordServed records a chat that an engine of this owner has answered.
func (c *cache) recordServed(req *ChatRequest, tokens int) {
	key := placement.ChatKey(req.Chat)
	if !key.Chat() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resident.RecordServed(c.server.cfg.Clock(), key, req.Header.Upstream, promptTokens(req.Body)+tokens)
}

// bytesPerToken is the estimated length of a prompt token.
const bytesPerToken = 4

func promptTokens(body []byte) int { return len(body) / bytesPerToken }

// handleServedNotice serves MethodServedNotice.
func (c *cache) handleServedNotice(_ context.Context, _ string, n *ServedNotice) (*Empty, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resident.RecordServed(c.server.cfg.Clock(), placement.ChatKey(n.Chat), n.Upstream, n.Tokens)
	return &Empty{}, nil
}

// addOwned starts the records of an upstream that this owner has claimed.
func (c *cache) addOwned(id fleet.UpstreamID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resident.StartRecords(id, false)
	delete(c.lastRead, id)
}

// recordRestart discards the records of an upstream that has restarted.
func (c *cache) recordRestart(id fleet.UpstreamID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resident.HandleRestart(id)
	delete(c.lastRead, id)
}

// export returns the newest records of an upstream for its next owner.
func (c *cache) export(id fleet.UpstreamID) []placement.ChatRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	records := c.resident.Export(c.server.cfg.Clock(), id, nil)
	return records[:min(len(records), maxHandoverChats)]
}

// adopt adds the records of an upstream that its former owner has handed over.
func (c *cache) adopt(id fleet.UpstreamID, records []placement.ChatRecord) {
	if len(records) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resident.StartRecords(id, len(records) < maxHandoverChats)
	c.resident.Import(c.server.cfg.Clock(), id, records)
}

// run reads the engines' cache events until ctx ends.
func (c *cache) run(ctx context.Context) {
	fleet.Every(ctx, cachePoll, c.poll)
}

// poll reads the cache events of all owned engines concurrently.
func (c *cache) poll(ctx context.Context) {
	index := c.server.cfg.Index()
	for id, t := range c.server.directory.Load().targets {
		pool := index.Pool(t.upstream.Pool)
		if pool != nil && pool.Kind == "engine" && c.server.checkAuthority(id) == RejectionNone {
			go c.pollEngine(ctx, id, t.engine)
		}
	}
}

// pollEngine applies the cache events of one engine since the last read. If events are
// missing, the records of the engine are marked as doubtful, since they may show chats
// that were evicted.
func (c *cache) pollEngine(ctx context.Context, id fleet.UpstreamID, engine upstream.Engine) {
	ctx, cancel := context.WithTimeout(ctx, cacheTimeout)
	defer cancel()
	c.mu.Lock()
	after := c.lastRead[id]
	c.mu.Unlock()
	events, err := engine.CacheEvents(ctx, after)
	if err != nil {
		c.server.log.Debug("cannot read the engine's cache events", "upstream", string(id), "error", err)
		return
	}
	c.server.recordBoot(id, events.Boot)
	c.mu.Lock()
	defer c.mu.Unlock()
	if events.First > after+1 && after > 0 {
		c.resident.MarkDoubtful(id)
	}
	for _, e := range events.Events {
		if key, err := strconv.ParseUint(e.Key, 16, 64); err == nil {
			c.resident.Apply(c.server.cfg.Clock(), id, placement.Event{
				Sequence: e.Seq, Kind: eventKind(e.Kind), Key: placement.ChatKey(key), Tokens: e.Tokens,
			})
		}
		c.lastRead[id] = max(c.lastRead[id], e.Seq)
	}
}

func eventKind(kind string) placement.EventKind {
	if kind == upstream.CacheEvicted {
		return placement.EventEvicted
	}
	return placement.EventStored
}
