package reach

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/reachability"
	"github.com/poplarshore/poplarshore/upstream"
)

// Target is an upstream that requests may be sent to.
type Target struct {
	ID upstream.ID
	// Address is the upstream's host:port.
	Address string
}

// Options configure a Tracker. All fields are required.
type Options struct {
	Reachability reachability.Options
	// Usable returns the upstreams of a service that requests may be sent to.
	Usable func(service string) []Target
	// Probe opens a connection to an address.
	Probe func(ctx context.Context, address string) error
	// OnRegained is called when the way to a service is back.
	OnRegained func(service string)
	Clock      clockwork.Clock
	Log        *slog.Logger
	Registry   prometheus.Registerer
}

// Tracker follows the ways to all services. It is safe for concurrent use.
type Tracker struct {
	opts    Options
	cutOff  *prometheus.GaugeVec
	changes *prometheus.CounterVec
	probes  *prometheus.CounterVec

	mu       sync.Mutex
	services map[string]*service
}

// service is the way to the upstreams of one service.
type service struct {
	view *reachability.View
	// cutOff is the last decision, and since when it holds if it is true.
	cutOff bool
	since  time.Time
	// inDoubt is the last decision on whether the way may be lost.
	inDoubt bool
}

// New returns a Tracker without contacts.
func New(opts Options) *Tracker {
	t := &Tracker{
		opts: opts, services: make(map[string]*service),
		cutOff: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "poplarshore_reach_cut_off", Help: "1 while this VM does not reach the upstreams of a service."}, []string{"service"}),
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "poplarshore_reach_changes_total", Help: "How often the way to the upstreams of a service was doubted, lost or regained."}, []string{"service", "change"}),
		probes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "poplarshore_reach_probes_total", Help: "Probes of upstreams that this VM does not reach, or that are silent, by outcome."}, []string{"outcome"}),
	}
	opts.Registry.MustRegister(t.cutOff, t.changes, t.probes)
	return t
}

// Record records a contact with an upstream of a service.
func (t *Tracker) Record(name string, u upstream.ID, c reachability.Contact) {
	now := t.opts.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	if s == nil {
		s = &service{view: reachability.NewView(t.opts.Reachability)}
		t.services[name] = s
	}
	s.view.Record(u, c, now)
}

// Status returns how this VM reaches the upstreams of a service.
func (t *Tracker) Status(name string) reachability.Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	if s == nil || s.view.AllReached() {
		return reachability.Status{}
	}
	return t.decide(name, s, t.opts.Usable(name))
}

// Unreached returns the upstreams of a service that can't be reached.
func (t *Tracker) Unreached(name string) []upstream.ID {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	if s == nil {
		return nil
	}
	return s.view.Unreached(t.opts.Clock.Now())
}

// decide decides whether the way to a service is lost, and notes a change. The caller holds
// mu.
func (t *Tracker) decide(name string, s *service, targets []Target) reachability.Status {
	now := t.opts.Clock.Now()
	status := s.view.Status(idsOf(targets), t.othersCutOff(name), now)
	if status.CutOff != s.cutOff {
		t.change(name, s, status, now)
	}
	if status.InDoubt && !s.inDoubt {
		t.changes.WithLabelValues(name, "doubted").Inc()
		t.opts.Log.Info("upstreams are silent; opening connections to them", "service", name, "silent", status.Silent,
			"unreached", status.Unreached, "usable", status.Usable, "since_contact_ms", status.SinceContact.Milliseconds())
	}
	s.inDoubt = status.InDoubt
	return status
}

// change notes that the way to a service was lost or regained. The caller holds mu.
func (t *Tracker) change(name string, s *service, status reachability.Status, now time.Time) {
	s.cutOff = status.CutOff
	if status.CutOff {
		s.since = now
		t.cutOff.WithLabelValues(name).Set(1)
		t.changes.WithLabelValues(name, "lost").Inc()
		t.opts.Log.Warn("upstreams out of reach", "service", name, "unreached", status.Unreached, "usable", status.Usable,
			"lost", status.Lost, "silent", status.Silent, "since_contact_ms", status.SinceContact.Milliseconds())
		return
	}
	t.cutOff.WithLabelValues(name).Set(0)
	t.changes.WithLabelValues(name, "regained").Inc()
	t.opts.Log.Info("upstreams within reach again", "service", name, "after_ms", now.Sub(s.since).Milliseconds())
	t.opts.OnRegained(name)
}

// othersCutOff reports whether the way to another service is lost. The caller holds mu.
func (t *Tracker) othersCutOff(name string) bool {
	for other, s := range t.services {
		if other != name && s.cutOff {
			return true
		}
	}
	return false
}

const (
	// ProbeInterval is the time between two steps of probing. After a probe that succeeds,
	// the next one follows at once.
	ProbeInterval = 200 * time.Millisecond
	// probeTimeout bounds a probe.
	probeTimeout = 400 * time.Millisecond
)

// Step probes the services that are cut off, or may be, all at the same time. It is to be called
// every ProbeInterval.
func (t *Tracker) Step(ctx context.Context) {
	var wg sync.WaitGroup
	cutOff, inDoubt := t.servicesToProbe()
	for _, name := range cutOff {
		wg.Go(func() { t.probeService(ctx, name) })
	}
	for _, target := range inDoubt {
		wg.Go(func() { t.probe(ctx, target.service, target.Target) })
	}
	wg.Wait()
}

// silentTarget is a silent upstream of a service.
type silentTarget struct {
	Target
	service string
}

// servicesToProbe returns the services that are cut off, and the silent upstreams of those that may
// be. It forgets upstreams that are not in use any more.
func (t *Tracker) servicesToProbe() (cutOff []string, inDoubt []silentTarget) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, s := range maps.All(t.services) {
		if s.view.AllReached() && !s.cutOff {
			continue
		}
		targets := t.opts.Usable(name)
		retain(s.view, targets)
		switch status := t.decide(name, s, targets); {
		case status.CutOff:
			cutOff = append(cutOff, name)
		case status.InDoubt:
			inDoubt = append(inDoubt, t.silentTargets(name, s.view, targets)...)
		}
	}
	return cutOff, inDoubt
}

// silentTargets returns silent upstreams of a service among the targets.
func (t *Tracker) silentTargets(name string, v *reachability.View, targets []Target) []silentTarget {
	var silent []silentTarget
	for _, id := range v.SilentAmong(idsOf(targets), t.opts.Clock.Now()) {
		i := slices.IndexFunc(targets, func(target Target) bool { return target.ID == id })
		silent = append(silent, silentTarget{Target: targets[i], service: name})
	}
	return silent
}

// probeService probes upstreams of a service until one is not reached, or the way is back.
func (t *Tracker) probeService(ctx context.Context, name string) {
	for ctx.Err() == nil {
		target, ok := t.nextProbe(name)
		if !ok || !t.probe(ctx, name, target) || !t.Status(name).CutOff {
			return
		}
	}
}

// probe connects to an upstream of a service and reports whether that succeeded.
func (t *Tracker) probe(ctx context.Context, name string, target Target) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if err := t.opts.Probe(ctx, target.Address); err != nil {
		t.probes.WithLabelValues("failed").Inc()
		t.Record(name, target.ID, reachability.NotConnected)
		return false
	}
	t.probes.WithLabelValues("connected").Inc()
	t.Record(name, target.ID, reachability.Connected)
	return true
}

// nextProbe returns the upstream of a service to probe next.
func (t *Tracker) nextProbe(name string) (Target, bool) {
	targets := t.opts.Usable(name)
	t.mu.Lock()
	defer t.mu.Unlock()
	id, ok := t.services[name].view.Probe(idsOf(targets), rand.Float64())
	if !ok {
		return Target{}, false
	}
	for _, target := range targets {
		if target.ID == id {
			return target, true
		}
	}
	return Target{}, false
}

// retain forgets the upstreams that are not among the targets.
func retain(v *reachability.View, targets []Target) {
	kept := make(map[upstream.ID]bool, len(targets))
	for _, target := range targets {
		kept[target.ID] = true
	}
	v.Retain(func(u upstream.ID) bool { return kept[u] })
}

func idsOf(targets []Target) []upstream.ID {
	ids := make([]upstream.ID, len(targets))
	for i, target := range targets {
		ids[i] = target.ID
	}
	return ids
}
