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
	blockTokens = 16
	keptEvents  = 4096
)

// CacheEventKind tells what happened to a block of the prefix cache.
type CacheEventKind string

// The kinds of cache events.
const (
	BlockStored  CacheEventKind = "stored"
	BlockEvicted CacheEventKind = "evicted"
)

// CacheEvent is one change of the prefix cache.
type CacheEvent struct {
	Sequence uint64         `json:"sequence"`
	Kind     CacheEventKind `json:"kind"`
	Block    uint64         `json:"block"`

	at time.Time
}

// CacheEvents is the answer to GET /cache-events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	// Next is the value of after for the next call.
	Next uint64 `json:"next"`
}

// prefixCache is a least-recently-used cache of prompt blocks. A block's hash
// covers the whole prompt up to its end.
type prefixCache struct {
	size int
	lag  time.Duration
	gap  uint64

	mu       sync.Mutex
	order    *list.List
	blocks   map[uint64]*list.Element
	sequence uint64
	events   []CacheEvent
}

func newPrefixCache(size int, lag time.Duration, gap uint64) *prefixCache {
	return &prefixCache{size: size, lag: lag, gap: gap, order: list.New(), blocks: make(map[uint64]*list.Element)}
}

// use stores the blocks of the prompt and returns its length and the length
// of the prefix that was cached before, in tokens.
func (c *prefixCache) use(model, prompt string, now time.Time) (total, cached int) {
	tokens := strings.Fields(prompt)
	hashes := blockHashes(model, tokens)
	c.mu.Lock()
	defer c.mu.Unlock()
	hit := true
	for _, h := range hashes {
		element, ok := c.blocks[h]
		hit = hit && ok
		if hit {
			cached += blockTokens
		}
		if ok {
			c.order.MoveToFront(element)
			continue
		}
		c.store(h, now)
	}
	return len(tokens), cached
}

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

func (c *prefixCache) store(h uint64, now time.Time) {
	c.blocks[h] = c.order.PushFront(h)
	c.record(BlockStored, h, now)
	if c.order.Len() <= c.size {
		return
	}
	evicted := c.order.Remove(c.order.Back()).(uint64)
	delete(c.blocks, evicted)
	c.record(BlockEvicted, evicted, now)
}

func (c *prefixCache) record(kind CacheEventKind, h uint64, now time.Time) {
	c.sequence++
	if c.gap > 0 && c.sequence%c.gap == 0 {
		return
	}
	c.events = append(c.events, CacheEvent{Sequence: c.sequence, Kind: kind, Block: h, at: now})
	if len(c.events) > 2*keptEvents {
		c.events = append([]CacheEvent(nil), c.events[len(c.events)-keptEvents:]...)
	}
}

// published returns the events after a sequence number that are old enough.
func (c *prefixCache) published(after uint64, now time.Time) CacheEvents {
	c.mu.Lock()
	defer c.mu.Unlock()
	answer := CacheEvents{Events: []CacheEvent{}, Next: after}
	for _, e := range c.events {
		if e.Sequence <= after || now.Sub(e.at) < c.lag {
			continue
		}
		answer.Events = append(answer.Events, e)
		answer.Next = e.Sequence
	}
	return answer
}

// used returns the share of the cache that is taken, from 0 to 1.
func (c *prefixCache) used() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return float64(c.order.Len()) / float64(c.size)
}

func (s *Server) getCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	host.WriteJSON(w, http.StatusOK, s.prefixes.published(after, s.clock.Now()))
}
