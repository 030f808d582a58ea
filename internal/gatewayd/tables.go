package gatewayd

import (
	"slices"
	"time"

	"github.com/poplarshore/poplarshore/internal/watch"
	"github.com/poplarshore/poplarshore/platform/wire"
)

// newTables returns the watches of the store's tables.
func (d *Daemon) newTables() []*watch.Watch {
	upstreamBatchDelay := time.Duration(float64(d.settings.Changes.Bound()) * upstreamBatchFraction)
	return []*watch.Watch{
		d.newTable(wire.OperatorTable, d.operatorSink, 0),
		d.newTable(wire.UpstreamTable, d.upstreamSink, upstreamBatchDelay),
		d.newTable(vmTable, &vmSink{shifts: d.shifts, vms: d.vms, quarantines: d.quarantines, onVMs: d.handleVMs}, vmBatchDelay),
	}
}

// handleVMs applies a change of the list of VMs.
func (d *Daemon) handleVMs() {
	d.refreshVMAddresses()
	d.countVMs()
}

// newTable returns the watch of a table of the store. batchDelay is the pause after changes.
func (d *Daemon) newTable(table string, sink watch.Sink, batchDelay time.Duration) *watch.Watch {
	options := watch.DefaultOptions()
	options.BatchDelay = batchDelay
	return watch.New(d.peerFeed, table, sink, d.clock, d.log, options)
}

// table returns the watch of a table, which must be one of newTables.
func (d *Daemon) table(name string) *watch.Watch {
	i := slices.IndexFunc(d.tables, func(t *watch.Watch) bool { return t.Table() == name })
	return d.tables[i]
}

// upstreamsAge returns the time since the list of upstreams was last read; 0 before the first time.
func (d *Daemon) upstreamsAge() time.Duration {
	age, _ := d.table(wire.UpstreamTable).Age()
	return age
}

// configSource tells how old the copy of the configuration is. It implements relay.ConfigSource.
type configSource struct{ daemon *Daemon }

// Age implements relay.ConfigSource.
func (c configSource) Age() (time.Duration, bool) {
	return c.daemon.table(wire.OperatorTable).CopyAge()
}

// Confirming implements relay.ConfigSource.
func (c configSource) Confirming() bool { return c.daemon.peerFeed.Seeks(wire.OperatorTable) }
