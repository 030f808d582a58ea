package gatewayd

import (
	"log/slog"

	"github.com/joomcode/errorx"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/internal/engines"
	"github.com/poplarshore/poplarshore/internal/watch"
	"github.com/poplarshore/poplarshore/platform/wire"
	"github.com/poplarshore/poplarshore/upstream"
)

// errUnknownDomain reports an upstream's entry with a failure domain that the settings don't name.
var errUnknownDomain = errorx.NewNamespace("gatewayd").NewType("unknown_domain")

// upstreamSink applies the upstreams' entries to the directory. It implements
// watch.Sink.
//
// An entry that is invalid names no upstream, whoever wrote it: the upstream that had it before
// gets no new requests, at once and also during an outage of the store, because the row has been
// overwritten and not expired. Its running requests complete. It is used again, as it was known,
// when it writes its own entry the next time.
type upstreamSink struct {
	log       *slog.Logger
	directory *engines.Directory
	// regions are the known failure domains.
	regions map[domain.ID]domain.Region
	// invalid counts changes that made an entry invalid, by cause.
	invalid *prometheus.CounterVec
	// reported holds the positions of the invalid entries that were logged and counted, by key.
	reported map[string]watch.Cursor
	// era is that of the last listing.
	era watch.Era
}

// newUpstreamSink returns the sink of a daemon, and registers its metric.
func newUpstreamSink(d *Daemon) *upstreamSink {
	u := &upstreamSink{
		log: d.log, directory: d.directory, regions: d.settings.Regions, reported: make(map[string]watch.Cursor),
		invalid: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "poplarshore_upstream_entries_invalid_total",
			Help: "Changes that made an upstream's entry invalid, so that it names no upstream, by cause.",
		}, []string{"cause"}),
	}
	d.registry.MustRegister(u.invalid)
	return u
}

// Reset implements watch.Sink.
func (u *upstreamSink) Reset(b watch.Batch) {
	entries := make([]engines.Entry, 0, len(b.Rows))
	reported := make(map[string]watch.Cursor)
	for _, row := range b.Rows {
		if e, ok := u.decode(row, b.Era); ok {
			entries = append(entries, e)
			continue
		}
		reported[row.Key] = u.reported[row.Key]
		u.directory.Discard(upstream.ID(row.Key))
	}
	u.reported = reported
	restored := u.directory.Listed() && b.Era > u.era
	u.era = b.Era
	if restored {
		u.directory.Restore(entries)
		return
	}
	u.directory.Replace(entries)
}

// Change implements watch.Sink.
func (u *upstreamSink) Change(b watch.Batch) {
	for _, row := range b.Rows {
		id := upstream.ID(row.Key)
		if row.Deleted {
			delete(u.reported, row.Key)
			u.directory.Remove(id)
			continue
		}
		if e, ok := u.decode(row, b.Era); ok {
			delete(u.reported, row.Key)
			u.directory.Put(e)
			continue
		}
		u.directory.Discard(id)
	}
}

// decode decodes an entry. It reports an invalid one once for each change of the row.
func (u *upstreamSink) decode(row watch.Row, era watch.Era) (engines.Entry, bool) {
	e, err := wire.DecodeEntry(row)
	cause := "malformed"
	if _, known := u.regions[e.Domain]; err == nil && !known {
		err, cause = errUnknownDomain.New("failure domain %q is not one of the settings", e.Domain), "unknown_domain"
	}
	if err == nil {
		return e, true
	}
	position := watch.Cursor{Era: era, Revision: row.Revision}
	if before, ok := u.reported[row.Key]; !ok || before != position {
		u.reported[row.Key] = position
		u.invalid.WithLabelValues(cause).Inc()
		u.log.Warn("invalid upstream entry; upstream is not used", "key", row.Key,
			"revision", row.Revision, "error", err)
	}
	return engines.Entry{}, false
}

// StoreUnavailable implements watch.Sink.
func (u *upstreamSink) StoreUnavailable(error) { u.directory.MarkStoreDown() }

// StoreAvailable implements watch.Sink.
func (u *upstreamSink) StoreAvailable(o watch.Outage) {
	if o.Local {
		u.directory.MarkStoreReached()
		return
	}
	u.directory.MarkStoreUp()
}
