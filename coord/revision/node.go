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
	// ID identifies this node. It must be unique within the group.
	ID NodeID
	// FreshFor is the maximum age of the proof that the installed revision was
	// the newest one. Node.InForce requires the same value on all nodes. Default 10 s.
	FreshFor time.Duration
	// Statements is the maximum number of statements in one digest. Default 64.
	Statements int
	// Members returns the nodes that accept proposals and are not gone, including
	// this one. While no node reaches the store, a node is fresh only by recent
	// statements of all others. Members must be safe for concurrent use. Nil
	// means that the members are unknown: then only the head row proves freshness.
	Members func() []NodeID
	// Apply, if set, puts a revision in force before the node counts it as
	// installed and confirms it to others. It is called with increasing numbers,
	// one call at a time, and must not call Install. If it fails, the revision is
	// not installed; a later Install tries again.
	Apply func(rev Revision, body []byte) error
	// Clock is the source of time. Default is the system clock.
	Clock clockwork.Clock
	// Rand selects the statements of a digest; the node serializes its use.
	// Default is a generator seeded with the ID.
	Rand *rand.Rand
	// Observer receives the node's events. Default NopObserver.
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

// observation is a revision number that a row or node was known to have at a time.
type observation struct {
	number uint64
	at     time.Time
}

// Node holds the revision installed in one process, and the evidence that it is the
// newest one. It is safe for concurrent use. Create it with NewNode.
type Node struct {
	opts Options
	// installMu serializes installations. It is locked before mu.
	installMu sync.Mutex

	mu                  sync.Mutex
	installed           Revision
	body                []byte
	known               Revision
	lastHead            observation            // the head row's highest known number, with its latest time
	confirmedAt         time.Time              // latest observation of the head row not above the installed number
	contacted           bool                   // whether the store or a peer has answered
	statements          map[NodeID]observation // latest statement of each other node
	statementOrder      []NodeID               // keys of statements, in order of their first statement
	installedNumbers    map[NodeID]uint64      // highest number that each other node has installed, as far as known
	openProposals       int                    // number of proposals in progress
	outcomeUnknown      bool                   // whether a proposal ended with an unknown outcome that is still unresolved
	outcomeUnknownSince time.Time              // when that proposal ended
	changed             chan struct{}          // contains a value after an installation
}

// NewNode returns a node without an installed revision.
func NewNode(opts Options) *Node {
	return &Node{
		opts:             opts.withDefaults(),
		statements:       make(map[NodeID]observation),
		installedNumbers: make(map[NodeID]uint64),
		changed:          make(chan struct{}, 1),
	}
}

// ID returns the identity of the node.
func (n *Node) ID() NodeID { return n.opts.ID }

// Install makes rev the installed revision if its number is higher than the
// installed one, body has its hash and Options.Apply succeeds. It reports whether it
// installed rev. The caller must not change body afterwards.
func (n *Node) Install(rev Revision, body []byte) bool {
	n.installMu.Lock()
	defer n.installMu.Unlock()
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
	n.recordKnown(rev)
	n.updateConfirmedAt()
	n.notifyChanged()
	n.opts.Observer.Observe(EventInstalled)
	return true
}

// apply calls Options.Apply, if set.
func (n *Node) apply(rev Revision, body []byte) error {
	if n.opts.Apply == nil {
		return nil
	}
	return n.opts.Apply(rev, body)
}

// Current returns the installed revision and its body, which the caller must not
// change. If nothing is installed, the revision's number is 0.
func (n *Node) Current() (Revision, []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.installed, n.body
}

// Known returns the revision with the highest number that the node knows of, whether
// installed or not. If there is none, its number is 0.
func (n *Node) Known() Revision {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.known
}

// Changed returns a channel that provides one value after one or more installations.
// It is for a single reader, the Syncer.
func (n *Node) Changed() <-chan struct{} { return n.changed }

// Body returns the installed body, and whether it has the given hash. Use it to serve
// Peer.Fetch. The caller must not change the body.
func (n *Node) Body(hash Hash) ([]byte, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.body, n.installed.Number > 0 && n.installed.Hash == hash
}

// ObserveHead records that a read of the head row returned rev. The read was sent at
// sentAt, by the node's clock.
func (n *Node) ObserveHead(rev Revision, sentAt time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.contacted = true
	n.recordKnown(rev)
	n.recordHead(observation{rev.Number, sentAt})
	if n.outcomeUnknown && sentAt.After(n.outcomeUnknownSince) {
		n.outcomeUnknown = false
	}
}

// ObserveRequest records a digest that a peer sent in a request. Only its revision
// numbers are used: its time in transit is unknown, so it is no proof of any age.
func (n *Node) ObserveRequest(d Digest) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.recordNumbers(d)
}

// ObserveReply records a peer's reply to a digest. The digest was sent at sentAt, by
// the node's clock; the ages in the reply are counted from there.
func (n *Node) ObserveReply(d Digest, sentAt time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.contacted = true
	n.recordNumbers(d)
	if d.LastHead != nil {
		n.recordHead(observation{d.LastHead.Number, subtractAge(sentAt, d.LastHead.AgeMillis)})
	}
	if d.NoOpenProposal {
		n.recordStatement(d.From, observation{d.Installed.Number, sentAt})
	}
	d.Statements.forEach(func(id NodeID, number uint64, age time.Duration) {
		n.recordStatement(id, observation{number, sentAt.Add(-age)})
	})
}

// beginProposal makes the node withhold its statement until endProposal.
func (n *Node) beginProposal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.openProposals++
}

// endProposal ends a proposal. If its outcome is unknown, the node continues to
// withhold its statement until a read of the head row that is sent later resolves the
// outcome.
func (n *Node) endProposal(unknown bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.openProposals--
	if unknown {
		n.outcomeUnknown = true
		n.outcomeUnknownSince = n.opts.Clock.Now()
	}
}

// recordNumbers records all revision numbers of the digest.
func (n *Node) recordNumbers(d Digest) {
	n.recordKnown(d.Installed)
	if d.Known != nil {
		n.recordKnown(*d.Known)
	}
	n.recordInstalled(d.From, d.Installed.Number)
	d.Statements.forEach(func(id NodeID, number uint64, _ time.Duration) {
		n.recordInstalled(id, number)
	})
}

// recordInstalled records that another node has installed the number.
func (n *Node) recordInstalled(id NodeID, number uint64) {
	if id != n.opts.ID && number > n.installedNumbers[id] {
		n.installedNumbers[id] = number
	}
}

// recordKnown makes rev the known revision if its number is higher and it is valid.
func (n *Node) recordKnown(rev Revision) {
	if rev.Number > n.known.Number && rev.valid() {
		n.known = rev
	}
}

func (n *Node) recordHead(o observation) {
	if o.number > n.lastHead.number || (o.number == n.lastHead.number && o.at.After(n.lastHead.at)) {
		n.lastHead = o
	}
	if o.number <= n.installed.Number && o.at.After(n.confirmedAt) {
		n.confirmedAt = o.at
	}
}

// updateConfirmedAt applies the last observation of the head row to a newly installed
// revision.
func (n *Node) updateConfirmedAt() {
	if n.lastHead.number <= n.installed.Number && n.lastHead.at.After(n.confirmedAt) {
		n.confirmedAt = n.lastHead.at
	}
}

// recordStatement records a statement of another node, unless a later one is known.
func (n *Node) recordStatement(id NodeID, o observation) {
	if id == n.opts.ID {
		return
	}
	old, ok := n.statements[id]
	if !ok {
		n.statementOrder = append(n.statementOrder, id)
	}
	if !ok || o.at.After(old.at) {
		n.statements[id] = o
	}
}

// notifyChanged puts a value into the changed channel, unless it contains one.
func (n *Node) notifyChanged() {
	select {
	case n.changed <- struct{}{}:
	default:
	}
}
