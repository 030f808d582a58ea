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
	defaultMaxAttempts    = 8
	defaultInitialBackoff = 50 * time.Millisecond
	maxBackoff            = 2 * time.Second
)

// Accepted is the outcome of a proposal that was accepted.
type Accepted struct {
	// Revision is the accepted revision.
	Revision Revision
	// Repeated reports that an earlier call with the same operation id had
	// already been accepted, and that this call changed nothing.
	Repeated bool
}

// Announcer passes a newly accepted revision on to peers before Publisher.Propose
// returns. Syncer implements it.
type Announcer interface {
	// Announce returns after some peers have received the revision that is
	// installed on the node, or could not be reached.
	Announce(ctx context.Context)
}

// PublisherOptions configures a Publisher. Table and Objects are required.
type PublisherOptions struct {
	// Table contains the head row.
	Table store.Table
	// Objects contains the bodies.
	Objects store.Objects
	// Prefix is the prefix of all keys. It must be the same as in the
	// SyncerOptions of all nodes.
	Prefix string
	// Node, if set, is the node of this process. It withholds its statement
	// while a proposal is open, and Propose calls its Install with the accepted
	// revision. Propose succeeds even if that installation fails.
	Node *Node
	// Announcer, if set, is called after a revision was accepted and before
	// Propose returns.
	Announcer Announcer
	// MaxAttempts is the maximum number of attempts for each of the two store
	// operations: to store the body, and to move the head. Default 8.
	MaxAttempts int
	// InitialBackoff is the delay after the first attempt. It doubles with each
	// further attempt, up to 2 s. Default 50 ms.
	InitialBackoff time.Duration
	// Clock is the source of time. Default is the system clock.
	Clock clockwork.Clock
	// Rand, if set, adds jitter: each delay is then drawn between half of and
	// the full backoff.
	Rand *rand.Rand
	// Observer receives the publisher's events. Default NopObserver.
	Observer Observer
}

func (o PublisherOptions) withDefaults() PublisherOptions {
	if o.MaxAttempts <= 0 {
		o.MaxAttempts = defaultMaxAttempts
	}
	if o.InitialBackoff <= 0 {
		o.InitialBackoff = defaultInitialBackoff
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Observer == nil {
		o.Observer = NopObserver{}
	}
	return o
}

// Publisher accepts documents as new revisions. It is safe for concurrent use if
// PublisherOptions.Rand is nil or itself safe for concurrent use. Create it with
// NewPublisher.
type Publisher struct {
	opts PublisherOptions
}

// NewPublisher returns a publisher with the options.
func NewPublisher(opts PublisherOptions) *Publisher {
	return &Publisher{opts: opts.withDefaults()}
}

// Propose makes body the revision that follows base, where base is the number of the
// newest revision, or 0 if there is none. It is accepted only if base is still at the
// head. The operation id identifies the proposal and must not be empty: a call that
// repeats an accepted proposal with the same id returns the accepted revision, with
// Accepted.Repeated set. The caller must not change body afterwards.
//
// Propose retries failed store operations up to PublisherOptions.MaxAttempts, until
// ctx ends. Errors: ErrConflict, ErrUnavailable, ErrInvalid and ErrCorrupt (unreadable
// head row) mean that this call did not move the head. ErrUnknown means that it may
// have; repeat the call with the same arguments to get the outcome. If the store rejects
// the head row as invalid, its error of type store.ErrInvalid is returned unchanged.
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
	p.opts.Observer.Observe(outcomeEvent(err))
	return accepted, err
}

// propose stores the body, moves the head, installs the accepted revision on the node
// and announces it.
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

// storeBody creates the object of the body. Every failure is ErrUnavailable, also an
// unknown outcome, because a body has no effect before the head row names it.
func (p *Publisher) storeBody(ctx context.Context, hash Hash, body []byte) error {
	var err error
	for attempt := range p.opts.MaxAttempts {
		err = p.opts.Objects.Create(ctx, bodyKey(p.opts.Prefix, hash), body)
		if err == nil || errorx.IsOfType(err, store.ErrExists) {
			return nil
		}
		if !p.waitBeforeRetry(ctx, attempt) {
			break
		}
	}
	return ErrUnavailable.Wrap(err, "body %s", hash)
}

// commit moves the head to next. Each attempt reads the head first, so that a write
// whose reply was lost is found by its operation id.
func (p *Publisher) commit(ctx context.Context, next Revision) (Accepted, error) {
	uncertain := false
	var err error
	for attempt := range p.opts.MaxAttempts {
		var accepted Accepted
		var done bool
		accepted, done, err = p.attemptCommit(ctx, next, &uncertain)
		if done {
			return accepted, err
		}
		if !p.waitBeforeRetry(ctx, attempt) {
			break
		}
	}
	if uncertain {
		return Accepted{}, ErrUnknown.Wrap(err, "revision %d", next.Number)
	}
	return Accepted{}, ErrUnavailable.Wrap(err, "revision %d", next.Number)
}

// attemptCommit reads the head row once and, if it is still at the base, writes it
// once. It sets uncertain when a write may have taken effect. The boolean result
// reports whether the outcome is final, so that no further attempt is needed.
func (p *Publisher) attemptCommit(ctx context.Context, next Revision, uncertain *bool) (Accepted, bool, error) {
	head, version, err := readHead(ctx, p.opts.Table, headKey(p.opts.Prefix))
	if err != nil {
		return Accepted{}, errorx.IsOfType(err, ErrCorrupt) && !*uncertain, err
	}
	if found, ok := head.findOperation(next.OpID); ok {
		return repeatedOutcome(found, next, *uncertain)
	}
	if head.Number != next.Number-1 {
		return Accepted{}, true, headMovedError(head, next)
	}
	err = writeHead(ctx, p.opts.Table, headKey(p.opts.Prefix), head.successor(next), version)
	if err == nil {
		return Accepted{Revision: next}, true, nil
	}
	if errorx.IsOfType(err, store.ErrInvalid) {
		return Accepted{}, !*uncertain, err
	}
	if !errorx.IsOfType(err, store.ErrUnavailable) {
		// Even a rejection doesn't prove that nothing was written: if the request was
		// delivered twice, it may be the reply to the second copy.
		*uncertain = true
	}
	return Accepted{}, false, err
}

// repeatedOutcome returns the outcome of a proposal whose operation id is listed in
// the head row. If uncertain, the listed revision may have been written by this call.
func repeatedOutcome(found, next Revision, uncertain bool) (Accepted, bool, error) {
	if found.Hash != next.Hash {
		return Accepted{}, true, ErrInvalid.New("operation id %q was used for revision %d", next.OpID, found.Number)
	}
	return Accepted{Revision: found, Repeated: !uncertain}, true, nil
}

// headMovedError returns ErrConflict for a proposal that was certainly not accepted,
// and ErrUnknown if the head row may no longer list its operation id.
func headMovedError(head Head, next Revision) error {
	base := next.Number - 1
	if head.Number > base && !head.listsAllAfter(base) {
		return ErrUnknown.New("head %d no longer lists the operations after revision %d", head.Number, base)
	}
	return ErrConflict.New("head is at revision %d, not at %d", head.Number, base).
		WithProperty(conflictProperty, head.Revision)
}

// waitBeforeRetry waits for the backoff after the attempt, counted from 0. It returns
// false if no attempt is left or ctx ended.
func (p *Publisher) waitBeforeRetry(ctx context.Context, attempt int) bool {
	if attempt+1 >= p.opts.MaxAttempts || ctx.Err() != nil {
		return false
	}
	p.opts.Observer.Observe(EventProposeRetry)
	delay := min(p.opts.InitialBackoff<<attempt, maxBackoff)
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

// outcomeEvent returns the event for the result of a proposal.
func outcomeEvent(err error) Event {
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
