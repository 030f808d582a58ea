package gatewayd

import (
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/poplarshore/poplarshore/internal/engines"
	"github.com/poplarshore/poplarshore/internal/members"
	"github.com/poplarshore/poplarshore/internal/shifts"
	"github.com/poplarshore/poplarshore/internal/watch"
	"github.com/poplarshore/poplarshore/platform/wire"
	"github.com/poplarshore/poplarshore/routing"
	"github.com/poplarshore/poplarshore/upstream"
)

// operatorRows takes in what operators ask for. It implements watch.Sink and
// relay.Tables.
type operatorRows struct {
	log    *slog.Logger
	table  atomic.Pointer[routing.Table]
	shifts *shifts.Manager
	listed atomic.Bool
}

// Table implements relay.Tables.
func (o *operatorRows) Table() *routing.Table { return o.table.Load() }

// Reset implements watch.Sink.
func (o *operatorRows) Reset(b watch.Batch) {
	o.Change(b)
	o.listed.Store(true)
}

// Change implements watch.Sink.
func (o *operatorRows) Change(b watch.Batch) {
	for _, row := range b.Rows {
		if row.Deleted {
			continue
		}
		var err error
		switch {
		case wire.IsConfig(row.Key):
			err = o.install(row)
		case wire.IsRollout(row.Key):
			err = o.order(row)
		}
		if err != nil {
			o.log.Error("operators' row unreadable", "key", row.Key, "revision", row.Revision, "error", err)
		}
	}
}

// install puts a newer configuration in force.
func (o *operatorRows) install(row watch.Row) error {
	config, err := wire.DecodeConfig(row.Value)
	if err != nil {
		return err
	}
	if now := o.table.Load(); now != nil && config.Version <= now.Version() {
		return nil
	}
	o.table.Store(routing.Compile(config))
	o.log.Info("configuration in force", "config", config.Version, "revision", row.Revision,
		"routes", len(config.Routes), "accounts", len(config.Accounts))
	return nil
}

func (o *operatorRows) order(row watch.Row) error {
	order, err := wire.DecodeOrder(row)
	if err != nil {
		return err
	}
	o.shifts.Order(order)
	return nil
}

// StoreUnavailable implements watch.Sink. What is known stays in force.
func (o *operatorRows) StoreUnavailable(error) {}

// StoreAvailable implements watch.Sink.
func (o *operatorRows) StoreAvailable(time.Duration) {}

// upstreamRows takes in the upstreams' entries. It implements watch.Sink.
type upstreamRows struct {
	log       *slog.Logger
	directory *engines.Directory
}

// Reset implements watch.Sink.
func (u *upstreamRows) Reset(b watch.Batch) {
	entries := make([]engines.Entry, 0, len(b.Rows))
	for _, row := range b.Rows {
		if e, ok := u.decode(row); ok {
			entries = append(entries, e)
		}
	}
	u.directory.Replace(entries)
}

// Change implements watch.Sink.
func (u *upstreamRows) Change(b watch.Batch) {
	for _, row := range b.Rows {
		if row.Deleted {
			u.directory.Remove(upstream.ID(row.Key))
			continue
		}
		if e, ok := u.decode(row); ok {
			u.directory.Put(e)
			continue
		}
		u.directory.Remove(upstream.ID(row.Key))
	}
}

func (u *upstreamRows) decode(row watch.Row) (engines.Entry, bool) {
	e, err := wire.DecodeEntry(row)
	if err != nil {
		u.log.Warn("entry names no upstream", "key", row.Key, "revision", row.Revision, "error", err)
	}
	return e, err == nil
}

// StoreUnavailable implements watch.Sink.
func (u *upstreamRows) StoreUnavailable(error) { u.directory.MarkStoreDown() }

// StoreAvailable implements watch.Sink.
func (u *upstreamRows) StoreAvailable(time.Duration) { u.directory.MarkStoreUp() }

// ownTable holds the rows that VMs write for each other.
const ownTable = "poplarshore"

// ownRows takes in the VMs' own rows. It implements watch.Sink.
type ownRows struct {
	shifts *shifts.Manager
	vms    *members.List
}

// Reset implements watch.Sink.
func (o *ownRows) Reset(b watch.Batch) {
	o.vms.Reset(b)
	o.shifts.Replace(b.Rows)
}

// Change implements watch.Sink.
func (o *ownRows) Change(b watch.Batch) {
	o.vms.Change(b)
	o.shifts.Change(b.Rows)
}

// StoreUnavailable implements watch.Sink. Roll-outs wait; a bad version is stopped locally.
func (o *ownRows) StoreUnavailable(error) {}

// StoreAvailable implements watch.Sink.
func (o *ownRows) StoreAvailable(time.Duration) {}
