package gatewayd

import (
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
		d.newTable(vmTable, &vmSink{shifts: d.shifts, vms: d.vms, quarantines: d.quarantines, onVMs: d.refreshVMAddresses}, vmBatchDelay),
	}
}

// newTable returns the watch of a table of the store. batchDelay is the pause after changes.
func (d *Daemon) newTable(table string, sink watch.Sink, batchDelay time.Duration) *watch.Watch {
	options := watch.DefaultOptions()
	options.BatchDelay = batchDelay
	return watch.New(d.peerFeed, table, sink, d.clock, d.log, options)
}

// tableAge returns the time since a table was last read; 0 before the first time.
func (d *Daemon) tableAge(table string) time.Duration {
	for _, t := range d.tables {
		if t.Table() == table {
			age, _ := t.Age()
			return age
		}
	}
	return 0
}
