package experiment

import (
	"container/list"
	"slices"
	"time"

	"github.com/poplarshore/poplarshore/route"
)

// engine is a fake model engine with continuous batching: up to capacity
// requests run at once, each token takes longer in a fuller batch, and prompt
// prefixes stay cached in limited memory.
type engine struct {
	loop     *loop
	capacity int
	// speed divides all times.
	speed   float64
	running int
	waiting []*job
	// limit bounds the waiting; zero is no bound.
	limit int
	cache prefixCache
	// hits counts prompt blocks that were cached.
	hits int
}

// job is one attempt on an engine.
type job struct {
	promptTokens int
	answerTokens int
	prefixes     []uint64
	priority     int
	// cancelled jobs leave the queue when their turn comes.
	cancelled bool
	onFirst   func()
	onEnd     func()
}

const (
	tokenTime   = 10 * time.Millisecond
	batchSlope  = 1.0
	prefillTime = 50 * time.Microsecond
)

// submit takes a job, or refuses it if the queue is full.
func (e *engine) submit(j *job) bool {
	if e.limit > 0 && len(e.waiting) >= e.limit {
		return false
	}
	i, _ := slices.BinarySearchFunc(e.waiting, j, func(a, b *job) int {
		if a.priority >= b.priority {
			return -1
		}
		return 1
	})
	e.waiting = slices.Insert(e.waiting, i, j)
	e.startWaiting()
	return true
}

func (e *engine) startWaiting() {
	for e.running < e.capacity && len(e.waiting) > 0 {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		if !j.cancelled {
			e.start(j)
		}
	}
}

func (e *engine) start(j *job) {
	e.running++
	hit := e.cache.use(j.prefixes)
	e.hits += hit
	cached := hit * route.BlockBytes / route.BytesPerToken
	prefill := float64(prefillTime) * float64(max(j.promptTokens-cached, 0)) / e.speed
	token := float64(tokenTime) * (1 + batchSlope*float64(e.running)/float64(e.capacity)) / e.speed
	first := time.Duration(prefill + token)
	e.loop.after(first, j.onFirst)
	e.loop.after(first+time.Duration(token*float64(j.answerTokens)), func() {
		e.running--
		e.startWaiting()
		j.onEnd()
	})
}

func (e *engine) load() route.Load {
	return route.Load{Running: e.running, Waiting: len(e.waiting), Capacity: e.capacity}
}

// prefixCache holds the most recently used prefixes.
type prefixCache struct {
	size   int
	byHash map[uint64]*list.Element
	// recent holds hashes, the most recently used in front.
	recent *list.List
}

func newPrefixCache(size int) prefixCache {
	return prefixCache{size: size, byHash: make(map[uint64]*list.Element), recent: list.New()}
}

// use returns the number of leading blocks that are cached, and caches all.
func (c *prefixCache) use(prefixes []uint64) int {
	hit := 0
	for hit < len(prefixes) && c.byHash[prefixes[hit]] != nil {
		hit++
	}
	for _, p := range prefixes {
		if el, ok := c.byHash[p]; ok {
			c.recent.MoveToFront(el)
			continue
		}
		c.byHash[p] = c.recent.PushFront(p)
	}
	for len(c.byHash) > c.size {
		last := c.recent.Back()
		delete(c.byHash, last.Value.(uint64))
		c.recent.Remove(last)
	}
	return hit
}
