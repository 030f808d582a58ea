package quarantines

import "github.com/prometheus/client_golang/prometheus"

// metrics holds the guard's counters.
type metrics struct {
	lost     prometheus.Counter
	found    *prometheus.CounterVec
	excluded *prometheus.CounterVec
	// objections counts quarantines of other VMs that this one knew to be wrong.
	objections prometheus.Counter
	probes     *prometheus.CounterVec
	dropped    prometheus.Counter
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		lost: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "poplarshore_quarantine_lost_attempts_total", Help: "Attempts that ended with their connection."}),
		found: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "poplarshore_quarantine_found_total", Help: "Keys that this VM found to crash upstreams, by kind."}, []string{"kind"}),
		excluded: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "poplarshore_quarantine_excluded_total",
			Help: "Attempts that were not made because of a quarantine, or because a request is held back."}, []string{"state"}),
		objections: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "poplarshore_quarantine_objections_total", Help: "Quarantines lifted at once because this VM knew of a sound answer."}),
		probes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "poplarshore_quarantine_probes_total", Help: "Probes of quarantines by what became of them."}, []string{"outcome"}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "poplarshore_quarantine_reports_dropped_total", Help: "Reports to other VMs that were dropped because too many waited."}),
	}
	r.MustRegister(m.lost, m.found, m.excluded, m.objections, m.probes, m.dropped)
	return m
}
