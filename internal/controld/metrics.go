package controld

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/coord/lease"
	"github.com/poplarshore/poplarshore/coord/once"
	"github.com/poplarshore/poplarshore/order"
	"github.com/poplarshore/poplarshore/rollout"
)

// jobMetrics are the metrics of the jobs and their leases. It implements
// lease.Observer, once.Observer and order.Observer.
type jobMetrics struct {
	leaseEvents        *prometheus.CounterVec
	orderEvents        *prometheus.CounterVec
	rolloutDecisions   *prometheus.CounterVec
	rolloutStalled     *prometheus.GaugeVec
	rolloutFailures    prometheus.Counter
	vmListFailures     prometheus.Counter
	settlementFailures prometheus.Counter
	settledSegments    prometheus.Counter
	claimEvents        *prometheus.CounterVec
	sweptClaims        prometheus.Counter
	sweepFailures      prometheus.Counter
	undecodableRows    prometheus.Counter
}

// newJobMetrics returns the metrics and registers them. It panics if they are
// registered already.
func newJobMetrics(reg prometheus.Registerer) *jobMetrics {
	counterVec := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "poplarshore", Subsystem: "control", Name: name, Help: help}, labels)
	}
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Namespace: "poplarshore", Subsystem: "control", Name: name, Help: help})
	}
	m := &jobMetrics{
		leaseEvents:      counterVec("lease_events_total", "Events of job leases, by kind.", "event"),
		orderEvents:      counterVec("order_events_total", "Events of orders to engines, by kind.", "event"),
		rolloutDecisions: counterVec("rollout_decisions_total", "Decisions on roll-outs, by kind and reason.", "kind", "reason"),
		rolloutStalled: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: "poplarshore", Subsystem: "control", Name: "rollout_stalled",
			Help: "1 while a roll-out has held for longer than it should.",
		}, []string{"rollout"}),
		rolloutFailures:    counter("rollout_store_failures_total", "Rounds of a roll-out that the store did not serve."),
		vmListFailures:     counter("vm_list_failures_total", "Reads of the list of VMs that failed."),
		settlementFailures: counter("settlement_failures_total", "Rounds of ledger settlement that failed."),
		claimEvents:        counterVec("claim_events_total", "Events of the sweep of claims, by kind.", "event"),
		sweptClaims:        counter("swept_claims_total", "Claims deleted past their retention."),
		sweepFailures:      counter("sweep_failures_total", "Pages of claims that the store did not serve."),
		undecodableRows:    counter("undecodable_rows_total", "Versions of rows that could not be decoded."),
		settledSegments:    counter("settled_segments_total", "Ledger segments folded into totals."),
	}
	reg.MustRegister(m.leaseEvents, m.orderEvents, m.rolloutDecisions, m.rolloutStalled, m.rolloutFailures, m.vmListFailures, m.settlementFailures, m.settledSegments, m.claimEvents, m.sweptClaims, m.sweepFailures, m.undecodableRows)
	return m
}

// LeaseEvent implements lease.Observer.
func (m *jobMetrics) LeaseEvent(_ string, e lease.Event) {
	m.leaseEvents.WithLabelValues(string(e)).Inc()
}

// OnceEvent implements once.Observer.
func (m *jobMetrics) OnceEvent(e once.Event) {
	m.claimEvents.WithLabelValues(string(e)).Inc()
}

// OrderEvent implements order.Observer.
func (m *jobMetrics) OrderEvent(e order.Event) {
	m.orderEvents.WithLabelValues(string(e)).Inc()
}

// recordDecision counts a decision on a roll-out and sets whether the roll-out is
// stalled.
func (m *jobMetrics) recordDecision(id rollout.ID, d rollout.Decision) {
	m.rolloutDecisions.WithLabelValues(string(d.Kind), string(d.Reason)).Inc()
	stalled := 0.0
	if d.Stalled {
		stalled = 1
	}
	m.rolloutStalled.WithLabelValues(string(id)).Set(stalled)
}
