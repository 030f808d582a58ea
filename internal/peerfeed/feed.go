package peerfeed

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/internal/members"
	"github.com/poplarshore/poplarshore/internal/watch"
)

var namespace = errorx.NewNamespace("peerfeed")

// ErrNoReader reports that the reader did not answer, or is none.
var ErrNoReader = namespace.NewType("no_reader", errorx.Temporary())

var (
	// errStale reports a reader that knows nothing fresh.
	errStale = ErrNoReader.NewSubtype("stale")
	// errPressed reports a wait that was ended as others ask this VM.
	errPressed = namespace.NewType("pressed")
)

// Feed is a watch.Source that reads from the region's reader, or from the store
// where there is none or this VM is it. It implements http.Handler for the
// other VMs.
type Feed struct {
	opts    Options
	store   watch.Source
	vms     *members.List
	http    *http.Client
	clock   clockwork.Clock
	log     *slog.Logger
	reads   *prometheus.CounterVec
	started time.Time

	mu      sync.Mutex
	tables  map[string]*history
	avoided map[avoidance]time.Time
	// failedAt is when the store last failed a read of a table, askedAt when
	// another VM last asked for it.
	failedAt, askedAt map[string]time.Time
	// waiting ends the wait of the poll of a table that is under way.
	waiting map[string]context.CancelFunc
}

// New returns a feed over the store.
func New(opts Options, source watch.Source, vms *members.List, clock clockwork.Clock, log *slog.Logger, registry prometheus.Registerer) *Feed {
	f := &Feed{
		opts: opts, store: source, vms: vms, clock: clock, log: log, started: clock.Now(),
		http:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}},
		tables: make(map[string]*history), avoided: make(map[avoidance]time.Time),
		failedAt: make(map[string]time.Time), askedAt: make(map[string]time.Time),
		waiting: make(map[string]context.CancelFunc),
		reads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "poplarshore_feed_reads_total", Help: "Reads of the store's tables, by where they went and outcome.",
		}, []string{"from", "outcome"}),
	}
	registry.MustRegister(f.reads)
	return f
}

func (f *Feed) history(table string) *history {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.tables[table]
	if h == nil {
		h = newHistory()
		f.tables[table] = h
	}
	return h
}

// List implements watch.Source. What a VM knows that is not fresh is taken only
// if the store does not answer: then nobody knows more.
func (f *Feed) List(ctx context.Context, table string) (watch.Batch, error) {
	h := f.history(table)
	if b, ok := f.listFromReader(ctx, table); ok {
		h.reset(b, unconfirmed)
		return b, nil
	}
	b, err := f.store.List(ctx, table)
	f.count("store", err)
	f.noteStore(table, err != nil)
	if err != nil {
		h.stale()
		old, err := f.listOld(ctx, table, err)
		if err == nil {
			h.reset(old, unconfirmed)
		}
		return old, err
	}
	// A listing may lag behind the store's changes, so that it is not passed on
	// before a poll has confirmed it.
	h.reset(b, unconfirmed)
	return b, nil
}

// listFromReader asks a seed or the reader for a table. A seed that started at
// the same time may not listen yet.
func (f *Feed) listFromReader(ctx context.Context, table string) (watch.Batch, bool) {
	p, ok := f.reader(table)
	if !ok {
		return watch.Batch{}, false
	}
	if f.starting() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, f.opts.SeedWait)
		defer cancel()
	}
	for {
		b, err := f.ask(ctx, p, query{table: table, after: wholeTable, wait: f.opts.FreshWait})
		f.count("reader", err)
		if err == nil {
			return b, true
		}
		if f.starting() {
			f.pause(ctx, f.opts.SeedAgain)
		}
		if !f.starting() || ctx.Err() != nil {
			f.avoid(p, table, err)
			return watch.Batch{}, false
		}
	}
}

// listOld asks the seeds for what they know of a table, be it old.
func (f *Feed) listOld(ctx context.Context, table string, cause error) (watch.Batch, error) {
	for _, s := range f.opts.Seeds {
		if s == f.opts.Self {
			continue
		}
		b, err := f.ask(ctx, peer{s, s}, query{table: table, after: wholeTable, old: true})
		f.count("seed_old", err)
		if err == nil {
			f.log.Warn("table taken from a VM that may be behind", "table", table, "from", s, "at", b.At, "error", cause)
			return b, nil
		}
	}
	return watch.Batch{}, cause
}

func (f *Feed) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-f.clock.After(d):
	}
}

// Changes implements watch.Source.
func (f *Feed) Changes(ctx context.Context, table string, after watch.Revision, wait time.Duration) (watch.Batch, error) {
	h := f.history(table)
	for range maxReaders {
		p, ok := f.reader(table)
		if !ok {
			break
		}
		h.stale()
		b, err := f.follow(ctx, p, table, after, min(wait, f.opts.FollowerWait))
		f.count("reader", err)
		switch {
		case err == nil:
			h.change(b, unconfirmed)
			return b, nil
		case errorx.IsOfType(err, watch.ErrHistoryGone):
			return b, err
		case errorx.IsOfType(err, errPressed):
			continue
		}
		f.avoid(p, table, err)
		if !errorx.IsOfType(err, errStale) {
			break
		}
		if f.leavesStoreAlone(table) {
			return watch.Batch{}, err
		}
	}
	return f.readStore(ctx, h, table, after, wait)
}

// maxReaders is the number of readers that one read asks.
const maxReaders = 2

// leavesStoreAlone tells that the store has just failed this VM and that another
// one would read it.
func (f *Feed) leavesStoreAlone(table string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeFailed(table)
}

// follow polls a reader, until others ask this VM itself.
func (f *Feed) follow(ctx context.Context, p peer, table string, after watch.Revision, wait time.Duration) (watch.Batch, error) {
	return f.interruptible(ctx, table, wait, func(ctx context.Context) (watch.Batch, error) {
		return f.ask(ctx, p, query{table: table, after: after, wait: wait})
	})
}

// readStore polls the store. Where others rely on this VM and it is not fresh,
// the first poll does not wait.
func (f *Feed) readStore(ctx context.Context, h *history, table string, after watch.Revision, wait time.Duration) (watch.Batch, error) {
	f.mu.Lock()
	shared := f.shares() || f.asked(table) || f.isSeed() && f.starting()
	f.mu.Unlock()
	if shared {
		wait = min(wait, f.opts.ReaderWait)
		if !h.fresh(f.clock.Now(), f.opts.MaxAge) {
			wait = 0
		}
	}
	b, err := f.interruptible(ctx, table, wait, func(ctx context.Context) (watch.Batch, error) {
		return f.store.Changes(ctx, table, after, wait)
	})
	if errorx.IsOfType(err, errPressed) {
		return f.readStore(ctx, h, table, after, wait)
	}
	f.count("store", err)
	gone := errorx.IsOfType(err, watch.ErrHistoryGone)
	f.noteStore(table, err != nil && !gone)
	if err != nil {
		h.stale()
		return b, err
	}
	h.change(b, f.clock.Now())
	return b, nil
}

// interruptible makes a poll whose wait press may end; then it returns errPressed.
func (f *Feed) interruptible(
	parent context.Context, table string, wait time.Duration, poll func(context.Context) (watch.Batch, error),
) (watch.Batch, error) {
	if wait == 0 {
		return poll(parent)
	}
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	f.mu.Lock()
	f.waiting[table] = func() { cancel(errPressed.New("table %s", table)) }
	f.mu.Unlock()
	b, err := poll(ctx)
	f.mu.Lock()
	delete(f.waiting, table)
	f.mu.Unlock()
	var pressed *errorx.Error
	if err != nil && parent.Err() == nil && errors.As(context.Cause(ctx), &pressed) {
		return watch.Batch{}, pressed
	}
	return b, err
}

func (f *Feed) count(from string, err error) {
	outcome := "ok"
	if err != nil {
		outcome = "failed"
		if e := errorx.Cast(err); e != nil {
			outcome = e.Type().FullName()
		}
	}
	f.reads.WithLabelValues(from, outcome).Inc()
}

var _ watch.Source = (*Feed)(nil)
