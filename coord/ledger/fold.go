package ledger

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/coord/store"
)

// segmentEntry is one entry and the key of the segment that contains it.
type segmentEntry struct {
	entry   Entry
	key     requestKey
	segment string
}

// fold adds the entries of a batch to their bucket rows, in the order of account, start and shard.
// It stores entries whose bucket is closed as late, and entries that can't be decoded as unreadable.
// Segments with entries of a bucket whose row can't be decoded are held back.
func (s *Settler) fold(ctx context.Context, batch []loadedSegment, report *Report, held *heldBack) error {
	groups, unreadable := s.groupByBucket(batch)
	order := slices.SortedFunc(maps.Keys(groups), func(a, b bucketID) int {
		return cmp.Or(cmp.Compare(a.account, b.account), cmp.Compare(a.start, b.start), cmp.Compare(a.shard, b.shard))
	})
	var late []segmentEntry
	for _, id := range order {
		rejected, err := s.foldBucket(ctx, id, groups[id], report)
		if err != nil {
			if err := held.skip(err, segmentsOf(groups[id])...); err != nil {
				return err
			}
			continue
		}
		late = append(late, rejected...)
	}
	if err := s.storeUnreadableEntries(ctx, unreadable, report); err != nil {
		return err
	}
	return s.storeLateEntries(ctx, late, report)
}

// segmentsOf returns the keys of the segments that contain the entries.
func segmentsOf(items []segmentEntry) []string {
	keys := make([]string, len(items))
	for i, item := range items {
		keys[i] = item.segment
	}
	return keys
}

// groupByBucket decodes the entries of a batch, without those of replayed segments, and groups
// them by the bucket row that they belong to. It returns separately, by the key of their segment, the
// encoded entries that can't be decoded or that no writer accepts.
func (s *Settler) groupByBucket(batch []loadedSegment) (map[bucketID][]segmentEntry, map[string][]json.RawMessage) {
	groups := make(map[bucketID][]segmentEntry)
	unreadable := make(map[string][]json.RawMessage)
	for _, l := range batch {
		if l.replay {
			s.opts.Observer.Observe(EventReplayed, 1)
			continue
		}
		for _, encoded := range l.segment.Entries {
			var e Entry
			if err := json.Unmarshal(encoded, &e); err != nil || e.validate() != nil {
				unreadable[l.key] = append(unreadable[l.key], encoded)
				continue
			}
			item := segmentEntry{entry: e, key: keyOf(e.RequestID), segment: l.key}
			id := s.bucketOf(item)
			groups[id] = append(groups[id], item)
		}
	}
	return groups, unreadable
}

// bucketOf returns the bucket row that an entry belongs to.
func (s *Settler) bucketOf(item segmentEntry) bucketID {
	return bucketID{
		account: item.entry.Account,
		start:   bucketStart(item.entry.Time, s.opts.BucketDuration),
		shard:   int(item.key[0]) % s.opts.Shards,
	}
}

// foldBucket adds the entries to their bucket row. It returns the entries that were not counted
// because the bucket is closed.
func (s *Settler) foldBucket(ctx context.Context, id bucketID, items []segmentEntry, report *Report) ([]segmentEntry, error) {
	for range maxCASAttempts {
		done, rejected, err := s.tryFold(ctx, id, items, report)
		if done || err != nil {
			return rejected, err
		}
	}
	return nil, ErrContended.New("bucket row %q changed during every attempt to add entries", id.key(s.opts.Prefix))
}

// tryFold makes one attempt to update a bucket row, and returns the entries that a closed bucket
// rejected. It reports false if the caller has to repeat it: the write conflicted, its outcome is
// unknown, or it only inserted the empty row (see isClosed).
func (s *Settler) tryFold(ctx context.Context, id bucketID, items []segmentEntry, report *Report) (bool, []segmentEntry, error) {
	counted, err := s.adjacentBucketKeys(ctx, id)
	if err != nil {
		return false, nil, err
	}
	var row bucketRow
	key := id.key(s.opts.Prefix)
	version, err := readRow(ctx, s.opts.Table, key, &row)
	if err != nil {
		return false, nil, err
	}
	row.addKeysTo(counted)
	fresh := uncounted(items, counted)
	closed, err := s.isClosed(ctx, id, row)
	if err != nil {
		return false, nil, err
	}
	if len(fresh) == 0 || closed {
		s.recordCounts(report, 0, len(items)-len(fresh))
		return true, fresh, nil
	}
	if err := s.raiseFence(&row.Fence, key); err != nil {
		return false, nil, err
	}
	if version != "" {
		row.add(fresh)
	}
	written, err := writeRow(ctx, s.opts.Table, key, row, version)
	if err != nil || !written || version == "" {
		return false, nil, err
	}
	s.recordCounts(report, len(fresh), len(items)-len(fresh))
	return true, nil, nil
}

// isClosed reports whether the bucket accepts no more entries. A bucket row is first inserted
// empty, and the compaction watermark is read only after that. A compaction that raises the
// watermark later therefore finds the row and seals it, so that the update with the entries fails.
func (s *Settler) isClosed(ctx context.Context, id bucketID, row bucketRow) (bool, error) {
	if row.Sealed || len(row.Keys) > 0 {
		return row.Sealed, nil
	}
	var watermark compactionWatermark
	_, err := readRow(ctx, s.opts.Table, watermarkKey(s.opts.Prefix), &watermark)
	return watermark.covers(id, s.opts.BucketDuration), err
}

// adjacentBucketKeys returns the request keys in the buckets before and after id. A duplicate with
// a slightly different time would be there.
func (s *Settler) adjacentBucketKeys(ctx context.Context, id bucketID) (map[requestKey]bool, error) {
	keys := make(map[requestKey]bool)
	step := int64(s.opts.BucketDuration / time.Second)
	for _, start := range []int64{id.start - step, id.start + step} {
		var row bucketRow
		adjacent := bucketID{account: id.account, start: start, shard: id.shard}
		if _, err := readRow(ctx, s.opts.Table, adjacent.key(s.opts.Prefix), &row); err != nil {
			return nil, err
		}
		row.addKeysTo(keys)
	}
	return keys, nil
}

// raiseFence raises the fencing token of the row at key to the settler's. Errors: ErrFenced if the
// row has a higher one.
func (s *Settler) raiseFence(fence *uint64, key string) error {
	if *fence > s.opts.Fence {
		return ErrFenced.New("row %q has fencing token %d, higher than this settler's %d", key, *fence, s.opts.Fence)
	}
	*fence = s.opts.Fence
	return nil
}

// recordCounts adds the numbers of newly counted and duplicate entries to the report and the
// observer.
func (s *Settler) recordCounts(report *Report, fresh, duplicates int) {
	report.Requests += fresh
	report.Duplicates += duplicates
	s.opts.Observer.Observe(EventFolded, fresh)
	s.opts.Observer.Observe(EventDuplicate, duplicates)
}

// add adds the entries to the row's sums and request keys.
func (r *bucketRow) add(items []segmentEntry) {
	for _, item := range items {
		r.Sum = r.Sum.plus(item.entry.totals())
		r.Keys = append(r.Keys, item.key[:]...)
	}
}

// uncounted returns the entries whose request key is not in counted, one entry per key.
func uncounted(items []segmentEntry, counted map[requestKey]bool) []segmentEntry {
	var fresh []segmentEntry
	seen := make(map[requestKey]bool)
	for _, item := range items {
		if !counted[item.key] && !seen[item.key] {
			seen[item.key] = true
			fresh = append(fresh, item)
		}
	}
	return fresh
}

// storeLateEntries stores the entries of closed buckets for an operator, as one object per source
// segment. The request IDs of a closed bucket are deleted, so these entries may or may not have been
// counted before.
func (s *Settler) storeLateEntries(ctx context.Context, late []segmentEntry, report *Report) error {
	bySegment := make(map[string][]Entry)
	for _, item := range late {
		bySegment[item.segment] = append(bySegment[item.segment], item.entry)
	}
	for _, source := range slices.Sorted(maps.Keys(bySegment)) {
		body, err := json.Marshal(bySegment[source])
		if err != nil {
			return ErrInvalid.Wrap(err, "store late entries of segment %q", source)
		}
		err = s.opts.Objects.Create(ctx, latePrefix(s.opts.Prefix)+source[len(segmentsPrefix(s.opts.Prefix)):], body)
		if err != nil && !errorx.IsOfType(err, store.ErrExists) {
			return ErrUnavailable.Wrap(err, "store late entries of segment %q", source)
		}
		report.Late += len(bySegment[source])
		s.opts.Observer.Observe(EventLate, len(bySegment[source]))
	}
	return nil
}

// storeUnreadableEntries stores the entries that can't be decoded for an operator, as one object per
// source segment.
func (s *Settler) storeUnreadableEntries(ctx context.Context, unreadable map[string][]json.RawMessage, report *Report) error {
	for _, source := range slices.Sorted(maps.Keys(unreadable)) {
		body, err := json.Marshal(unreadable[source])
		if err != nil {
			return ErrInvalid.Wrap(err, "store unreadable entries of segment %q", source)
		}
		err = s.opts.Objects.Create(ctx, unreadablePrefix(s.opts.Prefix)+source[len(segmentsPrefix(s.opts.Prefix)):], body)
		if err != nil && !errorx.IsOfType(err, store.ErrExists) {
			return ErrUnavailable.Wrap(err, "store unreadable entries of segment %q", source)
		}
		report.Unreadable += len(unreadable[source])
		s.opts.Observer.Observe(EventUnreadable, len(unreadable[source]))
	}
	return nil
}

func unreadablePrefix(prefix string) string { return prefix + "/unreadable/" }

func latePrefix(prefix string) string { return prefix + "/late/" }
