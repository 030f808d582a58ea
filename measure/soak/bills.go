package soak

import (
	"context"

	"github.com/poplarshore/poplarshore/coord/ledger"
	"github.com/poplarshore/poplarshore/internal/rows"
	"github.com/poplarshore/poplarshore/measure/site"
	"github.com/poplarshore/poplarshore/settings"
)

// checkBills folds the ledger's segments and compares the requests in the
// client account's totals with what callers were told. A call to a service, a
// broken answer and a refusal of unknown outcome may be billed or not.
func (r *run) checkBills(ctx context.Context) error {
	settler := ledger.NewSettler(ledger.SettlerOptions{
		Table: r.env.Platform.Table, Objects: r.env.Platform.Objects, Fence: 1,
		Prefix: rows.Keys{Prefix: settings.DefaultEntry().Platform.Prefix}.Ledger(),
	})
	if _, err := settler.Settle(ctx); err != nil {
		return err
	}
	totals, err := settler.Totals(ctx, site.Account)
	if err != nil {
		return err
	}
	r.report.Billed = totals.Requests
	least, most := r.billable()
	if totals.Requests < least || totals.Requests > most {
		r.violate("%d requests are billed; there were between %d and %d", totals.Requests, least, most)
	}
	return nil
}

// billable returns the bounds on the number of billed requests.
func (r *run) billable() (least, most int64) {
	for _, t := range r.told {
		if t.ran == ranNo {
			continue
		}
		most++
		if t.whole && !t.call {
			least++
		}
	}
	return least, most
}
