package ledger

import (
	"cmp"
	"context"

	"github.com/poplarshore/poplarshore/coord/store"
)

// Compact adds the bucket rows that are older than the retention to their accounts' total rows,
// deletes them, and returns the number of rows. Entries of such a bucket that arrive later are
// stored as late. Totals returns the same sums before, during and after a compaction.
//
// Compact first raises the compaction watermark, after which no entry is added to an empty row of
// such a bucket. Each row then goes through three idempotent steps: the row is sealed; its sum is
// added to the total row, which records a reference to the bucket row; the bucket row is deleted.
// The next bucket row is added only after the one that the total row refers to has been deleted, so
// that no row is added twice.
//
// After an error the steps done so far stay valid, and the next call continues from them.
//
// Errors: ErrUnavailable if the store failed; ErrFenced if a settler with a higher fencing token
// has written, after which the caller must stop settling; ErrContended if a row changed during
// every attempt; ErrCorrupt if a row or its key cannot be decoded, after the other rows were compacted.
func (s *Settler) Compact(ctx context.Context) (int, error) {
	watermark, err := s.raiseWatermark(ctx, s.opts.Clock.Now().Add(-s.opts.Retention).Unix())
	if err != nil {
		return 0, s.observeFenced(err)
	}
	compacted := 0
	var held heldBack
	err = s.scan(ctx, bucketsPrefix(s.opts.Prefix), func(row store.Row) error {
		id, err := parseBucketKey(s.opts.Prefix, row.Key)
		if err != nil {
			return held.skip(err)
		}
		if !watermark.covers(id, s.opts.BucketDuration) {
			return nil
		}
		if err := s.compactRow(ctx, id); err != nil {
			return held.skip(err)
		}
		compacted++
		s.opts.Observer.Observe(EventCompacted, 1)
		return nil
	})
	return compacted, s.observeFenced(cmp.Or(err, held.err))
}

// raiseWatermark raises the compaction watermark to through (seconds since 1970) and its fencing
// token to this settler's, unless they are as high already. Errors: ErrFenced, ErrUnavailable,
// ErrContended, ErrCorrupt.
func (s *Settler) raiseWatermark(ctx context.Context, through int64) (compactionWatermark, error) {
	key := watermarkKey(s.opts.Prefix)
	for range maxCASAttempts {
		var watermark compactionWatermark
		version, err := readRow(ctx, s.opts.Table, key, &watermark)
		if err != nil {
			return watermark, err
		}
		before := watermark
		if err := s.raiseFence(&watermark.Fence, key); err != nil {
			return watermark, err
		}
		watermark.Through = max(watermark.Through, through)
		if watermark == before {
			return watermark, nil
		}
		written, err := writeRow(ctx, s.opts.Table, key, watermark, version)
		if err != nil || written {
			return watermark, err
		}
	}
	return compactionWatermark{}, ErrContended.New("compaction watermark changed during every attempt")
}

// compactRow moves one bucket row into the account's total row.
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
	return s.deleteRow(ctx, ref)
}

// sealRow marks a bucket row as sealed, after which its contents no longer change. It returns the
// sealed row and its version, which is empty if there is no row.
func (s *Settler) sealRow(ctx context.Context, key string) (bucketRow, store.Version, error) {
	for range maxCASAttempts {
		var row bucketRow
		version, err := readRow(ctx, s.opts.Table, key, &row)
		if err != nil || version == "" || row.Sealed {
			return row, version, err
		}
		if err := s.raiseFence(&row.Fence, key); err != nil {
			return row, "", err
		}
		row.Sealed = true
		if _, err := writeRow(ctx, s.opts.Table, key, row, version); err != nil {
			return row, "", err
		}
	}
	return bucketRow{}, "", ErrContended.New("bucket row %q changed during every attempt to seal it", key)
}

// addToTotal adds the sum of the bucket row ref to the account's total row, unless the row has been
// added before. It first deletes the bucket row that was added last.
func (s *Settler) addToTotal(ctx context.Context, account string, ref rowRef, sum Totals) error {
	key := totalKey(s.opts.Prefix, account)
	for range maxCASAttempts {
		var total totalRow
		version, err := readRow(ctx, s.opts.Table, key, &total)
		if err != nil {
			return err
		}
		if total.LastBucket == ref {
			return nil
		}
		if err := s.deleteRow(ctx, total.LastBucket); err != nil {
			return err
		}
		exists, err := s.existsAtVersion(ctx, ref)
		if err != nil || !exists {
			return err
		}
		if err := s.raiseFence(&total.Fence, key); err != nil {
			return err
		}
		total.Sum, total.LastBucket = total.Sum.plus(sum), ref
		written, err := writeRow(ctx, s.opts.Table, key, total, version)
		if err != nil || written {
			return err
		}
	}
	return ErrContended.New("total row of account %q changed during every attempt", account)
}

// deleteRow deletes the row if it still has the version in ref. It returns nil only after a read
// has shown that no row with that version exists.
func (s *Settler) deleteRow(ctx context.Context, ref rowRef) error {
	for range maxCASAttempts {
		exists, err := s.existsAtVersion(ctx, ref)
		if err != nil || !exists {
			return err
		}
		if _, err := writeOutcome(s.opts.Table.Delete(ctx, ref.Key, ref.Version), ref.Key); err != nil {
			return err
		}
	}
	return ErrContended.New("row %q still exists after every attempt to delete it", ref.Key)
}

// existsAtVersion reports whether the row exists with the version in ref.
func (s *Settler) existsAtVersion(ctx context.Context, ref rowRef) (bool, error) {
	if ref.Key == "" {
		return false, nil
	}
	var row bucketRow
	version, err := readRow(ctx, s.opts.Table, ref.Key, &row)
	return version == ref.Version, err
}

// scan calls visit for each row whose key has the prefix, in key order. It stops at the first
// error. Errors: ErrUnavailable and those of visit.
func (s *Settler) scan(ctx context.Context, prefix string, visit func(store.Row) error) error {
	after := ""
	for {
		rows, err := s.opts.Table.Scan(ctx, prefix, after, s.opts.PageSize)
		if err != nil {
			return ErrUnavailable.Wrap(err, "scan rows with prefix %q", prefix)
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

// decodeRow decodes a row's JSON value. Errors: ErrCorrupt.
func decodeRow[T any](row store.Row) (T, error) {
	var value T
	err := decodeInto(row, &value)
	return value, err
}
