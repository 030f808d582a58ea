package revision

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/poplarshore/poplarshore/coord/store"
)

const (
	defaultFanOut      = 2
	defaultTick        = time.Second
	defaultMinPoll     = time.Second
	defaultGroupReads  = 20 // reads of the head row per second, all nodes together
	defaultCallTimeout = time.Second
)

// Peer is the transport to one other node.
type Peer interface {
	// Exchange delivers a digest and returns the other's.
	Exchange(ctx context.Context, d Digest) (Digest, error)
	// Fetch returns the body with the hash from the other node.
	Fetch(ctx context.Context, hash Hash) ([]byte, error)
}

// Directory lists and reaches the other nodes.
type Directory interface {
	// Peers returns the identities of the other live nodes in a stable order.
	Peers() []NodeID
	// Peer returns the transport to a node.
	Peer(id NodeID) Peer
}

// SpreaderOptions configures a Spreader. Node, Table, Objects and Directory are required.
type SpreaderOptions struct {
	Node      *Node
	Table     store.Table
	Objects   store.Objects
	Prefix    string
	Directory Directory
	// FanOut is the number of peers that a node exchanges digests with per
	// tick, and once more after each installation. Default 2.
	FanOut int
	// Tick is the time between exchanges. Default 1 s.
	Tick time.Duration
	// MinPoll is the least time between a node's reads of the head row. Default 1 s.
	MinPoll time.Duration
	// GroupReads bounds the reads of the head row by all nodes together, per
	// second. Default 20.
	GroupReads float64
	// CallTimeout bounds each call to a peer or the store. Default 1 s.
	CallTimeout time.Duration
	Clock       clockwork.Clock
	Rand        *rand.Rand
	Observer    Observer
}

func (o SpreaderOptions) withDefaults() SpreaderOptions {
	o.FanOut = defaultTo(o.FanOut, defaultFanOut)
	o.Tick = defaultTo(o.Tick, defaultTick)
	o.MinPoll = defaultTo(o.MinPoll, defaultMinPoll)
	o.CallTimeout = defaultTo(o.CallTimeout, defaultCallTimeout)
	if o.GroupReads <= 0 {
		o.GroupReads = defaultGroupReads
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(2, seedOf(o.Node.ID())))
	}
	if o.Observer == nil {
		o.Observer = NopObserver{}
	}
	return o
}

func defaultTo[T int | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}

// Spreader keeps one node up to date: it polls the head row and exchanges
// digests with peers.
type Spreader struct {
	opts   SpreaderOptions
	follow chan NodeID // peers to fetch a newer body from

	mu sync.Mutex // guards opts.Rand
}

// NewSpreader returns a spreader. Nothing runs until Run.
func NewSpreader(opts SpreaderOptions) *Spreader {
	return &Spreader{opts: opts.withDefaults(), follow: make(chan NodeID, 1)}
}

// Run polls and exchanges until ctx ends. One goroutine polls the head row, FanOut
// exchange digests, one announces installations and one fetches what peers named.
func (s *Spreader) Run(ctx context.Context) {
	var duties sync.WaitGroup
	duties.Go(func() { s.pollLoop(ctx) })
	duties.Go(func() { s.announceLoop(ctx) })
	duties.Go(func() { s.followLoop(ctx) })
	for range s.opts.FanOut {
		duties.Go(func() { s.exchangeLoop(ctx) })
	}
	duties.Wait()
}

func (s *Spreader) pollLoop(ctx context.Context) {
	for ctx.Err() == nil {
		s.Poll(ctx)
		s.opts.Node.Forget()
		period := PollPeriod(len(s.opts.Directory.Peers())+1, s.opts.GroupReads, s.opts.MinPoll)
		wait(ctx, s.opts.Clock, s.jitter(period))
	}
}

func (s *Spreader) exchangeLoop(ctx context.Context) {
	for ctx.Err() == nil {
		s.ExchangeOnce(ctx)
		wait(ctx, s.opts.Clock, s.jitter(s.opts.Tick))
	}
}

func (s *Spreader) announceLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.opts.Node.Changed():
			s.Announce(ctx)
		}
	}
}

func (s *Spreader) followLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case from := <-s.follow:
			s.Follow(ctx, from)
		}
	}
}

// PollPeriod returns the mean time between one node's reads of the head row,
// such that a group of the size makes groupReads reads per second.
func PollPeriod(nodes int, groupReads float64, least time.Duration) time.Duration {
	period := time.Duration(float64(nodes) / groupReads * float64(time.Second))
	return max(period, least)
}

// Poll reads the head row once and installs what it names. It reports whether
// the store answered.
func (s *Spreader) Poll(ctx context.Context) bool {
	ctx, cancel := withTimeout(ctx, s.opts.Clock, s.opts.CallTimeout)
	defer cancel()
	sentAt := s.opts.Clock.Now()
	head, _, err := readHead(ctx, s.opts.Table, headKey(s.opts.Prefix))
	if err != nil {
		s.opts.Observer.Observe(EventPollFailed)
		return false
	}
	s.opts.Node.ObserveHead(head.Revision, sentAt)
	s.catchUp(ctx, nil)
	return true
}

// ExchangeOnce exchanges digests with one random peer and installs what it
// learns. It reports whether a peer answered.
func (s *Spreader) ExchangeOnce(ctx context.Context) bool {
	peer, ok := s.pick()
	if !ok {
		return false
	}
	return s.exchange(ctx, peer)
}

// Announce exchanges digests with FanOut random peers at once. It implements Announcer.
func (s *Spreader) Announce(ctx context.Context) {
	var calls sync.WaitGroup
	for range s.opts.FanOut {
		peer, ok := s.pick()
		if !ok {
			s.opts.Observer.Observe(EventAnnounceSkipped)
			return
		}
		calls.Go(func() { s.exchange(ctx, peer) })
	}
	calls.Wait()
}

// Answer serves a peer's exchange: it takes in d and returns this node's digest.
// A newer revision that d names is fetched by Run.
func (s *Spreader) Answer(d Digest) Digest {
	s.opts.Node.ObserveRequest(d)
	if s.behind() {
		select {
		case s.follow <- d.From:
		default:
			s.opts.Observer.Observe(EventFollowSkipped)
		}
	}
	return s.opts.Node.Digest(s.opts.Clock.Now())
}

// Follow installs the newest known revision, from the peer that named it or
// else from the object store.
func (s *Spreader) Follow(ctx context.Context, from NodeID) {
	ctx, cancel := withTimeout(ctx, s.opts.Clock, s.opts.CallTimeout)
	defer cancel()
	s.catchUp(ctx, s.opts.Directory.Peer(from))
}

func (s *Spreader) exchange(ctx context.Context, peer Peer) bool {
	ctx, cancel := withTimeout(ctx, s.opts.Clock, s.opts.CallTimeout)
	defer cancel()
	sentAt := s.opts.Clock.Now()
	reply, err := peer.Exchange(ctx, s.opts.Node.Digest(sentAt))
	if err != nil {
		s.opts.Observer.Observe(EventExchangeFailed)
		return false
	}
	s.opts.Node.ObserveReply(reply, sentAt)
	s.catchUp(ctx, peer)
	return true
}

// catchUp installs the known revision if it is newer than the installed one.
func (s *Spreader) catchUp(ctx context.Context, peer Peer) {
	if !s.behind() {
		return
	}
	known := s.opts.Node.Known()
	body, err := s.fetch(ctx, peer, known.Hash)
	if err != nil {
		s.opts.Observer.Observe(EventFetchFailed)
		return
	}
	s.opts.Node.Install(known, body)
}

func (s *Spreader) behind() bool {
	current, _ := s.opts.Node.Current()
	return s.opts.Node.Known().Number > current.Number
}

func (s *Spreader) fetch(ctx context.Context, peer Peer, hash Hash) ([]byte, error) {
	if peer != nil {
		body, err := peer.Fetch(ctx, hash)
		if err == nil && HashOf(body) == hash {
			return body, nil
		}
	}
	return fetchBody(ctx, s.opts.Objects, s.opts.Prefix, hash)
}

func (s *Spreader) pick() (Peer, bool) {
	peers := s.opts.Directory.Peers()
	if len(peers) == 0 {
		return nil, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opts.Directory.Peer(peers[s.opts.Rand.IntN(len(peers))]), true
}

// jitter returns a duration between three and five quarters of mean.
func (s *Spreader) jitter(mean time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return mean*3/4 + time.Duration(s.opts.Rand.Int64N(int64(mean/2)+1))
}

func wait(ctx context.Context, clock clockwork.Clock, d time.Duration) {
	timer := clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.Chan():
	}
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
