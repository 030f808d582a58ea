package controld

import (
	"context"
	"time"

	"github.com/poplarshore/poplarshore/coord/lease"
	"github.com/poplarshore/poplarshore/coord/once"
)

const (
	// sweepPeriod is the time between the sweeps of two pages of claims.
	sweepPeriod = 10 * time.Second
	// sweepPage is the maximum number of claims per page.
	sweepPage = 100
)

// sweepClaims is the job that deletes claims older than their retention, one page per
// period.
func (d *Daemon) sweepClaims(ctx context.Context, l *lease.Lease) error {
	table := &leasedTable{Table: d.table, lease: l, timeout: d.settings.Jobs.StoreMS.Duration()}
	claims, err := once.New(table, string(d.settings.VM.ID), once.Options{
		Prefix: d.rows.Claims(), Clock: d.clock, StoreTimeout: d.settings.Jobs.StoreMS.Duration(), Observer: d.metrics,
	})
	if err != nil {
		return err
	}
	after := ""
	return d.repeatWhileHeld(ctx, l, sweepPeriod, func(ctx context.Context) {
		page, err := claims.Sweep(ctx, after, sweepPage)
		if err != nil {
			d.metrics.sweepFailures.Inc()
			return
		}
		after = page.Next
		d.metrics.sweptClaims.Add(float64(page.Expired))
	})
}
