package gatewayd

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
)

// addressPoll is the interval at which addresses that are in use are tried again.
const addressPoll = 100 * time.Millisecond

// StartWhenFree starts the daemon like Start, and waits while an address is in use, as by the process
// before until its planned stop has ended: at most for the settings' Stop.GraceS, and until ctx ends.
// Errors: those of Start.
func (d *Daemon) StartWhenFree(ctx context.Context) error {
	startedAt := d.clock.Now()
	for {
		err := d.Start(context.WithoutCancel(ctx))
		if !isAddressInUse(err) || d.clock.Since(startedAt) >= d.settings.Stop.GraceS.Duration() {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-d.clock.After(addressPoll):
		}
	}
}

// isAddressInUse reports whether a listener could not be opened because its address is in use.
func isAddressInUse(err error) bool {
	if typed := errorx.Cast(err); typed != nil && typed.Cause() != nil {
		err = typed.Cause()
	}
	return errors.Is(err, syscall.EADDRINUSE)
}
