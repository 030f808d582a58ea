package gatewayd

import (
	"log/slog"
	"maps"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/internal/engines"
	"github.com/poplarshore/poplarshore/internal/members"
	"github.com/poplarshore/poplarshore/internal/quarantines"
	"github.com/poplarshore/poplarshore/internal/shifts"
	"github.com/poplarshore/poplarshore/internal/watch"
	"github.com/poplarshore/poplarshore/platform/wire"
	"github.com/poplarshore/poplarshore/routing"
)

// operatorSink applies the operators' table: the configuration, the orders of
// roll-outs and the evacuated failure domains. It implements watch.Sink and relay.Tables.
type operatorSink struct {
	log   *slog.Logger
	clock clockwork.Clock
	// History implements relay.Tables.
	routing.History
	shifts *shifts.Manager
	listed atomic.Bool
	// evacuated holds the evacuated failure domains. Only the watch of the table uses it.
	evacuated map[domain.ID]bool
	directory *engines.Directory
}

// idleLimit returns how long callers may leave a connection unused by the configuration in force; 0 without one.
func (o *operatorSink) idleLimit() time.Duration {
	table := o.Table()
	if table == nil {
		return 0
	}
	return table.Limits().IdleTimeout
}

// Reset implements watch.Sink. An evacuation whose row is not listed has ended.
func (o *operatorSink) Reset(b watch.Batch) {
	o.evacuated = nil
	o.Change(b)
	o.listed.Store(true)
}

// Change implements watch.Sink. A deleted row ends an evacuation; others have no effect.
func (o *operatorSink) Change(b watch.Batch) {
	o.applyEvacuations(b)
	for _, row := range b.Rows {
		if row.Deleted {
			continue
		}
		var err error
		switch {
		case wire.IsConfig(row.Key):
			err = o.installConfig(row)
		case wire.IsRollout(row.Key):
			err = o.orderRollout(row, b.Era)
		}
		if err != nil {
			o.log.Error("ignoring invalid row of the operators' table", "key", row.Key,
				"revision", row.Revision, "error", err)
		}
	}
}

// applyEvacuations passes the evacuated failure domains to the directory. A row that was added
// evacuates a failure domain whatever its value.
func (o *operatorSink) applyEvacuations(b watch.Batch) {
	evacuated := make(map[domain.ID]bool, len(o.evacuated))
	maps.Copy(evacuated, o.evacuated)
	for _, row := range b.Rows {
		id, ok := wire.EvacuatedDomain(row.Key)
		switch {
		case !ok:
		case row.Deleted:
			delete(evacuated, id)
		default:
			evacuated[id] = true
		}
	}
	o.evacuated = evacuated
	o.directory.SetEvacuated(evacuated)
}

// installConfig replaces the routing table if the configuration has a higher
// version than the current one.
func (o *operatorSink) installConfig(row watch.Row) error {
	config, err := wire.DecodeConfig(row.Value)
	if err != nil {
		return err
	}
	if current := o.Table(); current != nil && config.Version <= current.Version() {
		return nil
	}
	for _, s := range config.Services {
		o.directory.SetColdStart(s.Name, engines.ColdStart{For: s.ColdStart, PerSecond: s.ColdPerSecond})
	}
	o.Install(routing.Compile(config), o.clock.Now())
	o.log.Info("configuration in force", "config", config.Version, "revision", row.Revision,
		"routes", len(config.Routes), "accounts", len(config.Accounts))
	return nil
}

// orderRollout passes the order in a row to the roll-out manager.
func (o *operatorSink) orderRollout(row watch.Row, era watch.Era) error {
	order, err := wire.DecodeOrder(row, era)
	if err != nil {
		return err
	}
	o.shifts.Order(order)
	return nil
}

// StoreUnavailable implements watch.Sink. The last known configuration stays in force, and so do
// the last known evacuations.
func (o *operatorSink) StoreUnavailable(error) {}

// StoreAvailable implements watch.Sink.
func (o *operatorSink) StoreAvailable(watch.Outage) {}

// vmTable is the table of the rows that VMs write for each other.
const vmTable = "poplarshore"

// vmSink applies the rows written by VMs: the list of VMs, quarantines, and the state and
// evidence of roll-outs. It implements watch.Sink.
type vmSink struct {
	shifts      *shifts.Manager
	vms         *members.List
	quarantines *quarantines.Guard
	// onVMs is called when the list of VMs may have changed.
	onVMs func()
}

// Reset implements watch.Sink.
func (v *vmSink) Reset(b watch.Batch) {
	v.vms.Reset(b)
	v.onVMs()
	v.quarantines.Replace(b)
	v.shifts.Replace(b)
}

// Change implements watch.Sink.
func (v *vmSink) Change(b watch.Batch) {
	v.vms.Change(b)
	v.onVMs()
	v.quarantines.Change(b)
	v.shifts.Change(b)
}

// StoreUnavailable implements watch.Sink. While the store is unavailable,
// roll-outs make no step, and a bad version is stopped on this VM only.
func (v *vmSink) StoreUnavailable(error) {}

// StoreAvailable implements watch.Sink.
func (v *vmSink) StoreAvailable(watch.Outage) {}
