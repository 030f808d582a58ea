package roster

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	defaultFanOut      = 2
	defaultNewsFanOut  = 3
	defaultTick        = 500 * time.Millisecond
	defaultCallTimeout = time.Second
)

// Peer is the transport to one other process.
type Peer interface {
	// Exchange delivers a digest and returns the other's.
	Exchange(ctx context.Context, d Digest) (Digest, error)
}

// Directory reaches the other processes.
type Directory interface {
	// Peers returns the other live processes in a stable order.
	Peers() []Peer
}

// GossipOptions configures a Gossip. Roster and Directory are required.
type GossipOptions struct {
	Roster    *Roster
	Directory Directory
	// FanOut is the number of exchanges per tick. Default 2.
	FanOut int
	// NewsFanOut is the number of exchanges after a new sign. Default 3.
	NewsFanOut int
	// Tick is the time between exchanges. Default 500 ms.
	Tick time.Duration
	// CallTimeout bounds an exchange. Default 1 s.
	CallTimeout time.Duration
	Clock       clockwork.Clock
	Rand        *rand.Rand
	Observer    Observer
}

// Gossip passes on one roster's signs.
type Gossip struct {
	opts GossipOptions
	mu   sync.Mutex // guards opts.Rand
}

// NewGossip returns a gossip. Nothing runs until Run.
func NewGossip(opts GossipOptions) *Gossip {
	opts.FanOut = defaultTo(opts.FanOut, defaultFanOut)
	opts.NewsFanOut = defaultTo(opts.NewsFanOut, defaultNewsFanOut)
	opts.Tick = defaultTo(opts.Tick, defaultTick)
	opts.CallTimeout = defaultTo(opts.CallTimeout, defaultCallTimeout)
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}
	if opts.Rand == nil {
		opts.Rand = rand.New(rand.NewPCG(1, seedOf(opts.Roster.opts.Self)))
	}
	if opts.Observer == nil {
		opts.Observer = NopObserver{}
	}
	return &Gossip{opts: opts}
}

// Run exchanges until ctx ends: FanOut goroutines by the tick, one for news.
func (g *Gossip) Run(ctx context.Context) {
	var duties sync.WaitGroup
	for range g.opts.FanOut {
		duties.Go(func() { g.tickLoop(ctx) })
	}
	duties.Go(func() { g.newsLoop(ctx) })
	duties.Wait()
}

func (g *Gossip) tickLoop(ctx context.Context) {
	for ctx.Err() == nil {
		g.ExchangeOnce(ctx)
		select {
		case <-ctx.Done():
		case <-g.opts.Clock.After(g.jitter()):
		}
	}
}

// newsLoop passes on a new sign at once. Signs that come together share a message.
func (g *Gossip) newsLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.opts.Roster.Changed():
			var calls sync.WaitGroup
			for range g.opts.NewsFanOut {
				calls.Go(func() { g.ExchangeOnce(ctx) })
			}
			calls.Wait()
		}
	}
}

// ExchangeOnce exchanges digests with one random peer. It reports whether one answered.
func (g *Gossip) ExchangeOnce(ctx context.Context) bool {
	peers := g.opts.Directory.Peers()
	if len(peers) == 0 {
		return false
	}
	ctx, cancel := withTimeout(ctx, g.opts.Clock, g.opts.CallTimeout)
	defer cancel()
	reply, err := peers[g.index(len(peers))].Exchange(ctx, g.opts.Roster.Digest(len(peers)))
	if err != nil {
		g.opts.Observer.Observe(EventExchangeFailed)
		return false
	}
	return g.opts.Roster.Receive(reply) == nil
}

// Answer serves a peer's exchange. Errors: ErrInvalid.
func (g *Gossip) Answer(d Digest) (Digest, error) {
	if err := g.opts.Roster.Receive(d); err != nil {
		return Digest{}, err
	}
	return g.opts.Roster.Digest(len(g.opts.Directory.Peers())), nil
}

func (g *Gossip) index(n int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.opts.Rand.IntN(n)
}

// jitter returns a duration between three and five quarters of the tick.
func (g *Gossip) jitter() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.opts.Tick*3/4 + time.Duration(g.opts.Rand.Int64N(int64(g.opts.Tick/2)+1))
}

// withTimeout cancels the returned context after d by the given clock.
func withTimeout(ctx context.Context, clock clockwork.Clock, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	timer := clock.AfterFunc(d, cancel)
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}

func seedOf(id ID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return h.Sum64()
}
