package entryd

import (
	"context"

	"github.com/poplarshore/poplarshore/account"
	"github.com/poplarshore/poplarshore/internal/entry"
)

type billingParts struct{}

func (billingParts) Open() bool                             { return true }
func (billingParts) Bill(context.Context, entry.Bill) error { return nil }
func (billingParts) Backlog() int                           { return 0 }
func (d *Daemon) buildBilling() error                       { d.billing = &billingParts{}; return nil }
func (d *Daemon) startBilling()                             {}
func (d *Daemon) stopBilling(context.Context)               {}

// totals returns the ledger's totals of a client account.
func (d *Daemon) totals(context.Context, account.ID) (any, error) { return nil, nil }
