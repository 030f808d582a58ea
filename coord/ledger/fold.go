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

// item is one entry and the segment that it came from.
type item struct {
	entry   Entry
	key     requestKey
	segment string
}

// fold counts a batch's entries, bucket by bucket in a fixed order.
func (s *Settler) fold(ctx context.Context, batch []loaded, report *Report) error {
	groups, err := s.group(batch)
	if err != nil {
		return err
	}
	order := slices.SortedFunc(maps.Keys(groups), func(a, b bucketID) int {
		return cmp.Or(cmp.Compare(a.account, b.account), cmp.Compare(a.start, b.start), cmp.Compare(a.shard, b.shard))
	})
	var late []item
	for _, id := range order {
		aside, err := s.foldBucket(ctx, id, groups[id], report)
		if err != nil {
			return err
		}
		late = append(late, aside...)
	}
	return s.setAside(ctx, late, report)
}

func (s *Settler) group(batch []loaded) (map[bucketID][]item, error) {
	groups := make(map[bucketID][]item)
	for _, l := range batch {
		if l.replay {
			s.opts.Observer.Observe(EventReplayed, 1)
			continue
		}
		for _, encoded := range l.segment.Entries {
			var e Entry
			if err := json.Unmarshal(encoded, &e); err != nil {
				return nil, ErrCorrupt.Wrap(err, "segment %q", l.key)
			}
			i := item{entry: e, key: keyOf(e.RequestID), segment: l.key}
			id := s.bucketOf(i)
			groups[id] = append(groups[id], i)
		}
	}
	return groups, nil
}

func (s *Settler) bucketOf(i item) bucketID {
	return bucketID{
		account: i.entry.Account,
		start:   bucketStart(i.entry.Time, s.opts.Bucket),
		shard:   int(i.key[0]) % s.opts.Shards,
	}
}

// foldBucket adds the items to their row. It returns those that belong to a
// bucket which takes no more.
func (s *Settler) foldBucket(ctx context.Context, id bucketID, items []item, report *Report) ([]item, error) {
	for range casAttempts {
		done, aside, err := s.tryFold(ctx, id, items, report)
		if done || err != nil {
			return aside, err
		}
	}
	return nil, ErrContended.New("bucket %q", id.key(s.opts.Prefix))
}

// tryFold makes one try at a bucket's row. It reports false for another try.
func (s *Settler) tryFold(ctx context.Context, id bucketID, items []item, report *Report) (bool, []item, error) {
	counted, err := s.neighbours(ctx, id)
	if err != nil {
		return false, nil, err
	}
	var row bucketRow
	key := id.key(s.opts.Prefix)
	version, err := readRow(ctx, s.opts.Table, key, &row)
	if err != nil {
		return false, nil, err
	}
	row.addTo(counted)
	fresh := missing(items, counted)
	closed, err := s.closed(ctx, id, row)
	if err != nil {
		return false, nil, err
	}
	if len(fresh) == 0 || closed {
		s.count(report, 0, len(items)-len(fresh))
		return true, fresh, nil
	}
	if err := s.claim(&row.Fence, key); err != nil {
		return false, nil, err
	}
	if version != "" {
		row.add(fresh)
	}
	wrote, err := writeRow(ctx, s.opts.Table, key, row, version)
	if err != nil || !wrote || version == "" {
		return false, nil, err
	}
	s.count(report, len(fresh), len(items)-len(fresh))
	return true, nil, nil
}

// closed reports whether the bucket takes no more requests. A bucket's row is
// first inserted empty, and the mark is read after that: a compaction which
// has raised the mark since will find the row and seal it.
func (s *Settler) closed(ctx context.Context, id bucketID, row bucketRow) (bool, error) {
	if row.Sealed || len(row.Keys) > 0 {
		return row.Sealed, nil
	}
	var mark compactionMark
	_, err := readRow(ctx, s.opts.Table, markKey(s.opts.Prefix), &mark)
	return mark.covers(id, s.opts.Bucket), err
}

// neighbours returns the request keys of the buckets before and after, where a
// duplicate with a slightly different time would be.
func (s *Settler) neighbours(ctx context.Context, id bucketID) (map[requestKey]bool, error) {
	keys := make(map[requestKey]bool)
	step := int64(s.opts.Bucket / time.Second)
	for _, start := range []int64{id.start - step, id.start + step} {
		var row bucketRow
		other := bucketID{account: id.account, start: start, shard: id.shard}
		if _, err := readRow(ctx, s.opts.Table, other.key(s.opts.Prefix), &row); err != nil {
			return nil, err
		}
		row.addTo(keys)
	}
	return keys, nil
}

// claim raises a row's fence to the settler's. Errors: ErrFenced.
func (s *Settler) claim(fence *uint64, key string) error {
	if *fence > s.opts.Fence {
		return ErrFenced.New("row %q was written under fence %d, not %d", key, *fence, s.opts.Fence)
	}
	*fence = s.opts.Fence
	return nil
}

func (s *Settler) count(report *Report, fresh, duplicates int) {
	report.Requests += fresh
	report.Duplicates += duplicates
	s.opts.Observer.Observe(EventFolded, fresh)
	s.opts.Observer.Observe(EventDuplicate, duplicates)
}

func (r *bucketRow) add(items []item) {
	for _, i := range items {
		r.Sum = r.Sum.plus(i.entry.totals())
		r.Keys = append(r.Keys, i.key[:]...)
	}
}

// missing returns the items whose key is not in counted, each key once.
func missing(items []item, counted map[requestKey]bool) []item {
	var fresh []item
	seen := make(map[requestKey]bool)
	for _, i := range items {
		if !counted[i.key] && !seen[i.key] {
			seen[i.key] = true
			fresh = append(fresh, i)
		}
	}
	return fresh
}

// setAside keeps entries whose bucket is no longer remembered, and which may or
// may not have been counted, for an operator: one object per source segment.
func (s *Settler) setAside(ctx context.Context, late []item, report *Report) error {
	bySegment := make(map[string][]Entry)
	for _, i := range late {
		bySegment[i.segment] = append(bySegment[i.segment], i.entry)
	}
	for _, source := range slices.Sorted(maps.Keys(bySegment)) {
		body, err := json.Marshal(bySegment[source])
		if err != nil {
			return ErrInvalid.Wrap(err, "late entries of %q", source)
		}
		err = s.opts.Objects.Create(ctx, latePrefix(s.opts.Prefix)+source[len(segmentsPrefix(s.opts.Prefix)):], body)
		if err != nil && !errorx.IsOfType(err, store.ErrExists) {
			return ErrUnavailable.Wrap(err, "late entries of %q", source)
		}
		report.Late += len(bySegment[source])
		s.opts.Observer.Observe(EventLate, len(bySegment[source]))
	}
	return nil
}

func latePrefix(prefix string) string { return prefix + "/late/" }
