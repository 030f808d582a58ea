package ledger

import (
	"context"

	"github.com/poplarshore/poplarshore/coord/store"
)

// Totals returns the sums of all entries of the account that have been settled; they are zero for an
// unknown account. Entries in segments that no call of Settle has settled yet are not included. Totals only
// reads, is safe beside a running compaction, and needs no fencing token.
//
// Errors: ErrUnavailable; ErrCorrupt; ErrContended if a compaction changed the total row during
// every attempt, after which the caller may try again.
func (s *Settler) Totals(ctx context.Context, account string) (Totals, error) {
	key := totalKey(s.opts.Prefix, account)
	for range maxCASAttempts {
		var before, after totalRow
		start, err := readRow(ctx, s.opts.Table, key, &before)
		if err != nil {
			return Totals{}, err
		}
		sum, err := s.sumBuckets(ctx, account, before.LastBucket)
		if err != nil {
			return Totals{}, err
		}
		end, err := readRow(ctx, s.opts.Table, key, &after)
		if err != nil {
			return Totals{}, err
		}
		if start == end {
			return before.Sum.plus(sum), nil
		}
	}
	return Totals{}, ErrContended.New("total row of account %q changed during every attempt to read the sums", account)
}

// sumBuckets adds up the account's bucket rows, except the one that the total row already includes.
func (s *Settler) sumBuckets(ctx context.Context, account string, last rowRef) (Totals, error) {
	var sum Totals
	err := s.scan(ctx, accountPrefix(s.opts.Prefix, account), func(row store.Row) error {
		if row.Key == last.Key && row.Version == last.Version {
			return nil
		}
		bucket, err := decodeRow[bucketRow](row)
		sum = sum.plus(bucket.Sum)
		return err
	})
	return sum, err
}
