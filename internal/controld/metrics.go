package controld

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/coord/lease"
	"github.com/poplarshore/poplarshore/coord/once"
	"github.com/poplarshore/poplarshore/order"
	"github.com/poplarshore/poplarshore/rollout"
)

// counters are the counters of the jobs.
type counters struct {
	leases        *prometheus.CounterVec
	orders        *prometheus.CounterVec
	decisions     *prometheus.CounterVec
	stalled       *prometheus.GaugeVec
	rolloutFailed prometheus.Counter
	listFailed    prometheus.Counter
	settleFailed  prometheus.Counter
	settled       prometheus.Counter
	claims        *prometheus.CounterVec
	swept         prometheus.Counter
	sweepFailed   prometheus.Counter
}

func newCounters(reg prometheus.Registerer) *counters {
	vec := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "poplarshore", Subsystem: "control", Name: name, Help: help}, labels)
	}
	one := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Namespace: "poplarshore", Subsystem: "control", Name: name, Help: help})
	}
	m := &counters{
		leases:    vec("lease_events_total", "Events of job leases, by kind.", "event"),
		orders:    vec("order_events_total", "Events of orders to engines, by kind.", "event"),
		decisions: vec("rollout_decisions_total", "Decisions on roll-outs, by kind and reason.", "kind", "reason"),
		stalled: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: "poplarshore", Subsystem: "control", Name: "rollout_stalled",
			Help: "1 while a roll-out has held for longer than it should.",
		}, []string{"rollout"}),
		rolloutFailed: one("rollout_store_failures_total", "Rounds of a roll-out that the store did not serve."),
		listFailed:    one("vm_list_failures_total", "Reads of the list of VMs that failed."),
		settleFailed:  one("settlement_failures_total", "Rounds of ledger settlement that failed."),
		claims:        vec("claim_events_total", "Events of the sweep of claims, by kind.", "event"),
		swept:         one("swept_claims_total", "Claims deleted past their retention."),
		sweepFailed:   one("sweep_failures_total", "Pages of claims that the store did not serve."),
		settled:       one("settled_segments_total", "Ledger segments folded into totals."),
	}
	reg.MustRegister(m.leases, m.orders, m.decisions, m.stalled, m.rolloutFailed, m.listFailed, m.settleFailed, m.settled, m.claims, m.swept, m.sweepFailed)
	return m
}

// LeaseEvent implements lease.Observer.
func (m *counters) LeaseEvent(_ string, e lease.Event) {
	m.leases.WithLabelValues(string(e)).Inc()
}

// OnceEvent implements once.Observer.
func (m *counters) OnceEvent(e once.Event) {
	m.claims.WithLabelValues(string(e)).Inc()
}

// OrderEvent implements order.Observer.
func (m *counters) OrderEvent(e order.Event) {
	m.orders.WithLabelValues(string(e)).Inc()
}

func (m *counters) decision(id rollout.ID, d rollout.Decision) {
	m.decisions.WithLabelValues(string(d.Kind), string(d.Reason)).Inc()
	stalled := 0.0
	if d.Stalled {
		stalled = 1
	}
	m.stalled.WithLabelValues(string(id)).Set(stalled)
}
