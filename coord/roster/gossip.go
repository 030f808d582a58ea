package roster

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Defaults of GossipOptions.
const (
	defaultFanOut       = 2
	defaultUpdateFanOut = 3
	defaultInterval     = 500 * time.Millisecond
	defaultCallTimeout  = time.Second
)

// Peer is the transport to one other process.
type Peer interface {
	// Exchange delivers a digest to the process's Gossip.HandleExchange and returns the digest that it
	// replies with.
	Exchange(ctx context.Context, d Digest) (Digest, error)
}

// Directory lists the other processes. It must be safe for concurrent use.
type Directory interface {
	// Peers returns the other live processes, without this one, in a stable order.
	Peers() []Peer
}

// GossipOptions configures a Gossip. Roster and Directory are required.
type GossipOptions struct {
	Roster    *Roster
	Directory Directory
	// FanOut is the number of exchanges per Interval. Default 2.
	FanOut int
	// UpdateFanOut is the number of extra exchanges after a new update. Default 3.
	UpdateFanOut int
	// Interval is the mean time between an exchange's end and the next one. Default 500 ms.
	Interval time.Duration
	// CallTimeout bounds an exchange. Default 1 s.
	CallTimeout time.Duration
	// Clock defaults to the real clock.
	Clock clockwork.Clock
	// Rand selects peers and draws the jitter of the interval. The default is seeded from the
	// roster's Options.Self. The Gossip must be its only user.
	Rand *rand.Rand
	// Observer defaults to NopObserver.
	Observer Observer
}

// Gossip exchanges one roster's updates with random peers. It is safe for concurrent use.
type Gossip struct {
	opts GossipOptions
	mu   sync.Mutex // guards opts.Rand
}

// NewGossip returns a gossip that is not running: see Run.
func NewGossip(opts GossipOptions) *Gossip {
	opts.FanOut = orDefault(opts.FanOut, defaultFanOut)
	opts.UpdateFanOut = orDefault(opts.UpdateFanOut, defaultUpdateFanOut)
	opts.Interval = orDefault(opts.Interval, defaultInterval)
	opts.CallTimeout = orDefault(opts.CallTimeout, defaultCallTimeout)
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}
	if opts.Rand == nil {
		opts.Rand = rand.New(rand.NewPCG(1, seedFromID(opts.Roster.opts.Self)))
	}
	if opts.Observer == nil {
		opts.Observer = NopObserver{}
	}
	return &Gossip{opts: opts}
}

// Run exchanges digests until ctx ends: FanOut goroutines exchange at the interval, and one exchanges
// after new updates. It returns once they have stopped. Call it once per Gossip.
func (g *Gossip) Run(ctx context.Context) {
	var loops sync.WaitGroup
	for range g.opts.FanOut {
		loops.Go(func() { g.periodicLoop(ctx) })
	}
	loops.Go(func() { g.updateLoop(ctx) })
	loops.Wait()
}

// periodicLoop exchanges with one random peer per interval.
func (g *Gossip) periodicLoop(ctx context.Context) {
	for ctx.Err() == nil {
		g.ExchangeOnce(ctx)
		select {
		case <-ctx.Done():
		case <-g.opts.Clock.After(g.jitteredInterval()):
		}
	}
}

// updateLoop exchanges with UpdateFanOut random peers as soon as an update is new. Updates that
// arrive together share a digest.
func (g *Gossip) updateLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.opts.Roster.Changed():
			var exchanges sync.WaitGroup
			for range g.opts.UpdateFanOut {
				exchanges.Go(func() { g.ExchangeOnce(ctx) })
			}
			exchanges.Wait()
		}
	}
}

// ExchangeOnce exchanges digests with one random peer. It reports whether the peer replied with a
// valid digest; it reports false if there is no peer. Updates lost in a failed exchange count as
// sent: the repetitions make up for them.
func (g *Gossip) ExchangeOnce(ctx context.Context) bool {
	peers := g.opts.Directory.Peers()
	if len(peers) == 0 {
		return false
	}
	ctx, cancel := withTimeout(ctx, g.opts.Clock, g.opts.CallTimeout)
	defer cancel()
	reply, err := peers[g.randomIndex(len(peers))].Exchange(ctx, g.opts.Roster.Digest(len(peers)))
	if err != nil {
		g.opts.Observer.Observe(EventExchangeFailed)
		return false
	}
	return g.opts.Roster.Receive(reply) == nil
}

// HandleExchange serves an exchange that a peer initiated: it merges the digest and returns the reply.
// The caller's transport calls it. Errors: ErrInvalid, as for Roster.Receive.
func (g *Gossip) HandleExchange(d Digest) (Digest, error) {
	if err := g.opts.Roster.Receive(d); err != nil {
		return Digest{}, err
	}
	return g.opts.Roster.Digest(len(g.opts.Directory.Peers())), nil
}

func (g *Gossip) randomIndex(n int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.opts.Rand.IntN(n)
}

// jitteredInterval returns a duration between 3/4 and 5/4 of the interval.
func (g *Gossip) jitteredInterval() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.opts.Interval*3/4 + time.Duration(g.opts.Rand.Int64N(int64(g.opts.Interval/2)+1))
}

// withTimeout returns a context that is cancelled after d as measured by clock.
func withTimeout(ctx context.Context, clock clockwork.Clock, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	timer := clock.AfterFunc(d, cancel)
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}

// seedFromID returns a hash of id as a seed, so that processes draw different peers.
func seedFromID(id ID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return h.Sum64()
}
