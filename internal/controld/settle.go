package controld

import (
	"cmp"
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/coord/lease"
	"github.com/poplarshore/poplarshore/coord/ledger"
)

const (
	// compactPeriod is the time between two compactions of the ledger.
	compactPeriod = 5 * time.Minute
	// ledgerRetention is how long the ledger remembers request IDs to detect
	// duplicate records. It covers the time within which a call may be repeated with
	// its idempotency key.
	ledgerRetention = 26 * time.Hour
)

// settleLedger is the job that adds the entries of ledger segments to the accounts'
// totals.
func (d *Daemon) settleLedger(ctx context.Context, l *lease.Lease) error {
	settler := ledger.NewSettler(ledger.SettlerOptions{
		Table:   &leasedTable{Table: d.table, lease: l, timeout: d.settings.Jobs.StoreMS.Duration()},
		Objects: &leasedObjects{Objects: d.objects, lease: l, timeout: d.settings.Jobs.StoreMS.Duration()},
		Prefix:  d.rows.Ledger(), Fence: l.Fence(), Retention: ledgerRetention, Clock: d.clock, Observer: d.ledgerMetrics,
	})
	lastCompaction, lastError := d.clock.Now(), ""
	return d.repeatWhileHeld(ctx, l, d.settings.Jobs.SettlePeriodMS.Duration(), func(ctx context.Context) {
		report, err := settler.Settle(ctx)
		d.metrics.settledSegments.Add(float64(report.Segments))
		if settled := err == nil || errorx.IsOfType(err, ledger.ErrCorrupt); settled && d.clock.Since(lastCompaction) >= compactPeriod {
			lastCompaction = d.clock.Now()
			err = cmp.Or(err, compactAndPrune(ctx, settler))
		}
		if err == nil {
			lastError = ""
			return
		}
		d.metrics.settlementFailures.Inc()
		if message := err.Error(); message != lastError {
			lastError = message
			d.log.Error("settlement of the ledger failed or is incomplete, repeating", "held_back", report.HeldBack, "error", err)
		}
	})
}

// compactAndPrune adds the buckets older than the retention to the accounts' total rows
// and deletes the rows of writers that have ended, also beside rows that can't be decoded.
func compactAndPrune(ctx context.Context, settler *ledger.Settler) error {
	_, err := settler.Compact(ctx)
	if err != nil && !errorx.IsOfType(err, ledger.ErrCorrupt) {
		return err
	}
	_, pruneErr := settler.Prune(ctx)
	return cmp.Or(err, pruneErr)
}
