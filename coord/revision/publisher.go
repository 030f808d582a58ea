package revision

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/coord/store"
)

const (
	defaultAttempts = 8
	defaultBackoff  = 50 * time.Millisecond
	maxBackoff      = 2 * time.Second
)

// Accepted is the outcome of a proposal that moved the head.
type Accepted struct {
	Revision Revision
	// Repeated reports that an earlier call with the same operation id had
	// already been accepted.
	Repeated bool
}

// Announcer hands a newly accepted revision to peers before the proposer
// learns of its acceptance.
type Announcer interface {
	// Announce blocks until some peers have been told or cannot be.
	Announce(ctx context.Context)
}

// PublisherOptions configures a Publisher. Table and Objects are required.
type PublisherOptions struct {
	Table   store.Table
	Objects store.Objects
	// Prefix is put before every key.
	Prefix string
	// Node, if set, withholds its statements while a proposal is open and
	// installs what is accepted.
	Node *Node
	// Announcer, if set, is called between the commit and the return.
	Announcer Announcer
	// Attempts bounds the tries of one store operation. Default 8.
	Attempts int
	// Backoff is the first delay between tries; it doubles. Default 50 ms.
	Backoff  time.Duration
	Clock    clockwork.Clock
	Rand     *rand.Rand
	Observer Observer
}

func (o PublisherOptions) withDefaults() PublisherOptions {
	if o.Attempts <= 0 {
		o.Attempts = defaultAttempts
	}
	if o.Backoff <= 0 {
		o.Backoff = defaultBackoff
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Observer == nil {
		o.Observer = NopObserver{}
	}
	return o
}

// Publisher moves the head row. It is safe for concurrent use if Rand is nil
// or not shared.
type Publisher struct {
	opts PublisherOptions
}

// NewPublisher returns a publisher.
func NewPublisher(opts PublisherOptions) *Publisher {
	return &Publisher{opts: opts.withDefaults()}
}

// Propose makes body the revision after base. The operation id identifies the
// proposal: repeating the call with the same id returns the first outcome.
//
// Errors: ErrConflict, ErrUnavailable and ErrInvalid mean that this call did not
// move the head; ErrUnknown means that it may have.
func (p *Publisher) Propose(ctx context.Context, base uint64, body []byte, opID, author string) (Accepted, error) {
	if opID == "" {
		return Accepted{}, ErrInvalid.New("empty operation id")
	}
	next := Revision{
		Number: base + 1,
		Hash:   HashOf(body),
		OpID:   opID,
		Author: author,
		Time:   p.opts.Clock.Now().UTC(),
	}
	accepted, err := p.propose(ctx, next, body)
	p.opts.Observer.Observe(outcome(err))
	return accepted, err
}

func (p *Publisher) propose(ctx context.Context, next Revision, body []byte) (Accepted, error) {
	if p.opts.Node != nil {
		p.opts.Node.beginProposal()
	}
	var accepted Accepted
	err := p.storeBody(ctx, next.Hash, body)
	if err == nil {
		accepted, err = p.commit(ctx, next)
	}
	if p.opts.Node != nil {
		if err == nil {
			p.opts.Node.Install(accepted.Revision, body)
		}
		p.opts.Node.endProposal(errorx.IsOfType(err, ErrUnknown))
	}
	if err == nil && p.opts.Announcer != nil {
		p.opts.Announcer.Announce(ctx)
	}
	return accepted, err
}

// storeBody creates the content object. A body without a head is invisible, so
// every failure is ErrUnavailable.
func (p *Publisher) storeBody(ctx context.Context, hash Hash, body []byte) error {
	var err error
	for attempt := range p.opts.Attempts {
		err = p.opts.Objects.Create(ctx, bodyKey(p.opts.Prefix, hash), body)
		if err == nil || errorx.IsOfType(err, store.ErrExists) {
			return nil
		}
		if !p.pause(ctx, attempt) {
			break
		}
	}
	return ErrUnavailable.Wrap(err, "body %s", hash)
}

// commit moves the head to next. Each try first reads the head, so that a
// write whose reply was lost is found by its operation id.
func (p *Publisher) commit(ctx context.Context, next Revision) (Accepted, error) {
	uncertain := false
	var err error
	for attempt := range p.opts.Attempts {
		var accepted Accepted
		var done bool
		accepted, done, err = p.try(ctx, next, &uncertain)
		if done {
			return accepted, err
		}
		if !p.pause(ctx, attempt) {
			break
		}
	}
	if uncertain {
		return Accepted{}, ErrUnknown.Wrap(err, "revision %d", next.Number)
	}
	return Accepted{}, ErrUnavailable.Wrap(err, "revision %d", next.Number)
}

// try makes one read and, if the head is still at the base, one write. It sets
// uncertain once a write may have taken effect, and reports whether the
// outcome is settled.
func (p *Publisher) try(ctx context.Context, next Revision, uncertain *bool) (Accepted, bool, error) {
	head, version, err := readHead(ctx, p.opts.Table, headKey(p.opts.Prefix))
	if err != nil {
		return Accepted{}, errorx.IsOfType(err, ErrCorrupt) && !*uncertain, err
	}
	if found, ok := head.find(next.OpID); ok {
		return repeated(found, next, *uncertain)
	}
	if head.Number != next.Number-1 {
		return Accepted{}, true, overtaken(head, next)
	}
	err = writeHead(ctx, p.opts.Table, headKey(p.opts.Prefix), head.successor(next), version)
	if err == nil {
		return Accepted{Revision: next}, true, nil
	}
	if errorx.IsOfType(err, store.ErrInvalid) {
		return Accepted{}, !*uncertain, err
	}
	if !errorx.IsOfType(err, store.ErrUnavailable) {
		// A refusal, too, may answer the second copy of a write that took effect.
		*uncertain = true
	}
	return Accepted{}, false, err
}

func repeated(found, next Revision, own bool) (Accepted, bool, error) {
	if found.Hash != next.Hash {
		return Accepted{}, true, ErrInvalid.New("operation id %q was used for revision %d", next.OpID, found.Number)
	}
	return Accepted{Revision: found, Repeated: !own}, true, nil
}

// overtaken tells a proposal that certainly lost from one whose operation id
// may have left the row.
func overtaken(head Head, next Revision) error {
	base := next.Number - 1
	if head.Number > base && !head.covers(base) {
		return ErrUnknown.New("head %d no longer lists the operations after revision %d", head.Number, base)
	}
	return ErrConflict.New("head is at revision %d, not at %d", head.Number, base).
		WithProperty(conflictProperty, head.Revision)
}

// pause waits before the next try; it reports false if there is none.
func (p *Publisher) pause(ctx context.Context, attempt int) bool {
	if attempt+1 >= p.opts.Attempts || ctx.Err() != nil {
		return false
	}
	p.opts.Observer.Observe(EventProposeRetry)
	delay := min(p.opts.Backoff<<attempt, maxBackoff)
	if p.opts.Rand != nil {
		delay = delay/2 + time.Duration(p.opts.Rand.Int64N(int64(delay/2)+1))
	}
	select {
	case <-ctx.Done():
		return false
	case <-p.opts.Clock.After(delay):
		return true
	}
}

func outcome(err error) Event {
	switch {
	case err == nil:
		return EventAccepted
	case errorx.IsOfType(err, ErrConflict):
		return EventConflict
	case errorx.IsOfType(err, ErrUnknown):
		return EventUnknown
	default:
		return EventUnavailable
	}
}
