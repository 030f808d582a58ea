package watch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("watch")

// ErrHistoryGone reports that the changes since a revision are no longer kept.
var ErrHistoryGone = namespace.NewType("history_gone")

// Revision counts the store's transactions.
type Revision int64

// Row is one row of a table as of a revision.
type Row struct {
	Key   string
	Value []byte
	// Revision is that of the row's last change.
	Revision Revision
	// Deleted tells that the row is gone.
	Deleted bool
}

// Batch is what a read of a table brought.
type Batch struct {
	Rows []Row
	// At is the revision up to which the rows are complete.
	At Revision
}

// Source is a store whose tables can be followed.
type Source interface {
	// List returns all rows of a table. Errors: coord/store's ErrUnavailable
	// and ErrInvalid.
	List(ctx context.Context, table string) (Batch, error)
	// Changes returns the rows changed after a revision, as soon as there is
	// one, or none after the wait. Errors: ErrHistoryGone, coord/store's
	// ErrUnavailable and ErrInvalid.
	Changes(ctx context.Context, table string, after Revision, wait time.Duration) (Batch, error)
}

// Sink takes what a watch learns. Its methods are called from one goroutine.
type Sink interface {
	// Reset replaces all that was known by a listing.
	Reset(b Batch)
	// Change takes in changed rows.
	Change(b Batch)
	// Lost tells that the store no longer answers.
	Lost(err error)
	// Regained tells that it answers again, after Lost.
	Regained(away time.Duration)
}

// Options bound a watch.
type Options struct {
	// Wait is how long one poll waits for changes.
	Wait time.Duration
	// Slack is how much longer than Wait an answer may take as a whole.
	Slack time.Duration
	// LostWait stands for Wait until the store answers again, as a poll that was
	// swallowed in an outage is never answered.
	LostWait time.Duration
	// Settle is the pause after changes, so that more of them come at once.
	Settle time.Duration
	// MinBackoff and MaxBackoff bound the pause after a failure, FirstBackoff
	// that before the first listing.
	MinBackoff   time.Duration
	MaxBackoff   time.Duration
	FirstBackoff time.Duration
}

// DefaultOptions returns the default options.
func DefaultOptions() Options {
	return Options{
		Wait: 5500 * time.Millisecond, LostWait: 200 * time.Millisecond, Slack: 4 * time.Second,
		MinBackoff: 100 * time.Millisecond, MaxBackoff: 1200 * time.Millisecond,
		FirstBackoff: 300 * time.Millisecond,
	}
}

// Watch follows one table.
type Watch struct {
	source Source
	table  string
	sink   Sink
	clock  clockwork.Clock
	log    *slog.Logger
	opts   Options

	at      Revision
	listed  bool
	backoff time.Duration
	lostAt  time.Time
}

// New returns a watch of a table.
func New(source Source, table string, sink Sink, clock clockwork.Clock, log *slog.Logger, opts Options) *Watch {
	return &Watch{source: source, table: table, sink: sink, clock: clock, log: log, opts: opts}
}

// Run follows the table until ctx ends.
func (w *Watch) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := w.step(ctx); err != nil && ctx.Err() == nil {
			w.failed(ctx, err)
		}
	}
}

// step makes one read.
func (w *Watch) step(parent context.Context) error {
	if !w.listed {
		return w.list(parent)
	}
	wait := w.opts.Wait
	if !w.lostAt.IsZero() {
		wait = w.opts.LostWait
	}
	ctx, cancel := context.WithTimeout(parent, wait+w.opts.Slack)
	defer cancel()
	b, err := w.source.Changes(ctx, w.table, w.at, wait)
	if errorx.IsOfType(err, ErrHistoryGone) {
		w.log.Info("history gone, listing again", "table", w.table, "after", w.at)
		w.listed = false
		return nil
	}
	if err != nil {
		return err
	}
	w.answered()
	if b.At < w.at {
		w.log.Warn("older changes passed over", "table", w.table, "at", b.At, "known", w.at)
		return nil
	}
	w.at = b.At
	if len(b.Rows) > 0 {
		w.sink.Change(b)
		w.pause(parent, w.opts.Settle)
	}
	return nil
}

func (w *Watch) pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-w.clock.After(d):
	}
}

// errStale reports a listing that is older than what was seen before.
var errStale = namespace.NewType("stale")

func (w *Watch) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, w.opts.Slack)
	defer cancel()
	b, err := w.source.List(ctx, w.table)
	if err != nil {
		return err
	}
	if b.At < w.at {
		return errStale.New("listing at %d, known %d", b.At, w.at)
	}
	w.answered()
	w.at, w.listed = b.At, true
	w.sink.Reset(b)
	return nil
}

// failed tells the sink once and waits.
func (w *Watch) failed(ctx context.Context, err error) {
	if w.lostAt.IsZero() {
		w.lostAt = w.clock.Now()
		w.log.Warn("store lost", "table", w.table, "at", w.at, "error", err)
		w.sink.Lost(err)
	}
	limit := w.opts.MaxBackoff
	if w.at == 0 {
		limit = w.opts.FirstBackoff
	}
	w.backoff = min(max(2*w.backoff, w.opts.MinBackoff), limit)
	w.pause(ctx, w.backoff/2+rand.N(w.backoff/2))
}

func (w *Watch) answered() {
	w.backoff = 0
	if w.lostAt.IsZero() {
		return
	}
	away := w.clock.Since(w.lostAt)
	w.lostAt = time.Time{}
	w.log.Info("store regained", "table", w.table, "at", w.at, "away_ms", away.Milliseconds())
	w.sink.Regained(away)
}
