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

// Lease is a lease as the reconciler uses it.
type Lease interface {
	// Fence returns the fencing token of the lease term.
	Fence() uint64
	// Remaining returns the time until the lease ends, zero or less after its end.
	Remaining() time.Duration
	// Check returns an error once the lease has ended.
	Check() error
}

// Source provides the desired states of the engines to reconcile.
type Source interface {
	// Desired returns one entry per engine.
	Desired(ctx context.Context) ([]Desired, error)
}

// Fleet provides access to the engines.
type Fleet interface {
	// Engine returns the engine with the given ID.
	Engine(id upstream.ID) Engine
}

// Options configures a Reconciler. Source and Fleet are required.
type Options struct {
	Source Source
	Fleet  Fleet
	// Policy sets timeouts and rate limits of orders. Default DefaultPolicy().
	Policy Policy
	// Interval is the time between reconciliation rounds. Default 1 s.
	Interval time.Duration
	// ReadTimeout is the timeout for reading the state of one engine. Default 1 s.
	ReadTimeout time.Duration
	// MaxParallel is the maximum number of engines contacted at a time. Default 32.
	MaxParallel int
	// Clock is this VM's clock. Default is the system clock.
	Clock clockwork.Clock
	// Observer is notified of events. Default none.
	Observer Observer
}

// Defaults of Options.
const (
	defaultInterval    = time.Second
	defaultReadTimeout = time.Second
	defaultMaxParallel = 32
)

// Reconciler periodically brings engines to their desired state while this VM holds a
// lease. It is safe for concurrent use.
type Reconciler struct {
	opts Options

	mu       sync.Mutex
	statuses []Status
}

// NewReconciler returns a Reconciler. It returns ErrOptions if the source or the fleet is
// missing or a value is out of range.
func NewReconciler(opts Options) (*Reconciler, error) {
	opts = opts.withDefaults()
	if opts.Source == nil || opts.Fleet == nil {
		return nil, ErrOptions.New("source and fleet are required")
	}
	if opts.Interval < 0 || opts.ReadTimeout < 0 || opts.MaxParallel < 0 {
		return nil, ErrOptions.New("interval, read timeout and maximum parallelism must not be negative")
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
	if o.MaxParallel == 0 {
		o.MaxParallel = defaultMaxParallel
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Observer == nil {
		o.Observer = noObserver{}
	}
	return o
}

// Statuses returns the statuses of the engines as of the last round. It is empty while
// Run is not running.
func (r *Reconciler) Statuses() []Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Status(nil), r.statuses...)
}

// Run runs reconciliation rounds until ctx or the lease ends. It always returns nil; the
// error makes it usable as a job that runs under a lease.
func (r *Reconciler) Run(ctx context.Context, l Lease) error {
	t := newTermState(r, l)
	defer r.publish(nil)
	ticker := r.opts.Clock.NewTicker(r.opts.Interval)
	defer ticker.Stop()
	for l.Check() == nil {
		t.runRound(ctx)
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

// termState is the state of the reconciler during one lease term.
type termState struct {
	reconciler *Reconciler
	lease      Lease
	term       Term
	bucket     Bucket
	records    map[upstream.ID]Record
	// throttled reports that the weight store rejected a load in this round.
	throttled atomic.Bool
}

func newTermState(r *Reconciler, l Lease) *termState {
	return &termState{
		reconciler: r,
		lease:      l,
		term:       Term{Fence: l.Fence(), Since: r.opts.Clock.Now()},
		records:    make(map[upstream.ID]Record),
	}
}

// runRound reads the states, plans and sends the orders once.
func (t *termState) runRound(ctx context.Context) {
	opts := t.reconciler.opts
	desired, err := opts.Source.Desired(ctx)
	if err != nil {
		opts.Observer.OrderEvent(EventDesiredUnavailable)
		return
	}
	views := t.readAll(ctx, desired)
	decision := Plan(Input{
		Now:    opts.Clock.Now(),
		Term:   t.term,
		Policy: opts.Policy,
		Views:  views,
		Bucket: t.bucket,
	})
	t.bucket = decision.Bucket
	t.sendAll(ctx, decision.Orders)
	t.reconciler.publish(decision.Statuses)
	opts.Observer.OrderEvent(EventRound)
}

// readAll reads the states of all engines and drops the records of engines that are not
// in desired.
func (t *termState) readAll(ctx context.Context, desired []Desired) []View {
	views := make([]View, len(desired))
	var group errgroup.Group
	group.SetLimit(t.reconciler.opts.MaxParallel)
	for i, d := range desired {
		group.Go(func() error {
			views[i] = t.readEngine(ctx, d)
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

// readEngine reads the state of one engine. The view has no observation if the read
// fails.
func (t *termState) readEngine(ctx context.Context, d Desired) View {
	opts := t.reconciler.opts
	view := View{Desired: d, Record: t.records[d.Engine]}
	ctx, cancel := deadline.WithTimeout(ctx, opts.Clock, opts.ReadTimeout)
	defer cancel()
	started := opts.Clock.Now()
	state, err := opts.Fleet.Engine(d.Engine).State(ctx)
	if err != nil {
		opts.Observer.OrderEvent(EventReadFailed)
		return view
	}
	view.Observed = &Observation{State: state, ReadStarted: started}
	view.Record = view.Record.Observe(*view.Observed)
	return view
}

// sendAll sends the orders, at most MaxParallel at a time. If the weight store throttled
// a load, it empties the bucket.
func (t *termState) sendAll(ctx context.Context, orders []Order) {
	records := make([]Record, len(orders))
	var group errgroup.Group
	group.SetLimit(t.reconciler.opts.MaxParallel)
	for i, o := range orders {
		group.Go(func() error {
			records[i] = t.sendOrder(ctx, o)
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

// sendOrder sends one order if the lease is still held. The timeout does not exceed the
// remaining time of the lease.
func (t *termState) sendOrder(ctx context.Context, o Order) Record {
	opts, record := t.reconciler.opts, t.records[o.Engine]
	engine := opts.Fleet.Engine(o.Engine)
	remaining := t.lease.Remaining()
	if remaining <= 0 {
		opts.Observer.OrderEvent(EventLeaseEnded)
		return record
	}
	ctx, cancel := deadline.WithTimeout(ctx, opts.Clock, min(remaining, opts.Policy.OrderTimeout))
	defer cancel()
	sentAt := opts.Clock.Now()
	err := engine.Apply(ctx, o)
	opts.Observer.OrderEvent(eventOf(err))
	if errorx.IsOfType(err, ErrThrottled) {
		t.throttled.Store(true)
	}
	return record.AfterOrder(o, sentAt, opts.Clock.Now(), err, opts.Policy)
}

// eventOf returns the event for the result of Engine.Apply.
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
