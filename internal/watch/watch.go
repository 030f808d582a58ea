package watch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("watch")

// ErrHistoryGone reports that the changes since a revision are no longer kept, so
// that the table has to be listed again.
var ErrHistoryGone = namespace.NewType("history_gone")

// Era counts how often the store was restored from an older copy. A restore loses the
// newest transactions, and their revisions are assigned again. Revisions can therefore be
// compared only within an era.
type Era int64

// Revision is the number of a transaction of the store, in ascending order within an era.
type Revision int64

// Cursor is a position in the history of the store.
type Cursor struct {
	Era      Era
	Revision Revision
}

// Before reports whether c is an earlier position than o. A later era is a later position
// whatever the revisions.
func (c Cursor) Before(o Cursor) bool {
	if c.Era != o.Era {
		return c.Era < o.Era
	}
	return c.Revision < o.Revision
}

// Row is one row of a table as of a revision.
type Row struct {
	Key   string
	Value []byte
	// Revision is the revision of the row's last change.
	Revision Revision
	// Deleted reports that the row was deleted.
	Deleted bool
}

// Batch is the result of a read of a table: all rows, or the changed ones.
type Batch struct {
	Rows []Row
	// At is the revision up to which the batch includes all changes.
	At Revision
	// Era is the era of At and of the rows' revisions.
	Era Era `json:",omitzero"`
	// StoreUp is how long, at least, the store has answered its readers without interruption;
	// zero if unknown.
	StoreUp time.Duration `json:"-"`
	// ConfirmedAt is when the store confirmed that there are no changes after At, however many VMs passed that on;
	// zero if unknown.
	ConfirmedAt time.Time `json:"-"`
	// ReceivedAt is when the response with the batch had arrived at this VM; zero if unknown.
	ReceivedAt time.Time `json:"-"`
}

// Cursor returns the position up to which the batch includes all changes.
func (b Batch) Cursor() Cursor { return Cursor{Era: b.Era, Revision: b.At} }

// Source is a store whose tables can be followed.
type Source interface {
	// List returns all rows of a table. Errors: ErrUnavailable and ErrInvalid of
	// package coord/store.
	List(ctx context.Context, table string) (Batch, error)
	// Changes returns the rows changed after a position as soon as there is one,
	// or no rows once the wait has passed. The position must be of the store's
	// current era. Errors: ErrHistoryGone, also if the store was restored since;
	// ErrUnavailable and ErrInvalid of package coord/store.
	Changes(ctx context.Context, table string, after Cursor, wait time.Duration) (Batch, error)
}

// Sink receives the rows of a watched table and the state of the store. A Watch
// calls its methods from one goroutine.
type Sink interface {
	// Reset replaces all rows by those of a listing.
	Reset(b Batch)
	// Change applies changed rows.
	Change(b Batch)
	// StoreUnavailable reports that a read of the store failed. It is called once per
	// outage.
	StoreUnavailable(err error)
	// StoreAvailable reports that the store answers again after an outage.
	StoreAvailable(o Outage)
}

// Outage is a time in which a VM could not read the store.
type Outage struct {
	// Duration is the time from the first failed read to the end.
	Duration time.Duration
	// Local reports that the store answered other VMs all the while: only this VM did not
	// reach it. Nothing expired in the store because of the outage.
	Local bool
}

// Options are the timing options of a Watch.
type Options struct {
	// Wait is how long a poll waits for changes.
	Wait time.Duration
	// Slack is how much longer than its wait a complete response may take.
	Slack time.Duration
	// ListTimeout is the timeout of a listing. It is long, because a large table takes
	// long to transfer over a narrow link; the source notices silent connections itself.
	ListTimeout time.Duration
	// OutageWait replaces Wait during an outage: a poll whose request was lost is
	// never answered, so short polls notice sooner that the store is available.
	OutageWait time.Duration
	// BatchDelay is the pause after a batch of changes, in which further changes
	// gather for the next one. 0 is no pause.
	BatchDelay time.Duration
	// MinBackoff and MaxBackoff bound the pause after a failed read.
	// MaxInitialBackoff is the upper bound until the first listing.
	MinBackoff        time.Duration
	MaxBackoff        time.Duration
	MaxInitialBackoff time.Duration
}

// DefaultOptions returns the default options, without a pause after changes.
func DefaultOptions() Options {
	return Options{
		Wait: 5500 * time.Millisecond, OutageWait: 200 * time.Millisecond, Slack: 4 * time.Second,
		ListTimeout: 30 * time.Second,
		MinBackoff:  100 * time.Millisecond, MaxBackoff: 1200 * time.Millisecond,
		MaxInitialBackoff: 300 * time.Millisecond,
	}
}

// Watch follows one table and delivers its rows to a sink.
type Watch struct {
	source Source
	table  string
	sink   Sink
	clock  clockwork.Clock
	log    *slog.Logger
	opts   Options

	cursor           Cursor
	listed           bool
	backoff          time.Duration
	unavailableSince time.Time
	// lastReadAt is when the last read succeeded; nil before the first.
	lastReadAt atomic.Pointer[time.Time]
	// confirmedAt is the latest ConfirmedAt of the batches that the sink has received; nil before the first.
	confirmedAt atomic.Pointer[time.Time]
}

// New returns a watch of a table of the source. Run starts it.
func New(source Source, table string, sink Sink, clock clockwork.Clock, log *slog.Logger, opts Options) *Watch {
	return &Watch{source: source, table: table, sink: sink, clock: clock, log: log, opts: opts}
}

// Table returns the name of the table.
func (w *Watch) Table() string { return w.table }

// Age returns the time since the last successful read, and false before the first one. It is safe
// for concurrent use.
func (w *Watch) Age() (time.Duration, bool) {
	at := w.lastReadAt.Load()
	if at == nil {
		return 0, false
	}
	return w.clock.Since(*at), true
}

// CopyAge returns the time since the store confirmed the rows that the sink has, directly or through other VMs, and false
// while that is unknown. It is safe for concurrent use.
func (w *Watch) CopyAge() (time.Duration, bool) {
	at := w.confirmedAt.Load()
	if at == nil {
		return 0, false
	}
	return w.clock.Since(*at), true
}

// recordConfirmation records when the store confirmed the rows that the sink has received.
func (w *Watch) recordConfirmation(b Batch) {
	at := w.confirmedAt.Load()
	if b.ConfirmedAt.IsZero() || at != nil && b.ConfirmedAt.Before(*at) {
		return
	}
	w.confirmedAt.Store(&b.ConfirmedAt)
}

// Run follows the table until ctx ends.
func (w *Watch) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := w.readOnce(ctx); err != nil && ctx.Err() == nil {
			w.handleFailure(ctx, err)
		}
	}
}

// readOnce lists the table or polls it once, and delivers the result to the sink.
func (w *Watch) readOnce(parent context.Context) error {
	if !w.listed {
		return w.list(parent)
	}
	wait := w.opts.Wait
	if !w.unavailableSince.IsZero() {
		wait = w.opts.OutageWait
	}
	ctx, cancel := context.WithTimeout(parent, wait+w.opts.Slack)
	defer cancel()
	b, err := w.source.Changes(ctx, w.table, w.cursor, wait)
	if errorx.IsOfType(err, ErrHistoryGone) {
		w.log.Info("changes since the last known revision no longer kept, listing the table again", "table", w.table,
			"after", w.cursor.Revision, "era", w.cursor.Era)
		w.listed = false
		return nil
	}
	if err != nil {
		return err
	}
	w.markAvailable(b)
	if b.Cursor().Before(w.cursor) {
		w.log.Warn("ignored changes older than the known revision", "table", w.table, "at", b.At, "era", b.Era,
			"known", w.cursor.Revision, "known_era", w.cursor.Era)
		return nil
	}
	w.cursor = b.Cursor()
	if len(b.Rows) == 0 {
		w.recordConfirmation(b)
		return nil
	}
	w.sink.Change(b)
	w.recordConfirmation(b)
	w.sleep(parent, w.opts.BatchDelay)
	return nil
}

// sleep waits until d has passed or ctx ends.
func (w *Watch) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-w.clock.After(d):
	}
}

// errStale reports a listing that is older than the known revision.
var errStale = namespace.NewType("stale")

// list replaces the rows of the sink by a listing of the table.
func (w *Watch) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, w.opts.ListTimeout)
	defer cancel()
	b, err := w.source.List(ctx, w.table)
	if err != nil {
		return err
	}
	if b.Cursor().Before(w.cursor) {
		return errStale.New("listing at revision %d of era %d is older than known revision %d of era %d",
			b.At, b.Era, w.cursor.Revision, w.cursor.Era)
	}
	w.markAvailable(b)
	if w.cursor != (Cursor{}) && b.Era > w.cursor.Era {
		w.log.Warn("store was restored from an older copy", "table", w.table, "era", b.Era, "at", b.At,
			"known_era", w.cursor.Era, "known", w.cursor.Revision)
	}
	w.cursor, w.listed = b.Cursor(), true
	w.sink.Reset(b)
	w.recordConfirmation(b)
	return nil
}

// handleFailure notifies the sink of the start of an outage and waits with
// exponential backoff and jitter before the next read.
func (w *Watch) handleFailure(ctx context.Context, err error) {
	if w.unavailableSince.IsZero() {
		w.unavailableSince = w.clock.Now()
		w.log.Warn("store unavailable, keeping the last known rows", "table", w.table, "at", w.cursor.Revision, "error", err)
		w.sink.StoreUnavailable(err)
	}
	maxBackoff := w.opts.MaxBackoff
	if w.cursor == (Cursor{}) {
		maxBackoff = w.opts.MaxInitialBackoff
	}
	w.backoff = min(max(2*w.backoff, w.opts.MinBackoff), maxBackoff)
	w.sleep(ctx, w.backoff/2+rand.N(w.backoff/2))
}

// markAvailable resets the backoff after a successful read, and notifies the sink
// of the end of an outage.
func (w *Watch) markAvailable(b Batch) {
	w.backoff = 0
	now := w.clock.Now()
	previous := w.lastReadAt.Swap(&now)
	if w.unavailableSince.IsZero() {
		return
	}
	outage := Outage{
		Duration: now.Sub(w.unavailableSince),
		// The outage may have begun before its first failed read.
		Local: previous != nil && b.StoreUp >= now.Sub(*previous),
	}
	w.unavailableSince = time.Time{}
	w.log.Info("store available again", "table", w.table, "at", w.cursor.Revision, "away_ms", outage.Duration.Milliseconds(),
		"local", outage.Local)
	w.sink.StoreAvailable(outage)
}
