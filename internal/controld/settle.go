package controld

import (
	"context"
	"time"

	"github.com/poplarshore/poplarshore/coord/lease"
	"github.com/poplarshore/poplarshore/coord/ledger"
)

const (
	// compactPeriod is the time between two compactions of the ledger.
	compactPeriod = 5 * time.Minute
	// ledgerRetain is how long the ledger tells a request's records apart. It
	// covers the time in which a call may be repeated under its key.
	ledgerRetain = 26 * time.Hour
)

// settle is the job that folds ledger segments into totals.
func (d *Daemon) settle(ctx context.Context, l *lease.Lease) error {
	settler := ledger.NewSettler(ledger.SettlerOptions{
		Table:   &leasedTable{Table: d.table, lease: l, timeout: d.settings.Jobs.StoreMS.Duration()},
		Objects: &leasedObjects{Objects: d.objects, lease: l, timeout: d.settings.Jobs.StoreMS.Duration()},
		Prefix:  d.rows.Ledger(), Fence: l.Fence(), Retention: ledgerRetain, Clock: d.clock, Observer: d.ledger,
	})
	compacted := d.clock.Now()
	return d.every(ctx, l, d.settings.Jobs.SettlePeriodMS.Duration(), func(ctx context.Context) {
		report, err := settler.Settle(ctx)
		d.metrics.settled.Add(float64(report.Segments))
		if err == nil && d.clock.Since(compacted) >= compactPeriod {
			compacted = d.clock.Now()
			err = compact(ctx, settler)
		}
		if err != nil {
			d.metrics.settleFailed.Inc()
		}
	})
}

// compact adds old buckets to the totals and forgets writers that are gone.
func compact(ctx context.Context, settler *ledger.Settler) error {
	if _, err := settler.Compact(ctx); err != nil {
		return err
	}
	_, err := settler.Prune(ctx)
	return err
}
