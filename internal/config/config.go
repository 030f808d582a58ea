// Package config keeps the configuration that is in force on this VM: it
// compiles each installed revision and tells whether this VM still knows that
// it is the newest one.
package config

import (
	"log/slog"
	"sync/atomic"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/coord/revision"
	"github.com/poplarshore/poplarshore/document"
	"github.com/poplarshore/poplarshore/refusal"
)

// Follower implements entry.Config and revision.Observer.
type Follower struct {
	node   *revision.Node
	clock  clockwork.Clock
	log    *slog.Logger
	index  atomic.Pointer[document.Index]
	events *prometheus.CounterVec
	number prometheus.Gauge
	// install is called with each configuration before it is in force.
	install func(*document.Index)
}

// New returns a follower without a configuration. Bind it to a node before use.
func New(clock clockwork.Clock, log *slog.Logger, reg prometheus.Registerer, install func(*document.Index)) *Follower {
	f := &Follower{
		clock: clock, log: log, install: install,
		events: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "poplarshore", Name: "revision_events_total", Help: "Events of the configuration's spread, by kind.",
		}, []string{"event"}),
		number: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "poplarshore", Name: "revision_in_force", Help: "Number of the configuration in force on this VM.",
		}),
	}
	reg.MustRegister(f.events, f.number)
	return f
}

// Bind sets the node that is followed.
func (f *Follower) Bind(node *revision.Node) {
	f.node = node
}

// Observe implements revision.Observer.
func (f *Follower) Observe(e revision.Event) {
	f.events.WithLabelValues(string(e)).Inc()
}

// Apply puts a revision in force. It is revision.Options.Apply, so that a VM
// confirms a revision only when it works by it. A document that this program
// can't read is not put in force; this VM then turns stale, as it must not
// serve by an older one.
func (f *Follower) Apply(rev revision.Revision, body []byte) error {
	doc, err := document.Load(body)
	if err != nil {
		f.events.WithLabelValues("unreadable").Inc()
		f.log.Error("configuration can't be read", "revision", rev.Number, "error", err)
		return err
	}
	x := document.NewIndex(rev.Number, doc)
	f.install(x)
	f.index.Store(x)
	f.number.Set(float64(rev.Number))
	f.log.Info("configuration in force", "revision", rev.Number, "hash", rev.Hash)
	return nil
}

// Index implements entry.Config.
func (f *Follower) Index() *document.Index {
	return f.index.Load()
}

// Refusal implements entry.Config.
func (f *Follower) Refusal() *refusal.Refusal {
	if f.index.Load() == nil || !f.node.Fresh(f.clock.Now()) {
		return refusal.New(refusal.ConfigurationStale)
	}
	return nil
}
