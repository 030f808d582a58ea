package loadstate

import (
	"container/list"
	"sync"
	"time"

	"github.com/poplarshore/poplarshore/route"
	"github.com/poplarshore/poplarshore/upstream"
)

// LocalityOptions bound a Locality.
type LocalityOptions struct {
	// Prefixes is the number of prompt blocks remembered.
	Prefixes int
	// TTL is how long a prefix is believed cached after its last use.
	TTL time.Duration
}

const (
	defaultPrefixes = 65536
	defaultTTL      = 5 * time.Minute
)

// DefaultLocalityOptions returns the default bounds.
func DefaultLocalityOptions() LocalityOptions {
	return LocalityOptions{Prefixes: defaultPrefixes, TTL: defaultTTL}
}

// Locality remembers which upstreams hold which prompt prefixes.
type Locality struct {
	opts LocalityOptions

	mu     sync.Mutex
	byHash map[uint64]*list.Element
	// recent holds *prefix, the most recently used in front.
	recent *list.List
}

type prefix struct {
	hash    uint64
	holders [route.MaxHints]holder
}

type holder struct {
	id   upstream.ID
	used time.Time
}

// NewLocality returns an empty index.
func NewLocality(opts LocalityOptions) *Locality {
	return &Locality{opts: opts, byHash: make(map[uint64]*list.Element), recent: list.New()}
}

// Learn records that an upstream has read a prompt with these prefixes.
func (l *Locality) Learn(prefixes []uint64, id upstream.ID, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, hash := range prefixes {
		l.use(hash).learn(id, now)
	}
}

// use returns the prefix, made if need be, and moves it to the front.
func (l *Locality) use(hash uint64) *prefix {
	if el, ok := l.byHash[hash]; ok {
		l.recent.MoveToFront(el)
		return el.Value.(*prefix)
	}
	if len(l.byHash) >= l.opts.Prefixes {
		l.drop(l.recent.Back())
	}
	p := &prefix{hash: hash}
	l.byHash[hash] = l.recent.PushFront(p)
	return p
}

func (l *Locality) drop(el *list.Element) {
	delete(l.byHash, el.Value.(*prefix).hash)
	l.recent.Remove(el)
}

// learn puts the upstream in the place of itself or of the least recent holder.
func (p *prefix) learn(id upstream.ID, now time.Time) {
	oldest := 0
	for i := range p.holders {
		if p.holders[i].id == id {
			oldest = i
			break
		}
		if p.holders[i].used.Before(p.holders[oldest].used) {
			oldest = i
		}
	}
	p.holders[oldest] = holder{id: id, used: now}
}

// Evicted records that an upstream has dropped a prefix.
func (l *Locality) Evicted(hash uint64, id upstream.ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	el, ok := l.byHash[hash]
	if !ok {
		return
	}
	for i := range el.Value.(*prefix).holders {
		if h := &el.Value.(*prefix).holders[i]; h.id == id {
			*h = holder{}
		}
	}
}

// AppendHints appends to dst, up to route.MaxHints, the upstreams believed to
// hold the prompt's prefixes, the longest first.
func (l *Locality) AppendHints(dst []route.Hint, prefixes []uint64, now time.Time) []route.Hint {
	l.mu.Lock()
	defer l.mu.Unlock()
	for n := len(prefixes); n > 0 && len(dst) < route.MaxHints; n-- {
		el, ok := l.byHash[prefixes[n-1]]
		if !ok {
			continue
		}
		dst = l.appendHolders(dst, el.Value.(*prefix), n, now)
	}
	return dst
}

func (l *Locality) appendHolders(dst []route.Hint, p *prefix, blocks int, now time.Time) []route.Hint {
	for _, h := range p.holders {
		if len(dst) == route.MaxHints {
			break
		}
		if h.id != "" && now.Sub(h.used) <= l.opts.TTL && !named(dst, h.id) {
			dst = append(dst, route.Hint{Upstream: h.id, Blocks: blocks})
		}
	}
	return dst
}

func named(hints []route.Hint, id upstream.ID) bool {
	for _, h := range hints {
		if h.Upstream == id {
			return true
		}
	}
	return false
}

// Len returns the number of prefixes remembered.
func (l *Locality) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.byHash)
}
