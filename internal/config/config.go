// Package config provides the configuration that is in force on this VM. It compiles
// each installed revision into an index, and reports whether this VM can still prove that
// the revision is the newest one.
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

// Follower provides the configuration in force and counts the events of its revisions. It
// implements entry.Config and revision.Observer, and is safe for concurrent use after Bind.
type Follower struct {
	node          *revision.Node
	clock         clockwork.Clock
	log           *slog.Logger
	index         atomic.Pointer[document.Index]
	events        *prometheus.CounterVec
	revisionGauge prometheus.Gauge
	// install is called with each new index before Index returns it.
	install func(*document.Index)
}

// New returns a Follower without a configuration, and registers its metrics with reg. The
// caller must call Bind before use. install is called with each new index before it is in
// force.
func New(clock clockwork.Clock, log *slog.Logger, reg prometheus.Registerer, install func(*document.Index)) *Follower {
	f := &Follower{
		clock: clock, log: log, install: install,
		events: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "poplarshore", Name: "revision_events_total", Help: "Events of the configuration's spread, by kind.",
		}, []string{"event"}),
		revisionGauge: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "poplarshore", Name: "revision_in_force", Help: "Number of the configuration in force on this VM.",
		}),
	}
	reg.MustRegister(f.events, f.revisionGauge)
	return f
}

// Bind sets the node whose freshness Refusal checks. The node must have been created with
// Apply as its revision.Options.Apply.
func (f *Follower) Bind(node *revision.Node) {
	f.node = node
}

// Observe implements revision.Observer. It counts the event.
func (f *Follower) Observe(e revision.Event) {
	f.events.WithLabelValues(string(e)).Inc()
}

// Apply puts a revision in force. Use it as revision.Options.Apply, so that a VM confirms
// a revision only after it uses it. It fails for a document that this program can't read.
// The VM's configuration then becomes stale, because it must not serve by an older one.
func (f *Follower) Apply(rev revision.Revision, body []byte) error {
	doc, err := document.Load(body)
	if err != nil {
		f.events.WithLabelValues("unreadable").Inc()
		f.log.Error("configuration rejected: document can't be read", "revision", rev.Number, "error", err)
		return err
	}
	index := document.NewIndex(rev.Number, doc)
	f.install(index)
	f.index.Store(index)
	f.revisionGauge.Set(float64(rev.Number))
	f.log.Info("configuration in force", "revision", rev.Number, "hash", rev.Hash)
	return nil
}

// Index returns the configuration in force, or nil if there is none. It implements
// entry.Config.
func (f *Follower) Index() *document.Index {
	return f.index.Load()
}

// Refusal returns a refusal with the reason ConfigurationStale if no configuration is in
// force or the node is not fresh, and nil otherwise. It implements entry.Config.
func (f *Follower) Refusal() *refusal.Refusal {
	if f.index.Load() == nil || !f.node.Fresh(f.clock.Now()) {
		return refusal.New(refusal.ConfigurationStale)
	}
	return nil
}
