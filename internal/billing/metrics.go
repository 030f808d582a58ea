package billing

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/coord/ledger"
)

// Metrics exports the ledger's events and measurements. It implements ledger.Observer and is safe
// for concurrent use.
type Metrics struct {
	events         *prometheus.CounterVec
	persistSeconds prometheus.Histogram
	segmentEntries prometheus.Histogram
}

var _ ledger.Observer = (*Metrics)(nil)

// NewMetrics registers the ledger's metrics. It panics if they are registered already.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		events: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "poplarshore", Subsystem: "ledger", Name: "events_total", Help: "Events of the ledger, by kind.",
		}, []string{"event"}),
		persistSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "poplarshore", Subsystem: "ledger", Name: "persist_seconds",
			Help:    "Time that the store took to commit a segment.",
			Buckets: prometheus.ExponentialBuckets(0.002, 2, 14),
		}),
		segmentEntries: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "poplarshore", Subsystem: "ledger", Name: "segment_entries",
			Help:    "Billing records in a committed segment.",
			Buckets: prometheus.ExponentialBuckets(1, 2, 11),
		}),
	}
	reg.MustRegister(m.events, m.persistSeconds, m.segmentEntries)
	return m
}

// RegisterGauges registers gauges for the biller's backlog and for the segments held for other VMs. It
// panics if they are registered already.
func RegisterGauges(reg prometheus.Registerer, b *Biller, h *ledger.Holder) {
	gauge := func(name, help string, f func() int) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "poplarshore", Subsystem: "ledger", Name: name, Help: help,
		}, func() float64 { return float64(f()) })
	}
	reg.MustRegister(
		gauge("backlog_bytes", "Billing records that wait to be committed, in bytes.", b.Backlog),
		gauge("held_segments", "Segments of other VMs that wait here.", h.Held),
	)
}

// Observe implements ledger.Observer.
func (m *Metrics) Observe(e ledger.Event, n int) {
	m.events.WithLabelValues(string(e)).Add(float64(n))
}

// Persisted implements ledger.Observer.
func (m *Metrics) Persisted(latency time.Duration, entries, _ int) {
	m.persistSeconds.Observe(latency.Seconds())
	m.segmentEntries.Observe(float64(entries))
}
