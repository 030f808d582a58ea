package ledger

import (
	"context"

	"github.com/poplarshore/poplarshore/coord/store"
)

// Totals returns the sums of everything that has been folded for the account.
// Errors: ErrUnavailable, ErrCorrupt, ErrContended.
func (s *Settler) Totals(ctx context.Context, account string) (Totals, error) {
	key := totalKey(s.opts.Prefix, account)
	for range casAttempts {
		var before, after totalRow
		start, err := readRow(ctx, s.opts.Table, key, &before)
		if err != nil {
			return Totals{}, err
		}
		sum, err := s.sumBuckets(ctx, account, before.Last)
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
	return Totals{}, ErrContended.New("total of account %q", account)
}

// sumBuckets adds up the account's rows without the one that the total holds.
func (s *Settler) sumBuckets(ctx context.Context, account string, last rowRef) (Totals, error) {
	var sum Totals
	err := s.scan(ctx, accountPrefix(s.opts.Prefix, account), func(row store.Row) error {
		if row.Key == last.Key && row.Version == last.Version {
			return nil
		}
		bucket, err := decode[bucketRow](row)
		sum = sum.plus(bucket.Sum)
		return err
	})
	return sum, err
}
