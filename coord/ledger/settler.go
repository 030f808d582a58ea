package ledger

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/coord/store"
)

const (
	defaultBucket     = 5 * time.Minute
	defaultRetain     = 24 * time.Hour
	defaultBatchBytes = 4 << 20
	defaultPage       = 200
	defaultShards     = 4
	casAttempts       = 8
)

// SettlerOptions configures a Settler. Table and Objects are required.
type SettlerOptions struct {
	Table   store.Table
	Objects store.Objects
	Prefix  string
	// Fence is the fencing token of the lease under which the settler runs.
	Fence uint64
	// Bucket is the length of a time bucket, whole seconds. Default 5 min. It
	// and Shards must stay the same for as long as any bucket row exists.
	Bucket time.Duration
	// Shards divides a bucket so that each row stays below the table's limit.
	// A row takes about 22 bytes per request. Default 4.
	Shards int
	// Retain is how long request ids are remembered, by Entry.Time. Entries
	// that come later are set aside. Default 24 h.
	Retain time.Duration
	// BatchBytes bounds the segments folded at once. Default 4 MiB.
	BatchBytes int
	// Page bounds one listing. Default 200 keys.
	Page     int
	Clock    clockwork.Clock
	Observer Observer
}

func (o SettlerOptions) withDefaults() SettlerOptions {
	o.Bucket = defaultTo(o.Bucket, defaultBucket)
	o.Retain = defaultTo(o.Retain, defaultRetain)
	o.BatchBytes = defaultTo(o.BatchBytes, defaultBatchBytes)
	o.Page = defaultTo(o.Page, defaultPage)
	o.Shards = defaultTo(o.Shards, defaultShards)
	o.Bucket = max(o.Bucket.Truncate(time.Second), time.Second)
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Observer == nil {
		o.Observer = NopObserver{}
	}
	return o
}

// Settler folds segments into totals. Every step may be repeated and may run
// beside another settler's. One Settler is used by one goroutine at a time.
type Settler struct {
	opts SettlerOptions
}

// NewSettler returns a settler.
func NewSettler(opts SettlerOptions) *Settler {
	return &Settler{opts: opts.withDefaults()}
}

// Report tells what one pass did.
type Report struct {
	Segments   int // folded and reclaimed
	Requests   int // counted for the first time
	Duplicates int // counted before
	Late       int // set aside, as their bucket is no longer remembered
	Corrupt    int // segments left in place, unreadable
	Gaps       int // sequence numbers newly found missing
}

// loaded is a segment in memory.
type loaded struct {
	key     string
	bytes   int
	segment segment
	replay  bool // folded by an earlier pass
}

// Pass folds and reclaims every segment that the store lists. After an error the
// next pass goes on where this one stopped.
//
// Errors: ErrUnavailable, ErrFenced, ErrContended, ErrCorrupt for a row.
func (s *Settler) Pass(ctx context.Context) (Report, error) {
	var report Report
	if _, err := s.raiseMark(ctx, 0); err != nil {
		return report, s.observed(err)
	}
	after := ""
	for {
		keys, err := s.opts.Objects.List(ctx, segmentsPrefix(s.opts.Prefix), after, s.opts.Page)
		if err != nil {
			return report, ErrUnavailable.Wrap(err, "listing")
		}
		if len(keys) == 0 {
			return report, nil
		}
		if err := s.settle(ctx, keys, &report); err != nil {
			return report, s.observed(err)
		}
		after = keys[len(keys)-1]
	}
}

// observed counts the end of this settler's term, and returns err.
func (s *Settler) observed(err error) error {
	if errorx.IsOfType(err, ErrFenced) {
		s.opts.Observer.Observe(EventFenced, 1)
	}
	return err
}

// settle works through one page in batches of bounded size.
func (s *Settler) settle(ctx context.Context, keys []string, report *Report) error {
	var batch []loaded
	bytes := 0
	for _, key := range keys {
		l, ok, err := s.load(ctx, key, report)
		if err != nil {
			return err
		}
		if !ok {
			continue
		}
		batch = append(batch, l)
		if bytes += l.bytes; bytes >= s.opts.BatchBytes {
			if err := s.settleBatch(ctx, batch, report); err != nil {
				return err
			}
			batch, bytes = nil, 0
		}
	}
	return s.settleBatch(ctx, batch, report)
}

// load reads one segment. It reports false for one that is gone or unreadable.
func (s *Settler) load(ctx context.Context, key string, report *Report) (loaded, bool, error) {
	body, err := s.opts.Objects.Get(ctx, key)
	if errorx.IsOfType(err, store.ErrNotFound) {
		return loaded{}, false, nil
	}
	if err != nil {
		return loaded{}, false, ErrUnavailable.Wrap(err, "segment %q", key)
	}
	seg, err := open(s.opts.Prefix, key, body)
	if err != nil {
		report.Corrupt++
		s.opts.Observer.Observe(EventCorrupt, 1)
		return loaded{}, false, nil
	}
	return loaded{key: key, bytes: len(body), segment: seg}, true, nil
}

// settleBatch counts, then marks, then reclaims. A crash between any two steps
// leaves the segments to be counted again, to no effect.
func (s *Settler) settleBatch(ctx context.Context, batch []loaded, report *Report) error {
	if len(batch) == 0 {
		return nil
	}
	if err := s.markReplays(ctx, batch); err != nil {
		return err
	}
	if err := s.fold(ctx, batch, report); err != nil {
		return err
	}
	if err := s.advance(ctx, batch, report); err != nil {
		return err
	}
	return s.reclaim(ctx, batch, report)
}

func (s *Settler) reclaim(ctx context.Context, batch []loaded, report *Report) error {
	for _, l := range batch {
		if err := s.opts.Objects.Delete(ctx, l.key); err != nil {
			return ErrUnavailable.Wrap(err, "reclaiming %q", l.key)
		}
		report.Segments++
		s.opts.Observer.Observe(EventReclaimed, 1)
	}
	return nil
}
