package ledger

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/coord/store"
)

// Defaults of SettlerOptions, and the bound of the attempts to update one row.
const (
	defaultBucketDuration = 5 * time.Minute
	defaultRetention      = 24 * time.Hour
	defaultBatchBytes     = 4 << 20
	defaultPageSize       = 200
	defaultShards         = 4
	maxCASAttempts        = 8 // attempts to read and update a row before ErrContended
)

// SettlerOptions configures a Settler. Table and Objects are required.
type SettlerOptions struct {
	Table   store.Table
	Objects store.Objects
	// Prefix must be the prefix of the writers. It is put before every key in Table and Objects.
	Prefix string
	// Fence is the fencing token of the lease under which the settler runs. Every row that the
	// settler writes records it, and rows with a higher token make the settler fail with ErrFenced.
	// A settler that only calls Totals and Incarnations needs none.
	Fence uint64
	// BucketDuration is the length of a time bucket, truncated to whole seconds. Default 5 min. It
	// and Shards must not change while any bucket row exists, in any settler of the ledger:
	// duplicates are looked for in the rows that these two determine.
	BucketDuration time.Duration
	// Shards is the number of rows per account and bucket. Choose it so that each row stays below
	// the table's size limit: a row takes about 22 bytes per request. Default 4.
	Shards int
	// Retention is how long request IDs are remembered, by Entry.Time. Entries that arrive later than
	// that are not counted but stored for an operator, under the key prefix "late/". It must exceed
	// the longest time in which an entry may be repeated or its segment delayed. Default 24 h.
	Retention time.Duration
	// BatchBytes is the total size of the segments at which a batch is folded. Default 4 MiB.
	BatchBytes int
	// PageSize is the maximal number of keys or rows per listing. Default 200.
	PageSize int
	// Clock defaults to the real clock.
	Clock clockwork.Clock
	// Observer defaults to NopObserver.
	Observer Observer
}

func (o SettlerOptions) withDefaults() SettlerOptions {
	o.BucketDuration = orDefault(o.BucketDuration, defaultBucketDuration)
	o.Retention = orDefault(o.Retention, defaultRetention)
	o.BatchBytes = orDefault(o.BatchBytes, defaultBatchBytes)
	o.PageSize = orDefault(o.PageSize, defaultPageSize)
	o.Shards = orDefault(o.Shards, defaultShards)
	o.BucketDuration = max(o.BucketDuration.Truncate(time.Second), time.Second)
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Observer == nil {
		o.Observer = NopObserver{}
	}
	return o
}

// Settler adds the entries of segments to the totals of their accounts. Every step is idempotent and
// safe beside another Settler, in this or another process: request IDs still count once. One
// Settler must be used by one goroutine at a time, except for Totals and Incarnations.
type Settler struct {
	opts SettlerOptions
}

// NewSettler returns a settler. It does nothing until its methods are called.
func NewSettler(opts SettlerOptions) *Settler {
	return &Settler{opts: opts.withDefaults()}
}

// Report counts what one call of Settler.Settle did.
type Report struct {
	Segments        int // segments settled and deleted, replays included
	Requests        int // entries counted for the first time
	Duplicates      int // entries whose request ID had been counted before
	Late            int // entries stored for an operator, because their bucket is closed
	CorruptSegments int // segments that can't be decoded, left in the store
	MissingSegments int // sequence numbers newly found missing
	Unreadable      int // entries stored for an operator, because they can't be decoded or are invalid
	HeldBack        int // segments left in the store, because a row that they need can't be decoded
}

// loadedSegment is a decoded segment with the key and the size of its object.
type loadedSegment struct {
	key     string
	bytes   int
	segment segment
	replay  bool // folded by an earlier pass
}

// Settle settles every segment that the object store lists: it counts the entries, records the
// sequence numbers and deletes the segment. Segments that can't be decoded, or that need a row that
// can't be, are reported and left in place, and the others are settled. After an error, the report holds what was done before it, and the next call continues from
// there.
//
// Errors: ErrUnavailable if the store failed; ErrFenced if a settler with a higher fencing token has
// written, after which the caller must stop settling; ErrContended if a row changed during every
// attempt; ErrCorrupt if a row cannot be decoded, at the end of the pass; ErrInvalid if the table rejects a row,
// for example because it exceeds the size limit.
func (s *Settler) Settle(ctx context.Context) (Report, error) {
	var report Report
	if _, err := s.raiseWatermark(ctx, 0); err != nil {
		return report, s.observeFenced(err)
	}
	var held heldBack
	after := ""
	for {
		keys, err := s.opts.Objects.List(ctx, segmentsPrefix(s.opts.Prefix), after, s.opts.PageSize)
		if err != nil {
			return report, ErrUnavailable.Wrap(err, "list segments")
		}
		if len(keys) == 0 {
			report.HeldBack = len(held.keys)
			return report, held.err
		}
		if err := s.settlePage(ctx, keys, &report, &held); err != nil {
			return report, s.observeFenced(err)
		}
		after = keys[len(keys)-1]
	}
}

// observeFenced counts EventFenced if err is ErrFenced, and returns err.
func (s *Settler) observeFenced(err error) error {
	if errorx.IsOfType(err, ErrFenced) {
		s.opts.Observer.Observe(EventFenced, 1)
	}
	return err
}

// settlePage settles the segments of one page of keys, in batches of about BatchBytes.
func (s *Settler) settlePage(ctx context.Context, keys []string, report *Report, held *heldBack) error {
	var batch []loadedSegment
	bytes := 0
	for _, key := range keys {
		l, ok, err := s.loadSegment(ctx, key, report)
		if err != nil {
			return err
		}
		if !ok {
			continue
		}
		batch = append(batch, l)
		if bytes += l.bytes; bytes >= s.opts.BatchBytes {
			if err := s.settleBatch(ctx, batch, report, held); err != nil {
				return err
			}
			batch, bytes = nil, 0
		}
	}
	return s.settleBatch(ctx, batch, report, held)
}

// loadSegment reads one segment. It reports false for a segment that another settler has deleted or
// that cannot be decoded.
func (s *Settler) loadSegment(ctx context.Context, key string, report *Report) (loadedSegment, bool, error) {
	body, err := s.opts.Objects.Get(ctx, key)
	if errorx.IsOfType(err, store.ErrNotFound) {
		return loadedSegment{}, false, nil
	}
	if err != nil {
		return loadedSegment{}, false, ErrUnavailable.Wrap(err, "read segment %q", key)
	}
	seg, err := decodeSegment(s.opts.Prefix, key, body)
	if err != nil {
		report.CorruptSegments++
		s.opts.Observer.Observe(EventCorrupt, 1)
		return loadedSegment{}, false, nil
	}
	return loadedSegment{key: key, bytes: len(body), segment: seg}, true, nil
}

// settleBatch adds the entries to the bucket rows, then records the sequence numbers, then deletes
// the segments. After a crash between two steps the remaining segments are settled again, without
// effect on the totals.
func (s *Settler) settleBatch(ctx context.Context, batch []loadedSegment, report *Report, held *heldBack) error {
	if len(batch) == 0 {
		return nil
	}
	if err := s.markReplays(ctx, batch, held); err != nil {
		return err
	}
	batch = held.others(batch)
	if err := s.fold(ctx, batch, report, held); err != nil {
		return err
	}
	batch = held.others(batch)
	if err := s.updateIncarnations(ctx, batch, report); err != nil {
		return err
	}
	return s.deleteSegments(ctx, batch, report)
}

// deleteSegments deletes the objects of settled segments.
func (s *Settler) deleteSegments(ctx context.Context, batch []loadedSegment, report *Report) error {
	for _, l := range batch {
		if err := s.opts.Objects.Delete(ctx, l.key); err != nil {
			return ErrUnavailable.Wrap(err, "delete settled segment %q", l.key)
		}
		report.Segments++
		s.opts.Observer.Observe(EventReclaimed, 1)
	}
	return nil
}
