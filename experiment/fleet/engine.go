package fleet

import (
	"container/list"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/poplarshore/poplarshore/route"
)

// Engine simulates a model engine with continuous batching. Up to Capacity
// requests run at once, the time per token grows with the batch size, and the
// most recently used prompt blocks are cached.
type Engine struct {
	Loop *Loop
	// Capacity is the maximum number of running requests.
	Capacity int
	// Speed divides all processing times. 1 is the normal speed.
	Speed float64
	// MaxWaiting is the maximum number of waiting requests; zero means no maximum.
	MaxWaiting int
	// CachedBlocks counts the prompt blocks found in the cache since the start.
	CachedBlocks int

	running int
	waiting []*Job
	cache   prefixCache
}

// NewEngine returns an idle engine of speed 1 with an unbounded queue, whose cache
// holds cacheBlocks prompt blocks.
func NewEngine(loop *Loop, capacity, cacheBlocks int) *Engine {
	return &Engine{Loop: loop, Capacity: capacity, Speed: 1, cache: newPrefixCache(cacheBlocks)}
}

// Job is one attempt that an engine runs.
type Job struct {
	PromptTokens int
	AnswerTokens int
	// Prefixes are the hashes of the prompt's leading blocks, in order.
	Prefixes []uint64
	// Priority orders the queue. A job is inserted before all waiting jobs of a
	// lower priority.
	Priority int
	// Cancelled removes a waiting job: it is dropped when its turn comes.
	Cancelled bool
	// OnFirstToken is called at the first token and OnComplete after the last.
	OnFirstToken func()
	OnComplete   func()
}

const (
	// TokenTime is the time to generate one token at speed 1, before the batch
	// overhead.
	TokenTime = 10 * time.Millisecond
	// FullBatchOverhead is the extra time per token in a full batch, as a fraction
	// of TokenTime. The overhead of a smaller batch is proportional to its size.
	FullBatchOverhead = 1.0
	// PrefillTime is the time to process one prompt token at speed 1.
	PrefillTime = 50 * time.Microsecond
)

// ServiceRate returns the requests per second that a full engine of speed 1 serves
// without cached prompt blocks, for the given mean sizes in tokens.
func ServiceRate(capacity int, meanPromptTokens, meanAnswerTokens float64) float64 {
	return float64(capacity) / ServiceTime(meanPromptTokens, meanAnswerTokens).Seconds()
}

// ServiceTime returns how long a request of the given size, without cached prompt
// blocks, runs on a full engine of speed 1.
func ServiceTime(promptTokens, answerTokens float64) time.Duration {
	tokenTime := float64(TokenTime) * (1 + FullBatchOverhead)
	return time.Duration(answerTokens*tokenTime + promptTokens*float64(PrefillTime))
}

// LogNormal draws from the log-normal distribution with the given mean. Sigma is
// the standard deviation of the logarithm.
func LogNormal(rng *rand.Rand, mean, sigma float64) float64 {
	return mean * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2)
}

// Submit queues the job, or starts it if the engine has capacity. It returns false
// if the queue is full.
func (e *Engine) Submit(j *Job) bool {
	if e.MaxWaiting > 0 && len(e.waiting) >= e.MaxWaiting {
		return false
	}
	i, _ := slices.BinarySearchFunc(e.waiting, j, func(a, b *Job) int {
		if a.Priority >= b.Priority {
			return -1
		}
		return 1
	})
	e.waiting = slices.Insert(e.waiting, i, j)
	e.startWaiting()
	return true
}

func (e *Engine) startWaiting() {
	for e.running < e.Capacity && len(e.waiting) > 0 {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		if !j.Cancelled {
			e.start(j)
		}
	}
}

func (e *Engine) start(j *Job) {
	e.running++
	cachedBlocks := e.cache.lookup(j.Prefixes)
	e.CachedBlocks += cachedBlocks
	cachedTokens := cachedBlocks * route.BlockBytes / route.BytesPerToken
	prefillTime := float64(PrefillTime) * float64(max(j.PromptTokens-cachedTokens, 0)) / e.Speed
	tokenTime := float64(TokenTime) * (1 + FullBatchOverhead*float64(e.running)/float64(e.Capacity)) / e.Speed
	firstTokenDelay := time.Duration(prefillTime + tokenTime)
	e.Loop.After(firstTokenDelay, j.OnFirstToken)
	e.Loop.After(firstTokenDelay+time.Duration(tokenTime*float64(j.AnswerTokens)), func() {
		e.running--
		e.startWaiting()
		j.OnComplete()
	})
}

// Load returns the engine's current load.
func (e *Engine) Load() route.Load {
	return route.Load{Running: e.running, Waiting: len(e.waiting), Capacity: e.Capacity}
}

// prefixCache is a least-recently-used cache of prompt blocks, by prefix hash.
type prefixCache struct {
	maxBlocks int
	byHash    map[uint64]*list.Element
	// recent lists the hashes, the most recently used first.
	recent *list.List
}

func newPrefixCache(maxBlocks int) prefixCache {
	return prefixCache{maxBlocks: maxBlocks, byHash: make(map[uint64]*list.Element), recent: list.New()}
}

// lookup returns the number of leading blocks that are cached, then caches all
// blocks and evicts the least recently used ones.
func (c *prefixCache) lookup(prefixes []uint64) int {
	nCached := 0
	for nCached < len(prefixes) && c.byHash[prefixes[nCached]] != nil {
		nCached++
	}
	for _, p := range prefixes {
		if element, ok := c.byHash[p]; ok {
			c.recent.MoveToFront(element)
			continue
		}
		c.byHash[p] = c.recent.PushFront(p)
	}
	for len(c.byHash) > c.maxBlocks {
		oldest := c.recent.Back()
		delete(c.byHash, oldest.Value.(uint64))
		c.recent.Remove(oldest)
	}
	return nCached
}
