package peerfeed

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/coord/store"
	"github.com/poplarshore/poplarshore/internal/fetch"
	"github.com/poplarshore/poplarshore/internal/members"
	"github.com/poplarshore/poplarshore/internal/transport"
	"github.com/poplarshore/poplarshore/internal/watch"
)

var namespace = errorx.NewNamespace("peerfeed")

// ErrNoReader reports that a reader didn't respond, or not with usable data.
var ErrNoReader = namespace.NewType("no_reader", errorx.Temporary())

var (
	// errStale reports a reader whose data is not fresh.
	errStale = ErrNoReader.NewSubtype("stale")
	// errPeerConnectionLost reports a poll without an answer over a connection that had been used before, or on which it
	// waited. The connection may have been lost while the reader answers new ones.
	errPeerConnectionLost = ErrNoReader.NewSubtype("connection_lost")
	// errInterrupted reports a poll that was interrupted because another VM
	// polled this one as the reader.
	errInterrupted = namespace.NewType("pressed")
)

// Store is the store whose tables a Feed reads.
type Store interface {
	watch.Source
	// CloseIdleConnections closes the unused connections for reads of a table.
	CloseIdleConnections(table string)
}

// Feed is a watch.Source that reads from the region's reader, or from the store
// if there is none or this VM is the reader. It implements http.Handler for the
// polls of other VMs. Each table is read by one goroutine; different tables and
// the handler can be used concurrently.
type Feed struct {
	opts  Options
	store Store
	vms   *members.List
	http  *http.Client
	// timeouts are those of polls of other VMs, by address.
	timeouts *fetch.Timeouts
	clock    clockwork.Clock
	log      *slog.Logger
	reads    *prometheus.CounterVec
	// hedgeCount counts the hedges by table and outcome.
	hedgeCount *prometheus.CounterVec
	started    time.Time

	mu sync.Mutex
	// histories are this VM's copies of the tables, by table.
	histories map[string]*history
	// backoffs are the times in which a peer is not selected for a table.
	backoffs map[backoffKey]backoff
	// storeFailedAt is when this VM's last read of a table from the store failed;
	// polledAt is when another VM last polled this one for the table.
	storeFailedAt, polledAt map[string]time.Time
	// cancelWait interrupts the poll of a table that is waiting for changes.
	cancelWait map[string]context.CancelFunc
	// hedges are the states of hedges, by table.
	hedges map[string]hedgeState
}

// New returns a feed of the store's tables. It registers its metrics in the
// registry.
func New(opts Options, source Store, vms *members.List, clock clockwork.Clock, log *slog.Logger,
	registry prometheus.Registerer) *Feed {
	f := &Feed{
		opts: opts, store: source, vms: vms, clock: clock, log: log, started: clock.Now(),
		http:      &http.Client{Transport: transport.Checked(newTransport(opts.Dial, opts.DialTimeout))},
		timeouts:  fetch.NewTimeouts(opts.Slack, opts.MaxSlack),
		histories: make(map[string]*history), backoffs: make(map[backoffKey]backoff),
		storeFailedAt: make(map[string]time.Time), polledAt: make(map[string]time.Time),
		cancelWait: make(map[string]context.CancelFunc), hedges: make(map[string]hedgeState),
		reads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "poplarshore_feed_reads_total", Help: "Reads of the store's tables, by where they went and outcome.",
		}, []string{"from", "outcome"}),
		hedgeCount: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "poplarshore_feed_hedges_total", Help: "Hedges of polls, by table and whether a source had newer data.",
		}, []string{"table", "outcome"}),
	}
	registry.MustRegister(f.reads, f.hedgeCount)
	return f
}

// newTransport returns the transport for polls of other VMs. It opens connections by dial, or if that is nil by package
// net.
func newTransport(dial DialFunc, timeout time.Duration) *http.Transport {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	dialInTime := func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return dial(ctx, network, address)
	}
	return &http.Transport{
		DialContext: dialInTime, MaxIdleConnsPerHost: 8, MaxResponseHeaderBytes: transport.MaxResponseHeaderBytes,
	}
}

// CloseIdleConnections closes the unused connections to other VMs.
func (f *Feed) CloseIdleConnections() { f.http.CloseIdleConnections() }

// maxGapFactor times Options.MaxAge is the longest time between two confirmations by the store that
// is no interruption of it. It is longer than a poll and the pause before the next one.
const maxGapFactor = 2

// history returns the history of a table. It creates an empty one if needed.
func (f *Feed) history(table string) *history {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.histories[table]
	if h == nil {
		h = newHistory(maxGapFactor * f.opts.MaxAge)
		f.histories[table] = h
	}
	return h
}

// List implements watch.Source. A listing that replaces an earlier copy is hedged like a poll. The first one is a seed's copy
// that may be stale if the store doesn't answer, as there is no newer copy to be had then.
func (f *Feed) List(ctx context.Context, table string) (watch.Batch, error) {
	h := f.history(table)
	read := f.listFirst
	if h.isListed() && !f.inStartup() {
		read = f.listHedged
	}
	b, err := read(ctx, h, table)
	if err == nil {
		// A listing may be older than the store's latest changes.
		h.reset(b, f.clock.Now())
	}
	return b, err
}

// listFirst lists a table of which there is no copy yet, or during startup.
func (f *Feed) listFirst(ctx context.Context, h *history, table string) (watch.Batch, error) {
	b, err := f.listOnce(ctx, h, table)
	if err != nil {
		return f.listStaleFromSeeds(ctx, table, err)
	}
	return b, nil
}

// listHedged lists a table and hedges that by the age of the copy.
func (f *Feed) listHedged(ctx context.Context, h *history, table string) (watch.Batch, error) {
	return f.pollHedged(ctx, h, table, fullTable, func(ctx context.Context) (watch.Batch, error) {
		return f.listOnce(ctx, h, table)
	})
}

// listOnce lists a table from a reader, or else from the store.
func (f *Feed) listOnce(ctx context.Context, h *history, table string) (watch.Batch, error) {
	if b, ok := f.listFromReader(ctx, table); ok {
		return b, nil
	}
	b, err := f.listFromStore(ctx, table)
	if err != nil && wasOutrun(ctx) {
		return b, err
	}
	f.recordStoreRead(table, err != nil)
	if err != nil {
		h.markStale()
	}
	return b, err
}

// listFromStore lists a table from the store, over a new connection if the first one was lost.
func (f *Feed) listFromStore(ctx context.Context, table string) (watch.Batch, error) {
	b, err := f.store.List(ctx, table)
	f.countRead("store", err)
	if !errorx.IsOfType(err, store.ErrConnectionLost) || ctx.Err() != nil {
		return b, err
	}
	f.store.CloseIdleConnections(table)
	b, err = f.store.List(ctx, table)
	f.countRead("store", err)
	return b, err
}

// listFromReader lists a table from the region's reader, or during startup from a
// seed; false means that it got no listing.
func (f *Feed) listFromReader(ctx context.Context, table string) (watch.Batch, bool) {
	if f.inStartup() {
		return f.listFromSeeds(ctx, table)
	}
	p, ok := f.selectReader(table)
	if !ok {
		return watch.Batch{}, false
	}
	b, err := f.pollPeer(ctx, p, query{table: table, after: fullTable, wait: f.opts.FreshWait})
	f.countRead("reader", err)
	switch {
	case err != nil && wasOutrun(ctx):
		f.startBackoff(p, table, errStale.Wrap(err, "reader %s", p.name))
	case err != nil:
		f.startBackoff(p, table, err)
	}
	return b, err == nil
}

// listFromSeeds lists a table from the seeds, one after the other, until one answers or
// SeedTimeout has passed. The seeds may have started at the same time and not listen
// yet, and all VMs that start would otherwise list the table from the store.
func (f *Feed) listFromSeeds(ctx context.Context, table string) (watch.Batch, bool) {
	ctx, cancel := context.WithTimeout(ctx, f.opts.SeedTimeout)
	defer cancel()
	for {
		f.mu.Lock()
		seeds := f.rankSeeds(table)
		f.mu.Unlock()
		if len(seeds) == 0 {
			return watch.Batch{}, false
		}
		for _, p := range seeds {
			b, err := f.pollPeer(ctx, p, query{table: table, after: fullTable, wait: f.opts.FreshWait})
			f.countRead("seed", err)
			if err == nil {
				return b, true
			}
			f.sleep(ctx, f.opts.SeedRetryDelay)
			if ctx.Err() != nil {
				f.startBackoff(p, table, err)
				return watch.Batch{}, false
			}
		}
	}
}

// listStaleFromSeeds lists a table from the first seed that has a copy, which may
// be stale. It returns cause if no seed has one.
func (f *Feed) listStaleFromSeeds(ctx context.Context, table string, cause error) (watch.Batch, error) {
	for _, s := range f.opts.Seeds {
		if s == f.opts.Self {
			continue
		}
		b, err := f.pollPeer(ctx, peer{name: s, address: s}, query{table: table, after: fullTable, allowStale: true})
		f.countRead("seed_old", err)
		if err == nil {
			f.log.Warn("store unavailable, using a seed's copy of the table that may be stale", "table", table,
				"from", s, "at", b.At, "error", cause)
			return b, nil
		}
	}
	return watch.Batch{}, cause
}

// sleep waits until d has passed or ctx ends.
func (f *Feed) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-f.clock.After(d):
	}
}

// Changes implements watch.Source. It polls up to maxReadersPerPoll readers and
// then the store, and hedges these polls. While the store is in backoff and no VM has newer data, it returns
// ErrNoReader.
func (f *Feed) Changes(ctx context.Context, table string, after watch.Cursor,
	wait time.Duration) (watch.Batch, error) {
	h := f.history(table)
	return f.pollHedged(ctx, h, table, after, func(ctx context.Context) (watch.Batch, error) {
		return f.pollOnce(ctx, h, table, after, wait)
	})
}

// pollOnce polls readers, and then the store.
func (f *Feed) pollOnce(ctx context.Context, h *history, table string, after watch.Cursor,
	wait time.Duration) (watch.Batch, error) {
	var failed error
	for range maxReadersPerPoll {
		p, ok := f.selectReader(table)
		if !ok {
			break
		}
		if !p.passesOn {
			h.markStale()
		}
		b, confirmedAt, err := f.pollReader(ctx, p, table, after, min(wait, f.opts.FollowerPollWait))
		f.countRead("reader", err)
		switch {
		case err == nil:
			h.apply(b, confirmedAt)
			return b, nil
		case errorx.IsOfType(err, watch.ErrHistoryGone):
			return b, err
		case errorx.IsOfType(err, errInterrupted):
			continue
		case wasOutrun(ctx):
			// The reader may only be behind, as one that says so.
			f.startBackoff(p, table, errStale.Wrap(err, "reader %s", p.name))
			return b, err
		}
		f.startBackoff(p, table, err)
		failed = err
		if p.passesOn || !errorx.IsOfType(err, errStale) {
			break
		}
	}
	if failed != nil && f.storeInBackoff(table) {
		return watch.Batch{}, failed
	}
	if f.readersInBackoff(table) && f.storeInBackoff(table) {
		return watch.Batch{}, ErrNoReader.New("all readers of table %s and the store failed recently", table)
	}
	return f.pollStore(ctx, h, table, after, wait)
}

// maxReadersPerPoll is the number of readers that one call of Changes polls before
// it reads the store.
const maxReadersPerPoll = 2

// storeInBackoff reports whether this VM's last read of the table from the store
// failed so recently that it doesn't try again yet.
func (f *Feed) storeInBackoff(table string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeFailedRecently(table)
}

// pollReader polls a reader. It returns errInterrupted if another VM polls this
// one meanwhile. The time is when the store confirmed the batch if this VM serves it to
// others, or unconfirmed.
func (f *Feed) pollReader(ctx context.Context, p peer, table string, after watch.Cursor,
	wait time.Duration) (watch.Batch, time.Time, error) {
	if f.history(table).isUnconfirmed() {
		wait = min(wait, f.opts.FreshWait)
	}
	q := query{table: table, after: after, wait: wait, renew: true, spread: f.opts.RenewSpread}
	if p.passesOn {
		q.spread = 0
	}
	b, err := f.pollInterruptible(ctx, table, wait, func(ctx context.Context) (watch.Batch, error) {
		return f.pollPeer(ctx, p, q)
	})
	if err != nil || !p.passesOn {
		return b, unconfirmed, err
	}
	return b, b.ConfirmedAt, nil
}

// pollStore polls the store. If other VMs rely on this one and its data is not
// fresh, the poll doesn't wait for changes.
func (f *Feed) pollStore(ctx context.Context, h *history, table string, after watch.Cursor,
	wait time.Duration) (watch.Batch, error) {
	f.mu.Lock()
	shared := f.sharesReads() || f.polledRecently(table) || f.isSeed() && f.inStartup()
	f.mu.Unlock()
	wait = min(wait, f.opts.ReaderPollWait)
	if shared && !h.isFresh(f.clock.Now(), f.opts.MaxAge) || h.isUnconfirmed() {
		wait = 0
	}
	b, err := f.pollInterruptible(ctx, table, wait, func(ctx context.Context) (watch.Batch, error) {
		return f.store.Changes(ctx, table, after, wait)
	})
	if errorx.IsOfType(err, errInterrupted) {
		return f.pollStore(ctx, h, table, after, wait)
	}
	f.countRead("store", err)
	if errorx.IsOfType(err, store.ErrConnectionLost) {
		return f.pollStoreAnew(ctx, h, table, after, err)
	}
	if wasOutrun(ctx) && h.isFresh(f.clock.Now(), f.opts.MaxAge) {
		// The store answered the hedge: only this poll was lost.
		return b, err
	}
	return f.recordPollOfStore(h, table, b, err)
}

// pollStoreAnew polls the store over a new connection, without waiting for changes, after a poll whose connection was
// lost. Only this one tells whether the store answers.
func (f *Feed) pollStoreAnew(ctx context.Context, h *history, table string, after watch.Cursor, lost error) (watch.Batch, error) {
	f.store.CloseIdleConnections(table)
	if ctx.Err() != nil {
		return watch.Batch{}, lost
	}
	b, err := f.store.Changes(ctx, table, after, 0)
	f.countRead("store", err)
	return f.recordPollOfStore(h, table, b, err)
}

// recordPollOfStore records the result of a poll of the store, and returns it.
func (f *Feed) recordPollOfStore(h *history, table string, b watch.Batch, err error) (watch.Batch, error) {
	historyGone := errorx.IsOfType(err, watch.ErrHistoryGone)
	f.recordStoreRead(table, err != nil && !historyGone)
	if err != nil {
		h.markStale()
		return b, err
	}
	b.ConfirmedAt = f.clock.Now()
	h.apply(b, b.ConfirmedAt)
	return b, nil
}

// pollInterruptible makes a poll that recordPoll can interrupt while it waits for
// changes; then it returns errInterrupted.
func (f *Feed) pollInterruptible(
	parent context.Context, table string, wait time.Duration, poll func(context.Context) (watch.Batch, error),
) (watch.Batch, error) {
	if wait == 0 {
		return poll(parent)
	}
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	f.mu.Lock()
	f.cancelWait[table] = func() { cancel(errInterrupted.New("poll of table %s interrupted by another VM's poll", table)) }
	f.mu.Unlock()
	b, err := poll(ctx)
	f.mu.Lock()
	delete(f.cancelWait, table)
	f.mu.Unlock()
	var interrupted *errorx.Error
	if err != nil && parent.Err() == nil && errors.As(context.Cause(ctx), &interrupted) {
		return watch.Batch{}, interrupted
	}
	return b, err
}

// countRead counts a read by its origin and its outcome: "ok", or the type of the
// error.
func (f *Feed) countRead(from string, err error) {
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
