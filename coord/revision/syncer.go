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
	defaultFanOut              = 2
	defaultExchangePeriod      = time.Second
	defaultMinPollPeriod       = time.Second
	defaultGroupReadsPerSecond = 20 // reads of the head row by all nodes together
	defaultCallTimeout         = time.Second
)

// Peer is the transport to one other node. Implementations must be safe for
// concurrent use and return soon after ctx ends.
type Peer interface {
	// Exchange sends a digest to the node and returns the node's digest, which is
	// the result of Syncer.HandleExchange there. The reply must belong to this request:
	// a cached one would make ages look shorter than they are.
	Exchange(ctx context.Context, d Digest) (Digest, error)
	// Fetch returns the body with the hash from the node, which is the result of
	// Node.Body there. It returns an error if the node doesn't have that body. The
	// caller verifies the hash.
	Fetch(ctx context.Context, hash Hash) ([]byte, error)
}

// Directory lists the other nodes and provides the transport to them.
// Implementations must be safe for concurrent use.
type Directory interface {
	// Peers returns the identities of the other live nodes, in a stable order.
	Peers() []NodeID
	// Peer returns the transport to a node. It must not be nil for a node that
	// Peers lists. It is also called for senders of digests that Peers doesn't list.
	Peer(id NodeID) Peer
}

// SyncerOptions configures a Syncer. Node, Table, Objects and Directory are required.
type SyncerOptions struct {
	// Node is the node to keep up to date.
	Node *Node
	// Table contains the head row.
	Table store.Table
	// Objects contains the bodies.
	Objects store.Objects
	// Prefix is the prefix of all keys, the same as in PublisherOptions.
	Prefix string
	// Directory provides the other nodes.
	Directory Directory
	// FanOut is the number of exchanges with random peers per ExchangePeriod, and
	// once more after each installation. Default 2.
	FanOut int
	// ExchangePeriod is the mean time between exchanges; each wait is drawn
	// between 3/4 and 5/4 of it. Default 1 s.
	ExchangePeriod time.Duration
	// MinPollPeriod is the minimum mean time between a node's reads of the head
	// row. Default 1 s.
	MinPollPeriod time.Duration
	// GroupReadsPerSecond is the maximum mean rate of reads of the head row by all
	// nodes together, if it is the same on all nodes. Default 20 per second.
	GroupReadsPerSecond float64
	// CallTimeout is the timeout of one poll or one exchange, including the fetch
	// of a newer body that it finds. Default 1 s.
	CallTimeout time.Duration
	// Clock is the source of time. It must be the Clock of Node. Default is the
	// system clock.
	Clock clockwork.Clock
	// Rand selects peers and draws jitter; the Syncer serializes its use.
	// Default is a generator seeded with the Node's ID.
	Rand *rand.Rand
	// Observer receives the Syncer's events. Default NopObserver.
	Observer Observer
}

func (o SyncerOptions) withDefaults() SyncerOptions {
	o.FanOut = defaultTo(o.FanOut, defaultFanOut)
	o.ExchangePeriod = defaultTo(o.ExchangePeriod, defaultExchangePeriod)
	o.MinPollPeriod = defaultTo(o.MinPollPeriod, defaultMinPollPeriod)
	o.CallTimeout = defaultTo(o.CallTimeout, defaultCallTimeout)
	if o.GroupReadsPerSecond <= 0 {
		o.GroupReadsPerSecond = defaultGroupReadsPerSecond
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

// defaultTo returns value if it is positive and fallback otherwise.
func defaultTo[T int | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}

// Syncer keeps one node up to date: it polls the head row and exchanges digests with
// peers. It is safe for concurrent use. Create it with NewSyncer.
type Syncer struct {
	opts           SyncerOptions
	followRequests chan NodeID // peers that named a newer revision, to fetch its body from

	mu sync.Mutex // guards opts.Rand
}

// NewSyncer returns a Syncer. It does nothing until Run is called.
func NewSyncer(opts SyncerOptions) *Syncer {
	return &Syncer{opts: opts.withDefaults(), followRequests: make(chan NodeID, 1)}
}

// Run keeps the node up to date until ctx ends, then returns after its goroutines have
// ended. One goroutine polls the head row, FanOut goroutines exchange digests, one
// announces installations and one fetches the revisions that peers name. Call it once.
func (s *Syncer) Run(ctx context.Context) {
	var workers sync.WaitGroup
	workers.Go(func() { s.pollLoop(ctx) })
	workers.Go(func() { s.announceLoop(ctx) })
	workers.Go(func() { s.followLoop(ctx) })
	for range s.opts.FanOut {
		workers.Go(func() { s.exchangeLoop(ctx) })
	}
	workers.Wait()
}

func (s *Syncer) pollLoop(ctx context.Context) {
	for ctx.Err() == nil {
		s.Poll(ctx)
		s.opts.Node.ForgetNonMembers()
		period := PollPeriod(len(s.opts.Directory.Peers())+1, s.opts.GroupReadsPerSecond, s.opts.MinPollPeriod)
		wait(ctx, s.opts.Clock, s.jitter(period))
	}
}

func (s *Syncer) exchangeLoop(ctx context.Context) {
	for ctx.Err() == nil {
		s.ExchangeOnce(ctx)
		wait(ctx, s.opts.Clock, s.jitter(s.opts.ExchangePeriod))
	}
}

func (s *Syncer) announceLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.opts.Node.Changed():
			s.Announce(ctx)
		}
	}
}

func (s *Syncer) followLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case from := <-s.followRequests:
			s.Follow(ctx, from)
		}
	}
}

// PollPeriod returns the mean time between one node's reads of the head row, such that
// a group of that many nodes makes groupReadsPerSecond reads per second in total. It
// is at least minPeriod.
func PollPeriod(nodes int, groupReadsPerSecond float64, minPeriod time.Duration) time.Duration {
	period := time.Duration(float64(nodes) / groupReadsPerSecond * float64(time.Second))
	return max(period, minPeriod)
}

// Poll reads the head row once and installs the revision that it names, if that is
// newer. It returns false if the head row could not be read. Run calls it
// periodically.
func (s *Syncer) Poll(ctx context.Context) bool {
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

// ExchangeOnce exchanges digests with one random peer and installs the highest
// revision that is then known, if it is newer. It returns false if there is no peer or
// the peer didn't answer. Run calls it periodically.
func (s *Syncer) ExchangeOnce(ctx context.Context) bool {
	peer, ok := s.randomPeer()
	if !ok {
		return false
	}
	return s.exchange(ctx, peer)
}

// Announce exchanges digests with FanOut random peers concurrently, and returns when
// all have answered or failed. It implements Announcer.
func (s *Syncer) Announce(ctx context.Context) {
	var calls sync.WaitGroup
	for range s.opts.FanOut {
		peer, ok := s.randomPeer()
		if !ok {
			s.opts.Observer.Observe(EventAnnounceSkipped)
			return
		}
		calls.Go(func() { s.exchange(ctx, peer) })
	}
	calls.Wait()
}

// HandleExchange serves a peer's exchange: it records the peer's digest d and returns the
// digest of this node. It doesn't block: a newer revision that d names is fetched by Run.
func (s *Syncer) HandleExchange(d Digest) Digest {
	s.opts.Node.ObserveRequest(d)
	if s.isBehind() {
		select {
		case s.followRequests <- d.From:
		default:
			s.opts.Observer.Observe(EventFollowSkipped)
		}
	}
	return s.opts.Node.Digest(s.opts.Clock.Now())
}

// Follow installs the highest known revision, if it is newer than the installed one. It
// fetches the body from the given peer or, if that fails, from the object store. Run
// calls it after HandleExchange received a newer revision.
func (s *Syncer) Follow(ctx context.Context, from NodeID) {
	ctx, cancel := withTimeout(ctx, s.opts.Clock, s.opts.CallTimeout)
	defer cancel()
	s.catchUp(ctx, s.opts.Directory.Peer(from))
}

// exchange exchanges digests with the peer. It reports whether the peer answered.
func (s *Syncer) exchange(ctx context.Context, peer Peer) bool {
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

// catchUp installs the highest known revision, if it is newer than the installed one.
// The peer, if not nil, is asked for the body before the object store.
func (s *Syncer) catchUp(ctx context.Context, peer Peer) {
	if !s.isBehind() {
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

// isBehind reports whether a revision is known that is newer than the installed one.
func (s *Syncer) isBehind() bool {
	current, _ := s.opts.Node.Current()
	return s.opts.Node.Known().Number > current.Number
}

// fetch returns the body from the peer, if not nil, or else from the object store.
func (s *Syncer) fetch(ctx context.Context, peer Peer, hash Hash) ([]byte, error) {
	if peer != nil {
		body, err := peer.Fetch(ctx, hash)
		if err == nil && HashOf(body) == hash {
			return body, nil
		}
	}
	return fetchBody(ctx, s.opts.Objects, s.opts.Prefix, hash)
}

// randomPeer returns the transport to a random peer; false if there is none.
func (s *Syncer) randomPeer() (Peer, bool) {
	peers := s.opts.Directory.Peers()
	if len(peers) == 0 {
		return nil, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opts.Directory.Peer(peers[s.opts.Rand.IntN(len(peers))]), true
}

// jitter returns a random duration between 3/4 and 5/4 of mean.
func (s *Syncer) jitter(mean time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return mean*3/4 + time.Duration(s.opts.Rand.Int64N(int64(mean/2)+1))
}

// wait returns after d by the given clock, or when ctx ends.
func wait(ctx context.Context, clock clockwork.Clock, d time.Duration) {
	timer := clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.Chan():
	}
}

// withTimeout returns a context that is cancelled after d by the given clock. The
// caller must call the returned function.
func withTimeout(ctx context.Context, clock clockwork.Clock, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	timer := clock.AfterFunc(d, cancel)
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}
