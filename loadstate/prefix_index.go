package loadstate

import (
	"container/list"
	"sync"
	"time"

	"github.com/poplarshore/poplarshore/route"
	"github.com/poplarshore/poplarshore/upstream"
)

// PrefixIndexOptions bounds a PrefixIndex.
type PrefixIndexOptions struct {
	// MaxPrefixes is the largest number of prefixes in the index. Each leading block
	// of a prompt ends one prefix.
	MaxPrefixes int
	// TTL is how long after its last use on an upstream a prefix is assumed to be
	// cached there.
	TTL time.Duration
}

const (
	defaultMaxPrefixes = 65536
	defaultTTL         = 5 * time.Minute
)

// DefaultPrefixIndexOptions returns the default options: 65,536 prefixes and 5
// minutes.
func DefaultPrefixIndexOptions() PrefixIndexOptions {
	return PrefixIndexOptions{MaxPrefixes: defaultMaxPrefixes, TTL: defaultTTL}
}

// PrefixIndex is an index of the upstreams that probably have a prompt prefix cached.
// When it is full, the least recently used prefix is removed. It is safe for
// concurrent use.
type PrefixIndex struct {
	opts PrefixIndexOptions

	mu     sync.Mutex
	byHash map[uint64]*list.Element
	// byRecency is a list of *prefix, the most recently used first.
	byRecency *list.List
}

// prefix is a prompt prefix and the upstreams that last processed it.
type prefix struct {
	hash uint64
	uses [route.MaxHints]prefixUse
}

// prefixUse is the last use of a prefix on one upstream; the zero value is an
// unused slot.
type prefixUse struct {
	upstream upstream.ID
	lastUsed time.Time
}

// NewPrefixIndex returns an empty index.
func NewPrefixIndex(opts PrefixIndexOptions) *PrefixIndex {
	return &PrefixIndex{opts: opts, byHash: make(map[uint64]*list.Element), byRecency: list.New()}
}

// Record records that a prompt with these prefixes was sent to an upstream.
func (x *PrefixIndex) Record(prefixes []uint64, id upstream.ID, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, hash := range prefixes {
		x.touch(hash).recordUse(id, now)
	}
}

// touch returns the prefix and makes it the most recently used one. It adds a
// missing prefix, removing the least recently used one if the index is full.
func (x *PrefixIndex) touch(hash uint64) *prefix {
	if el, ok := x.byHash[hash]; ok {
		x.byRecency.MoveToFront(el)
		return el.Value.(*prefix)
	}
	if len(x.byHash) >= x.opts.MaxPrefixes {
		x.remove(x.byRecency.Back())
	}
	p := &prefix{hash: hash}
	x.byHash[hash] = x.byRecency.PushFront(p)
	return p
}

func (x *PrefixIndex) remove(el *list.Element) {
	delete(x.byHash, el.Value.(*prefix).hash)
	x.byRecency.Remove(el)
}

// recordUse sets the last use of the prefix on the upstream, replacing the
// upstream's earlier use or the least recent one.
func (p *prefix) recordUse(id upstream.ID, now time.Time) {
	oldest := 0
	for i := range p.uses {
		if p.uses[i].upstream == id {
			oldest = i
			break
		}
		if p.uses[i].lastUsed.Before(p.uses[oldest].lastUsed) {
			oldest = i
		}
	}
	p.uses[oldest] = prefixUse{upstream: id, lastUsed: now}
}

// RecordEviction records that an upstream has evicted a prefix from its cache.
func (x *PrefixIndex) RecordEviction(hash uint64, id upstream.ID) {
	x.mu.Lock()
	defer x.mu.Unlock()
	el, ok := x.byHash[hash]
	if !ok {
		return
	}
	for i := range el.Value.(*prefix).uses {
		if use := &el.Value.(*prefix).uses[i]; use.upstream == id {
			*use = prefixUse{}
		}
	}
}

// AppendHints appends the upstreams that probably have prefixes of the prompt
// cached to dst, longest prefix first and each upstream once, until dst has
// route.MaxHints entries.
func (x *PrefixIndex) AppendHints(dst []route.Hint, prefixes []uint64, now time.Time) []route.Hint {
	x.mu.Lock()
	defer x.mu.Unlock()
	for n := len(prefixes); n > 0 && len(dst) < route.MaxHints; n-- {
		el, ok := x.byHash[prefixes[n-1]]
		if !ok {
			continue
		}
		dst = x.appendPrefixHints(dst, el.Value.(*prefix), n, now)
	}
	return dst
}

// appendPrefixHints appends the upstreams on which p was used within the TTL and
// that are not in dst yet.
func (x *PrefixIndex) appendPrefixHints(dst []route.Hint, p *prefix, blocks int, now time.Time) []route.Hint {
	for _, use := range p.uses {
		if len(dst) == route.MaxHints {
			break
		}
		if use.upstream != "" && now.Sub(use.lastUsed) <= x.opts.TTL && !containsUpstream(dst, use.upstream) {
			dst = append(dst, route.Hint{Upstream: use.upstream, Blocks: blocks})
		}
	}
	return dst
}

// containsUpstream reports whether a hint names the upstream.
func containsUpstream(hints []route.Hint, id upstream.ID) bool {
	for _, h := range hints {
		if h.Upstream == id {
			return true
		}
	}
	return false
}

// Len returns the number of prefixes in the index.
func (x *PrefixIndex) Len() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.byHash)
}
