package revision

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	defaultFreshFor   = 10 * time.Second
	defaultStatements = 64
)

// Options configures a Node. ID is required.
type Options struct {
	ID NodeID
	// FreshFor bounds the age of the proof that the installed revision was the
	// newest. Default 10 s.
	FreshFor time.Duration
	// Statements bounds the statements in one digest. Default 64.
	Statements int
	// Members returns the nodes that take proposals and are not gone, this one
	// included. While no node reaches the store, all of them have to vouch. Nil
	// stands for an unknown membership, for which only the store counts.
	Members func() []NodeID
	// Apply, if set, puts a revision in force before the node counts it as
	// installed and confirms it to others. It is called with rising numbers, one
	// call at a time. After an error the revision is not installed.
	Apply    func(rev Revision, body []byte) error
	Clock    clockwork.Clock
	Rand     *rand.Rand
	Observer Observer
}

func (o Options) withDefaults() Options {
	if o.FreshFor <= 0 {
		o.FreshFor = defaultFreshFor
	}
	if o.Statements <= 0 {
		o.Statements = defaultStatements
	}
	if o.Members == nil {
		o.Members = func() []NodeID { return nil }
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(1, seedOf(o.ID)))
	}
	if o.Observer == nil {
		o.Observer = NopObserver{}
	}
	return o
}

// evidence is a number that was true at a time.
type evidence struct {
	number uint64
	at     time.Time
}

// Node is one process's view of the configuration. It is safe for concurrent use.
type Node struct {
	opts Options
	// installing is held during an installation, always before mu.
	installing sync.Mutex

	mu        sync.Mutex
	installed Revision
	body      []byte
	known     Revision
	contact   evidence            // newest evidence about the head row
	confirmed time.Time           // newest contact whose number was not above the installed one
	heard     bool                // the store or a peer has answered
	peers     map[NodeID]evidence // newest statement of each other node
	order     []NodeID            // keys of peers, in the order of their arrival
	numbers   map[NodeID]uint64   // highest number that each other node is known to have installed
	proposals int                 // proposals in flight
	doubt     bool                // a proposal ended with an unknown outcome
	doubtFrom time.Time           // when that proposal ended
	changed   chan struct{}       // holds one token after an installation
}

// NewNode returns a node with nothing installed.
func NewNode(opts Options) *Node {
	return &Node{
		opts:    opts.withDefaults(),
		peers:   make(map[NodeID]evidence),
		numbers: make(map[NodeID]uint64),
		changed: make(chan struct{}, 1),
	}
}

// ID returns the node's identity.
func (n *Node) ID() NodeID { return n.opts.ID }

// Install makes rev the current revision if its number is higher than the
// current one and body has its hash. It reports whether it did.
func (n *Node) Install(rev Revision, body []byte) bool {
	n.installing.Lock()
	defer n.installing.Unlock()
	if current, _ := n.Current(); rev.Number <= current.Number {
		return false
	}
	if HashOf(body) != rev.Hash || n.apply(rev, body) != nil {
		n.opts.Observer.Observe(EventInstallRefused)
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.installed, n.body = rev, body
	n.learn(rev)
	n.confirm()
	n.signal()
	n.opts.Observer.Observe(EventInstalled)
	return true
}

// apply puts a revision in force for the owner of the node.
func (n *Node) apply(rev Revision, body []byte) error {
	if n.opts.Apply == nil {
		return nil
	}
	return n.opts.Apply(rev, body)
}

// Current returns the installed revision and its body, which the caller must
// not change. Number 0 stands for none.
func (n *Node) Current() (Revision, []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.installed, n.body
}

// Known returns the highest revision that the node has heard of.
func (n *Node) Known() Revision {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.known
}

// Changed returns a channel that holds a token after an installation. It has
// one reader, the Spreader.
func (n *Node) Changed() <-chan struct{} { return n.changed }

// Body returns the installed body if it has the hash.
func (n *Node) Body(hash Hash) ([]byte, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.body, n.installed.Number > 0 && n.installed.Hash == hash
}

// ObserveHead takes in a read of the head row that was sent at sentAt.
func (n *Node) ObserveHead(rev Revision, sentAt time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.heard = true
	n.learn(rev)
	n.observe(evidence{rev.Number, sentAt})
	if n.doubt && sentAt.After(n.doubtFrom) {
		n.doubt = false
	}
}

// ObserveRequest takes in a digest that a peer sent. As its time in transit
// is unknown, it raises numbers and proves nothing about ages.
func (n *Node) ObserveRequest(d Digest) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.raise(d)
}

// ObserveReply takes in a peer's answer to a digest that was sent at sentAt.
func (n *Node) ObserveReply(d Digest, sentAt time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.heard = true
	n.raise(d)
	if d.Contact != nil {
		n.observe(evidence{d.Contact.Number, before(sentAt, d.Contact.AgeMillis)})
	}
	if d.Vouches {
		n.state(d.From, evidence{d.Installed.Number, sentAt})
	}
	d.Statements.each(func(id NodeID, number uint64, age time.Duration) {
		n.state(id, evidence{number, sentAt.Add(-age)})
	})
}

// beginProposal stops the node from vouching until endProposal.
func (n *Node) beginProposal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.proposals++
}

// endProposal ends a proposal. After an unknown outcome the node vouches again
// only when a later read of the head row has shown what became of it.
func (n *Node) endProposal(unknown bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.proposals--
	if unknown {
		n.doubt = true
		n.doubtFrom = n.opts.Clock.Now()
	}
}

func (n *Node) raise(d Digest) {
	n.learn(d.Installed)
	if d.Known != nil {
		n.learn(*d.Known)
	}
	n.raiseNumber(d.From, d.Installed.Number)
	d.Statements.each(func(id NodeID, number uint64, _ time.Duration) {
		n.raiseNumber(id, number)
	})
}

func (n *Node) raiseNumber(id NodeID, number uint64) {
	if id != n.opts.ID && number > n.numbers[id] {
		n.numbers[id] = number
	}
}

func (n *Node) learn(rev Revision) {
	if rev.Number > n.known.Number {
		n.known = rev
	}
}

// observe keeps the newest evidence about the head row.
func (n *Node) observe(e evidence) {
	if e.number > n.contact.number || (e.number == n.contact.number && e.at.After(n.contact.at)) {
		n.contact = e
	}
	if e.number <= n.installed.Number && e.at.After(n.confirmed) {
		n.confirmed = e.at
	}
}

// confirm applies the kept evidence after an installation.
func (n *Node) confirm() {
	if n.contact.number <= n.installed.Number && n.contact.at.After(n.confirmed) {
		n.confirmed = n.contact.at
	}
}

func (n *Node) state(id NodeID, e evidence) {
	if id == n.opts.ID {
		return
	}
	old, ok := n.peers[id]
	if !ok {
		n.order = append(n.order, id)
	}
	if !ok || e.at.After(old.at) {
		n.peers[id] = e
	}
}

func (n *Node) signal() {
	select {
	case n.changed <- struct{}{}:
	default:
	}
}
