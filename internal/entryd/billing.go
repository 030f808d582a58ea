package entryd

import (
	"context"

	"github.com/poplarshore/poplarshore/internal/entry"
)

type billingParts struct{}

func (billingParts) Open() bool                             { return true }
func (billingParts) Bill(context.Context, entry.Bill) error { return nil }
func (d *Daemon) buildBilling() error                       { d.billing = &billingParts{}; return nil }
func (d *Daemon) startBilling()                             {}
func (d *Daemon) stopBilling(context.Context)               {}
