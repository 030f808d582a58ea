package gatewayd

import (
	"log/slog"
	"maps"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/prometheus/client_golang/prometheus"

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
	// invalid counts changes that made a row invalid, by kind.
	invalid *prometheus.CounterVec
	// reported holds the positions of the invalid rows that were logged and counted, by key.
	reported map[string]watch.Cursor
}

// newOperatorSink returns the sink of a daemon, and registers its metric.
func newOperatorSink(d *Daemon) *operatorSink {
	o := &operatorSink{
		log: d.log, clock: d.clock, shifts: d.shifts, directory: d.directory, reported: make(map[string]watch.Cursor),
		invalid: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "poplarshore_operator_rows_invalid_total",
			Help: "Changes that made a row of the operators' table invalid, so that it has no effect, by kind.",
		}, []string{"kind"}),
	}
	d.registry.MustRegister(o.invalid)
	return o
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

// Change implements watch.Sink. A deleted row ends an evacuation; others have no effect. An invalid row has none
// either: what the row said before stays in force.
func (o *operatorSink) Change(b watch.Batch) {
	o.applyEvacuations(b)
	for _, row := range b.Rows {
		if row.Deleted {
			delete(o.reported, row.Key)
			continue
		}
		kind, err := "", error(nil)
		switch {
		case wire.IsConfig(row.Key):
			kind, err = "configuration", o.installConfig(row, b.ReceivedAt)
		case wire.IsRollout(row.Key):
			kind, err = "rollout", o.orderRollout(row, b.Era)
		}
		if err == nil {
			delete(o.reported, row.Key)
			continue
		}
		o.reportInvalid(row, b.Era, kind, err)
	}
}

// reportInvalid logs and counts an invalid row, once for each change of it.
func (o *operatorSink) reportInvalid(row watch.Row, era watch.Era, kind string, err error) {
	position := watch.Cursor{Era: era, Revision: row.Revision}
	if before, ok := o.reported[row.Key]; ok && before == position {
		return
	}
	o.reported[row.Key] = position
	o.invalid.WithLabelValues(kind).Inc()
	o.log.Error("ignoring invalid row of the operators' table", "key", row.Key, "revision", row.Revision, "error", err)
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
// version than the current one. receivedAt is when it arrived; zero if unknown.
func (o *operatorSink) installConfig(row watch.Row, receivedAt time.Time) error {
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
	now := o.clock.Now()
	o.Install(routing.Compile(config), now)
	line := o.log.With("config", config.Version, "revision", row.Revision, "routes", len(config.Routes), "accounts", len(config.Accounts))
	if !receivedAt.IsZero() {
		line = line.With("since_arrival_ms", o.clock.Since(receivedAt).Milliseconds())
	}
	line.Info("configuration in force")
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
