package fleet

import (
	"container/list"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/poplarshore/poplarshore/route"
)

// Engine is a fake model engine with continuous batching: up to capacity
// requests run at once, each token takes longer in a fuller batch, and prompt
// prefixes stay cached in limited memory.
type Engine struct {
	Loop     *Loop
	Capacity int
	// Speed divides all times.
	Speed float64
	// Limit bounds the waiting requests; zero is no bound.
	Limit int
	// Hits counts prompt blocks that were cached.
	Hits int

	running int
	waiting []*Job
	cache   prefixCache
}

// NewEngine returns an engine of speed 1 that caches a number of prompt blocks.
func NewEngine(loop *Loop, capacity, cached int) *Engine {
	return &Engine{Loop: loop, Capacity: capacity, Speed: 1, cache: newPrefixCache(cached)}
}

// Job is one attempt on an engine.
type Job struct {
	PromptTokens int
	AnswerTokens int
	Prefixes     []uint64
	// Priority puts a job before all waiting ones of a lower one.
	Priority int
	// Cancelled jobs don't start.
	Cancelled bool
	// OnFirst is called at the first token and OnEnd after the last.
	OnFirst func()
	OnEnd   func()
}

const (
	// TokenTime is the time for one token in an empty batch at speed 1.
	TokenTime = 10 * time.Millisecond
	// BatchSlope is the part of TokenTime that a full batch adds.
	BatchSlope = 1.0
	// PrefillTime is the time to read one prompt token at speed 1.
	PrefillTime = 50 * time.Microsecond
)

// Rate returns the requests per second that a full engine of speed 1 serves when
// nothing is cached, for mean sizes in tokens.
func Rate(capacity int, prompt, answer float64) float64 {
	return float64(capacity) / Hold(prompt, answer).Seconds()
}

// Hold returns how long a request of a size occupies a full engine of speed 1.
func Hold(prompt, answer float64) time.Duration {
	token := float64(TokenTime) * (1 + BatchSlope)
	return time.Duration(answer*token + prompt*float64(PrefillTime))
}

// LogNormal draws from the log-normal distribution with the mean.
func LogNormal(rng *rand.Rand, mean, sigma float64) float64 {
	return mean * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2)
}

// Submit takes a job, or refuses it if the queue is full.
func (e *Engine) Submit(j *Job) bool {
	if e.Limit > 0 && len(e.waiting) >= e.Limit {
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
	hit := e.cache.use(j.Prefixes)
	e.Hits += hit
	cached := hit * route.BlockBytes / route.BytesPerToken
	prefill := float64(PrefillTime) * float64(max(j.PromptTokens-cached, 0)) / e.Speed
	token := float64(TokenTime) * (1 + BatchSlope*float64(e.running)/float64(e.Capacity)) / e.Speed
	first := time.Duration(prefill + token)
	e.Loop.After(first, j.OnFirst)
	e.Loop.After(first+time.Duration(token*float64(j.AnswerTokens)), func() {
		e.running--
		e.startWaiting()
		j.OnEnd()
	})
}

// Load returns the engine's load report.
func (e *Engine) Load() route.Load {
	return route.Load{Running: e.running, Waiting: len(e.waiting), Capacity: e.Capacity}
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
