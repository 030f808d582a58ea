package ledger

import (
	"context"
	"encoding/json"

	"github.com/poplarshore/poplarshore/coord/store"
)

// Compact adds the buckets that are older than the retention to their accounts'
// total rows and returns how many.
//
// First the mark is raised, after which no new row of such a bucket is filled.
// Each bucket then goes through three steps, which may be repeated: its row is
// sealed; its sum is added to the total, which names the row; the row is
// deleted. The next bucket is added only after the row named in the total is
// gone, so that no bucket is added twice.
//
// Errors: ErrUnavailable, ErrFenced, ErrContended, ErrCorrupt.
func (s *Settler) Compact(ctx context.Context) (int, error) {
	mark, err := s.raiseMark(ctx, s.opts.Clock.Now().Add(-s.opts.Retain).Unix())
	if err != nil {
		return 0, s.observed(err)
	}
	compacted := 0
	err = s.scan(ctx, bucketsPrefix(s.opts.Prefix), func(row store.Row) error {
		id, err := parseBucket(s.opts.Prefix, row.Key)
		if err != nil || !mark.covers(id, s.opts.Bucket) {
			return err
		}
		if err := s.compactRow(ctx, id); err != nil {
			return err
		}
		compacted++
		s.opts.Observer.Observe(EventCompacted, 1)
		return nil
	})
	return compacted, s.observed(err)
}

// raiseMark raises the mark to through, and its fence to this settler's, unless
// they are as high already. Errors: ErrFenced, ErrUnavailable, ErrContended, ErrCorrupt.
func (s *Settler) raiseMark(ctx context.Context, through int64) (compactionMark, error) {
	key := markKey(s.opts.Prefix)
	for range casAttempts {
		var mark compactionMark
		version, err := readRow(ctx, s.opts.Table, key, &mark)
		if err != nil {
			return mark, err
		}
		before := mark
		if err := s.claim(&mark.Fence, key); err != nil {
			return mark, err
		}
		mark.Through = max(mark.Through, through)
		if mark == before {
			return mark, nil
		}
		done, err := writeRow(ctx, s.opts.Table, key, mark, version)
		if err != nil || done {
			return mark, err
		}
	}
	return compactionMark{}, ErrContended.New("compaction mark")
}

func (s *Settler) compactRow(ctx context.Context, id bucketID) error {
	key := id.key(s.opts.Prefix)
	row, version, err := s.sealRow(ctx, key)
	if err != nil || version == "" {
		return err
	}
	ref := rowRef{Key: key, Version: version}
	if err := s.addToTotal(ctx, id.account, ref, row.Sum); err != nil {
		return err
	}
	return s.removeRow(ctx, ref)
}

// sealRow stops a bucket row from changing. The version is empty for no row.
func (s *Settler) sealRow(ctx context.Context, key string) (bucketRow, store.Version, error) {
	for range casAttempts {
		var row bucketRow
		version, err := readRow(ctx, s.opts.Table, key, &row)
		if err != nil || version == "" || row.Sealed {
			return row, version, err
		}
		if err := s.claim(&row.Fence, key); err != nil {
			return row, "", err
		}
		row.Sealed = true
		if _, err := writeRow(ctx, s.opts.Table, key, row, version); err != nil {
			return row, "", err
		}
	}
	return bucketRow{}, "", ErrContended.New("bucket %q", key)
}

func (s *Settler) addToTotal(ctx context.Context, account string, ref rowRef, sum Totals) error {
	key := totalKey(s.opts.Prefix, account)
	for range casAttempts {
		var total totalRow
		version, err := readRow(ctx, s.opts.Table, key, &total)
		if err != nil {
			return err
		}
		if total.Last == ref {
			return nil
		}
		if err := s.removeRow(ctx, total.Last); err != nil {
			return err
		}
		present, err := s.present(ctx, ref)
		if err != nil || !present {
			return err
		}
		if err := s.claim(&total.Fence, key); err != nil {
			return err
		}
		total.Sum, total.Last = total.Sum.plus(sum), ref
		done, err := writeRow(ctx, s.opts.Table, key, total, version)
		if err != nil || done {
			return err
		}
	}
	return ErrContended.New("total of account %q", account)
}

// removeRow deletes the row if it still is at the version, and returns when it
// is known not to be.
func (s *Settler) removeRow(ctx context.Context, ref rowRef) error {
	for range casAttempts {
		present, err := s.present(ctx, ref)
		if err != nil || !present {
			return err
		}
		if _, err := wrote(s.opts.Table.Delete(ctx, ref.Key, ref.Version), ref.Key); err != nil {
			return err
		}
	}
	return ErrContended.New("row %q", ref.Key)
}

func (s *Settler) present(ctx context.Context, ref rowRef) (bool, error) {
	if ref.Key == "" {
		return false, nil
	}
	var row bucketRow
	version, err := readRow(ctx, s.opts.Table, ref.Key, &row)
	return version == ref.Version, err
}

// scan calls visit for each row with the prefix, page by page.
func (s *Settler) scan(ctx context.Context, prefix string, visit func(store.Row) error) error {
	after := ""
	for {
		rows, err := s.opts.Table.Scan(ctx, prefix, after, s.opts.Page)
		if err != nil {
			return ErrUnavailable.Wrap(err, "scan of %q", prefix)
		}
		if len(rows) == 0 {
			return nil
		}
		for _, row := range rows {
			if err := visit(row); err != nil {
				return err
			}
		}
		after = rows[len(rows)-1].Key
	}
}

func decode[T any](row store.Row) (T, error) {
	var value T
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return value, ErrCorrupt.Wrap(err, "row %q", row.Key)
	}
	return value, nil
}
