package engine

import (
	"container/list"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/poplarshore/poplarshore/standin/host"
)

const (
	// blockTokens is the size of a cached block, in tokens.
	blockTokens = 16
	// maxCacheEvents is the number of events that remain after old ones are dropped, which
	// happens once there are more than twice as many.
	maxCacheEvents = 4096
)

// CacheEventKind is the kind of a change of the prefix cache.
type CacheEventKind string

// The kinds of cache events.
const (
	// BlockStored means that a block was added.
	BlockStored CacheEventKind = "stored"
	// BlockEvicted means that the least recently used block was removed.
	BlockEvicted CacheEventKind = "evicted"
)

// CacheEvent reports one change of the prefix cache.
type CacheEvent struct {
	// Sequence is the number of the event, from 1. A gap means that an event was omitted.
	Sequence uint64         `json:"sequence"`
	Kind     CacheEventKind `json:"kind"`
	// Block is the hash of the prompt up to the end of the block.
	Block uint64 `json:"block"`

	occurredAt time.Time
}

// CacheEvents is the response to GET /cache-events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	// Next is the value of the parameter after for the next call.
	Next uint64 `json:"next"`
}

// prefixCache is a cache of prompt blocks with least-recently-used eviction. A block is
// identified by the hash of the model and the prompt up to the block's end. It is safe for
// concurrent use.
type prefixCache struct {
	maxBlocks int
	eventLag  time.Duration
	eventGap  uint64

	mu sync.Mutex
	// recency lists the hashes of the blocks, the most recently used first.
	recency      *list.List
	blocks       map[uint64]*list.Element
	lastSequence uint64
	events       []CacheEvent
}

func newPrefixCache(maxBlocks int, eventLag time.Duration, eventGap uint64) *prefixCache {
	return &prefixCache{maxBlocks: maxBlocks, eventLag: eventLag, eventGap: eventGap, recency: list.New(), blocks: make(map[uint64]*list.Element)}
}

// lookupAndStore stores the complete blocks of a prompt. It returns the length of the
// prompt and the length of the prefix that was already cached, in tokens.
func (c *prefixCache) lookupAndStore(model, prompt string, now time.Time) (promptTokens, cachedTokens int) {
	tokens := strings.Fields(prompt)
	hashes := blockHashes(model, tokens)
	c.mu.Lock()
	defer c.mu.Unlock()
	prefixCached := true
	for _, hash := range hashes {
		element, ok := c.blocks[hash]
		prefixCached = prefixCached && ok
		if prefixCached {
			cachedTokens += blockTokens
		}
		if ok {
			c.recency.MoveToFront(element)
			continue
		}
		c.store(hash, now)
	}
	return len(tokens), cachedTokens
}

// blockHashes returns the hashes of the complete blocks of a prompt.
func blockHashes(model string, tokens []string) []uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(model)
	var hashes []uint64
	for i, token := range tokens {
		_, _ = digest.WriteString(token + " ")
		if i%blockTokens == blockTokens-1 {
			hashes = append(hashes, digest.Sum64())
		}
	}
	return hashes
}

// store adds a block and evicts the least recently used one if the cache is full. The
// caller holds mu.
func (c *prefixCache) store(hash uint64, now time.Time) {
	c.blocks[hash] = c.recency.PushFront(hash)
	c.recordEvent(BlockStored, hash, now)
	if c.recency.Len() <= c.maxBlocks {
		return
	}
	evicted := c.recency.Remove(c.recency.Back()).(uint64)
	delete(c.blocks, evicted)
	c.recordEvent(BlockEvicted, evicted, now)
}

// recordEvent appends an event, unless eventGap omits it. The caller holds mu.
func (c *prefixCache) recordEvent(kind CacheEventKind, hash uint64, now time.Time) {
	c.lastSequence++
	if c.eventGap > 0 && c.lastSequence%c.eventGap == 0 {
		return
	}
	c.events = append(c.events, CacheEvent{Sequence: c.lastSequence, Kind: kind, Block: hash, occurredAt: now})
	if len(c.events) > 2*maxCacheEvents {
		c.events = append([]CacheEvent(nil), c.events[len(c.events)-maxCacheEvents:]...)
	}
}

// published returns the events after a sequence number that are at least eventLag old.
func (c *prefixCache) published(after uint64, now time.Time) CacheEvents {
	c.mu.Lock()
	defer c.mu.Unlock()
	result := CacheEvents{Events: []CacheEvent{}, Next: after}
	for _, e := range c.events {
		if e.Sequence <= after || now.Sub(e.occurredAt) < c.eventLag {
			continue
		}
		result.Events = append(result.Events, e)
		result.Next = e.Sequence
	}
	return result
}

// utilization returns the used share of the cache, from 0 to 1.
func (c *prefixCache) utilization() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return float64(c.recency.Len()) / float64(c.maxBlocks)
}

func (s *Server) getCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	host.WriteJSON(w, http.StatusOK, s.prefixes.published(after, s.clock.Now()))
}
