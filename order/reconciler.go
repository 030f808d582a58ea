package order

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"
	"golang.org/x/sync/errgroup"

	"github.com/poplarshore/poplarshore/coord/store/deadline"
	"github.com/poplarshore/poplarshore/upstream"
)

// Lease is the part of a lease that the reconciler needs.
type Lease interface {
	// Fence returns the fencing token of the term.
	Fence() uint64
	// Remaining returns how long the holder may still act.
	Remaining() time.Duration
	// Check returns an error once the lease has ended.
	Check() error
}

// Source gives the desired states of the engines that this job looks after.
type Source interface {
	// Desired returns one entry per engine.
	Desired(ctx context.Context) ([]Desired, error)
}

// Fleet gives access to the engines.
type Fleet interface {
	// Engine returns the engine of that name.
	Engine(id upstream.ID) Engine
}

// Options sets up a Reconciler. Source and Fleet are required.
type Options struct {
	Source Source
	Fleet  Fleet
	// Policy bounds the orders. Default DefaultPolicy().
	Policy Policy
	// Interval is the time between rounds. Default 1 s.
	Interval time.Duration
	// ReadTimeout bounds the reading of one state. Default 1 s.
	ReadTimeout time.Duration
	// Parallel is the most engines spoken to at once. Default 32.
	Parallel int
	// Clock is this VM's clock. Default the machine's clock.
	Clock clockwork.Clock
	// Observer is told of events. Default none.
	Observer Observer
}

const (
	defaultInterval    = time.Second
	defaultReadTimeout = time.Second
	defaultParallel    = 32
)

// Reconciler is the duty that brings engines to their desired state.
type Reconciler struct {
	opts Options

	mu       sync.Mutex
	statuses []Status
}

// NewReconciler returns a reconciler. Errors: ErrOptions.
func NewReconciler(opts Options) (*Reconciler, error) {
	opts = opts.withDefaults()
	if opts.Source == nil || opts.Fleet == nil {
		return nil, ErrOptions.New("a reconciler needs a source and a fleet")
	}
	if opts.Interval < 0 || opts.ReadTimeout < 0 || opts.Parallel < 0 {
		return nil, ErrOptions.New("interval, read timeout and parallel have to be positive")
	}
	if err := opts.Policy.validate(); err != nil {
		return nil, err
	}
	return &Reconciler{opts: opts}, nil
}

func (o Options) withDefaults() Options {
	if o.Policy == (Policy{}) {
		o.Policy = DefaultPolicy()
	}
	if o.Interval == 0 {
		o.Interval = defaultInterval
	}
	if o.ReadTimeout == 0 {
		o.ReadTimeout = defaultReadTimeout
	}
	if o.Parallel == 0 {
		o.Parallel = defaultParallel
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Observer == nil {
		o.Observer = noObserver{}
	}
	return o
}

// Statuses returns how the engines stood at the end of the last round, empty
// while this VM does not hold the job.
func (r *Reconciler) Statuses() []Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Status(nil), r.statuses...)
}

// Run runs rounds until ctx or the lease ends, and returns nil. It is the work
// of a job under a lease.
func (r *Reconciler) Run(ctx context.Context, l Lease) error {
	t := newTerm(r, l)
	defer r.publish(nil)
	ticker := r.opts.Clock.NewTicker(r.opts.Interval)
	defer ticker.Stop()
	for l.Check() == nil {
		t.round(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
	}
	return nil
}

func (r *Reconciler) publish(statuses []Status) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.statuses = statuses
}

// term is the memory of one term as the holder.
type term struct {
	r       *Reconciler
	lease   Lease
	term    Term
	bucket  Bucket
	records map[upstream.ID]Record
	// throttled tells that the weight store refused a load in this round.
	throttled atomic.Bool
}

func newTerm(r *Reconciler, l Lease) *term {
	return &term{
		r:       r,
		lease:   l,
		term:    Term{Fence: l.Fence(), Since: r.opts.Clock.Now()},
		records: make(map[upstream.ID]Record),
	}
}

// round reads, decides and sends once.
func (t *term) round(ctx context.Context) {
	opts := t.r.opts
	desired, err := opts.Source.Desired(ctx)
	if err != nil {
		opts.Observer.OrderEvent(EventNoDesired)
		return
	}
	views := t.read(ctx, desired)
	decision := Plan(Input{
		Now:    opts.Clock.Now(),
		Term:   t.term,
		Policy: opts.Policy,
		Views:  views,
		Bucket: t.bucket,
	})
	t.bucket = decision.Bucket
	t.send(ctx, decision.Orders)
	t.r.publish(decision.Statuses)
	opts.Observer.OrderEvent(EventRound)
}

// read reads the states of all engines and forgets engines no longer desired.
func (t *term) read(ctx context.Context, desired []Desired) []View {
	views := make([]View, len(desired))
	var group errgroup.Group
	group.SetLimit(t.r.opts.Parallel)
	for i, d := range desired {
		group.Go(func() error {
			views[i] = t.view(ctx, d)
			return nil
		})
	}
	_ = group.Wait()
	records := make(map[upstream.ID]Record, len(views))
	for _, view := range views {
		records[view.Desired.Engine] = view.Record
	}
	t.records = records
	return views
}

// view reads the state of one engine.
func (t *term) view(ctx context.Context, d Desired) View {
	opts := t.r.opts
	view := View{Desired: d, Record: t.records[d.Engine]}
	ctx, cancel := deadline.WithTimeout(ctx, opts.Clock, opts.ReadTimeout)
	defer cancel()
	began := opts.Clock.Now()
	state, err := opts.Fleet.Engine(d.Engine).State(ctx)
	if err != nil {
		opts.Observer.OrderEvent(EventUnread)
		return view
	}
	view.Observed = &Observation{State: state, Began: began}
	view.Record = view.Record.Observe(*view.Observed)
	return view
}

// send sends the orders, a bounded number at once.
func (t *term) send(ctx context.Context, orders []Order) {
	records := make([]Record, len(orders))
	var group errgroup.Group
	group.SetLimit(t.r.opts.Parallel)
	for i, o := range orders {
		group.Go(func() error {
			records[i] = t.apply(ctx, o)
			return nil
		})
	}
	_ = group.Wait()
	for i, o := range orders {
		t.records[o.Engine] = records[i]
	}
	if t.throttled.Swap(false) {
		t.bucket.Tokens = 0
	}
}

// apply sends one order if the lease is still held, and not beyond its end.
func (t *term) apply(ctx context.Context, o Order) Record {
	opts, record := t.r.opts, t.records[o.Engine]
	engine := opts.Fleet.Engine(o.Engine)
	left := t.lease.Remaining()
	if left <= 0 {
		opts.Observer.OrderEvent(EventNotHeld)
		return record
	}
	ctx, cancel := deadline.WithTimeout(ctx, opts.Clock, min(left, opts.Policy.OrderTimeout))
	defer cancel()
	sent := opts.Clock.Now()
	err := engine.Apply(ctx, o)
	opts.Observer.OrderEvent(eventOf(err))
	if errorx.IsOfType(err, ErrThrottled) {
		t.throttled.Store(true)
	}
	return record.After(o, sent, opts.Clock.Now(), err, opts.Policy)
}

func eventOf(err error) Event {
	switch {
	case err == nil:
		return EventSent
	case errorx.IsOfType(err, ErrFenced):
		return EventFenced
	case errorx.IsOfType(err, ErrRefused):
		return EventRefused
	case errorx.IsOfType(err, ErrThrottled):
		return EventThrottled
	default:
		return EventUnknown
	}
}
