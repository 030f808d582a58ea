package peerfeed

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/coord/lease"
	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/internal/members"
	"github.com/poplarshore/poplarshore/internal/watch"
	"github.com/poplarshore/poplarshore/vm"
)

var namespace = errorx.NewNamespace("peerfeed")

// ErrNoReader reports that the reader did not answer, or is none.
var ErrNoReader = namespace.NewType("no_reader", errorx.Temporary())

// errStale reports a reader that knows nothing fresh.
var errStale = ErrNoReader.NewSubtype("stale")

// Options configure a Feed.
type Options struct {
	VM     vm.ID
	Domain domain.ID
	// FromVMs is the number of VMs in a failure domain from which reads are shared.
	FromVMs int
	// MaxAge is how long a reader passes on what it knows after the store last
	// answered it.
	MaxAge time.Duration
	// ReaderWait is how long a reader's polls of the store wait, FollowerWait
	// how long those of the others.
	ReaderWait, FollowerWait time.Duration
	// Slack is how much longer a reader's answer may take.
	Slack time.Duration
	// StoreAgain is how long the store is left alone after it failed this VM,
	// while the reader knows nothing fresh either.
	StoreAgain time.Duration
	// Avoid is how long a reader that did not answer is left alone, AvoidStale
	// one that answered that it knows nothing fresh.
	Avoid, AvoidStale time.Duration
}

// DefaultOptions returns the default options.
func DefaultOptions() Options {
	return Options{
		FromVMs: 6, MaxAge: 2200 * time.Millisecond,
		ReaderWait: 1500 * time.Millisecond, FollowerWait: 1500 * time.Millisecond,
		Slack: 400 * time.Millisecond, StoreAgain: 1500 * time.Millisecond, Avoid: 10 * time.Second, AvoidStale: time.Second,
	}
}

// job names the choice of readers in package lease's ranking.
const job = "reader"

// Feed is a watch.Source that reads from the failure domain's reader, or from
// the store where there is none or this VM is it. It implements http.Handler
// for the other VMs.
type Feed struct {
	opts  Options
	store watch.Source
	vms   *members.List
	http  *http.Client
	clock clockwork.Clock
	log   *slog.Logger
	reads *prometheus.CounterVec

	mu      sync.Mutex
	tables  map[string]*history
	avoided map[avoidance]time.Time
	// failedAt is when the store last failed a read of a table.
	failedAt map[string]time.Time
}

// avoidance is a reader that is left alone for a table. A reader may know one
// table and not another.
type avoidance struct {
	reader vm.ID
	table  string
}

// New returns a feed over the store.
func New(opts Options, source watch.Source, vms *members.List, clock clockwork.Clock, log *slog.Logger, registry prometheus.Registerer) *Feed {
	f := &Feed{
		opts: opts, store: source, vms: vms, clock: clock, log: log,
		http:   &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 8}},
		tables: make(map[string]*history), avoided: make(map[avoidance]time.Time), failedAt: make(map[string]time.Time),
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

// reader returns the VM to read from; false means the store. The VMs of the
// failure domain rank each other alike, and leave out who did not answer.
func (f *Feed) reader(table string) (members.Member, bool) {
	near := f.vms.In(f.opts.Domain)
	if len(near)+1 < f.opts.FromVMs {
		return members.Member{}, false
	}
	ids := []string{string(f.opts.VM)}
	for _, m := range near {
		if !f.avoids(avoidance{m.ID, table}) {
			ids = append(ids, string(m.ID))
		}
	}
	for _, m := range near {
		if lease.IsCandidate(job, string(m.ID), ids, 1) {
			return m, true
		}
	}
	return members.Member{}, false
}

func (f *Feed) avoids(a avoidance) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.clock.Now().Before(f.avoided[a])
}

// storeFailed tells whether the store has just failed a read of the table.
func (f *Feed) storeFailed(table string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, failed := f.failedAt[table]
	return failed && f.clock.Since(at) < f.opts.StoreAgain
}

func (f *Feed) noteFailure(table string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failedAt[table] = f.clock.Now()
}

func (f *Feed) avoid(id vm.ID, table string, err error) {
	pause := f.opts.Avoid
	if errorx.IsOfType(err, errStale) {
		pause = f.opts.AvoidStale
	}
	f.mu.Lock()
	f.avoided[avoidance{id, table}] = f.clock.Now().Add(pause)
	f.mu.Unlock()
	f.log.Info("reader left alone", "reader", id, "table", table, "error", err)
}

// List implements watch.Source.
func (f *Feed) List(ctx context.Context, table string) (watch.Batch, error) {
	h := f.history(table)
	if m, ok := f.reader(table); ok {
		b, err := f.ask(ctx, m, table, -1, 0)
		f.count("reader", err)
		if err == nil {
			h.reset(b, time.Time{})
			return b, nil
		}
		f.avoid(m.ID, table, err)
	}
	b, err := f.store.List(ctx, table)
	f.count("store", err)
	if err != nil {
		h.stale()
		return b, err
	}
	// A listing may lag behind the store's changes, so that it is not passed on
	// before a poll has confirmed it.
	h.reset(b, time.Time{})
	return b, nil
}

// Changes implements watch.Source.
func (f *Feed) Changes(ctx context.Context, table string, after watch.Revision, wait time.Duration) (watch.Batch, error) {
	h := f.history(table)
	if m, ok := f.reader(table); ok {
		h.stale()
		b, err := f.ask(ctx, m, table, after, f.opts.FollowerWait)
		f.count("reader", err)
		if err == nil {
			h.change(b, time.Time{})
		}
		if err == nil || errorx.IsOfType(err, watch.ErrHistoryGone) {
			return b, err
		}
		if errorx.IsOfType(err, errStale) && f.storeFailed(table) {
			return watch.Batch{}, err
		}
		f.avoid(m.ID, table, err)
	}
	if len(f.vms.In(f.opts.Domain))+1 >= f.opts.FromVMs {
		wait = min(wait, f.opts.ReaderWait)
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, wait+f.opts.Slack)
		defer cancel()
	}
	b, err := f.store.Changes(ctx, table, after, wait)
	f.count("store", err)
	if err != nil && !errorx.IsOfType(err, watch.ErrHistoryGone) {
		f.noteFailure(table)
	}
	if err != nil {
		h.stale()
		return b, err
	}
	h.change(b, f.clock.Now())
	return b, nil
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

// Path is the path under which a VM passes on what it read.
const Path = "GET /feed/{table}"

// ask polls a reader. A negative revision asks for the whole table.
func (f *Feed) ask(ctx context.Context, m members.Member, table string, after watch.Revision, wait time.Duration) (watch.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+f.opts.Slack)
	defer cancel()
	target := "http://" + m.Feed.String() + "/feed/" + table + "?after=" + strconv.FormatInt(int64(after), 10) +
		"&wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return watch.Batch{}, ErrNoReader.Wrap(err, "request")
	}
	resp, err := f.http.Do(req)
	if err != nil {
		return watch.Batch{}, ErrNoReader.Wrap(err, "reader %s", m.ID)
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusGone:
		return watch.Batch{}, watch.ErrHistoryGone.New("reader %s, after %d", m.ID, after)
	case http.StatusServiceUnavailable:
		return watch.Batch{}, errStale.New("reader %s", m.ID)
	default:
		return watch.Batch{}, ErrNoReader.New("reader %s: status %d", m.ID, resp.StatusCode)
	}
	var b watch.Batch
	if err := json.NewDecoder(resp.Body).Decode(&b); err != nil {
		return watch.Batch{}, ErrNoReader.Wrap(err, "reader %s", m.ID)
	}
	return b, nil
}

// ServeHTTP implements http.Handler for Path.
func (f *Feed) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, waitErr := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	if err != nil || waitErr != nil {
		http.Error(w, "after and wait_ms must be whole numbers", http.StatusBadRequest)
		return
	}
	h := f.history(r.PathValue("table"))
	a := h.poll(r.Context(), f.clock, watch.Revision(after), time.Duration(wait)*time.Millisecond, f.opts.MaxAge)
	switch {
	case a.freshFor <= 0:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case !a.known:
		w.WriteHeader(http.StatusGone)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(a.batch); err != nil {
		f.log.Debug("follower left", "error", err)
	}
}

var _ watch.Source = (*Feed)(nil)
