package soak

import (
	"context"

	"github.com/poplarshore/poplarshore/coord/ledger"
	"github.com/poplarshore/poplarshore/internal/rows"
	"github.com/poplarshore/poplarshore/measure/site"
	"github.com/poplarshore/poplarshore/settings"
)

// checkLedger settles the ledger's segments and compares the number of requests
// in the client account's totals with the recorded responses. Service calls,
// incomplete responses and refusals of requests that may have run may or may not
// be billed.
func (r *run) checkLedger(ctx context.Context) error {
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
	minCount, maxCount := r.billableRange()
	if totals.Requests < minCount || totals.Requests > maxCount {
		r.recordViolation("ledger bills %d requests, expected between %d and %d", totals.Requests, minCount, maxCount)
	}
	return nil
}

// billableRange returns the minimum and the maximum number of billed requests.
func (r *run) billableRange() (minCount, maxCount int64) {
	for _, record := range r.records {
		if record.ran == notRun {
			continue
		}
		maxCount++
		if record.complete && !record.serviceCall {
			minCount++
		}
	}
	return minCount, maxCount
}
