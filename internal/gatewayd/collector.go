package gatewayd

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/retry"
)

var (
	upstreamsDesc = prometheus.NewDesc("poplarshore_gateway_upstreams",
		"Upstreams by service and state.", []string{"service", "state"}, nil)
	configDesc = prometheus.NewDesc("poplarshore_gateway_config_version",
		"Version of the configuration in force; 0 before the first.", nil, nil)
	readyDesc = prometheus.NewDesc("poplarshore_gateway_ready",
		"1 while the balancer is told to send callers here.", nil, nil)
	evacuatedDesc = prometheus.NewDesc("poplarshore_gateway_upstreams_evacuated",
		"Upstreams in evacuated failure domains by service.", []string{"service"}, nil)
	tableAgeDesc = prometheus.NewDesc("poplarshore_gateway_table_age_seconds",
		"Time since a table of the store was last read, directly or through another VM.", []string{"table"}, nil)
	copyAgeDesc = prometheus.NewDesc("poplarshore_gateway_copy_age_seconds",
		"Time since the store confirmed this VM's copy of a table, directly or through other VMs; missing while unknown.", []string{"table"}, nil)
	retryBudgetDesc = prometheus.NewDesc("poplarshore_gateway_retry_budget_attempts",
		"First attempts and additional ones in the window of the retry budget of a service, and those allowed beyond the ratio.",
		[]string{"service", "attempts"}, nil)
	dialsDesc = prometheus.NewDesc("poplarshore_gateway_upstream_dials_total",
		"Connections opened to upstreams.", nil, nil)
	keptDesc = prometheus.NewDesc("poplarshore_gateway_kept_bytes",
		"Bytes of responses and request bodies that are kept.", nil, nil)
	keepRefusedDesc = prometheus.NewDesc("poplarshore_gateway_keep_refused_total",
		"Parts of responses and request bodies for which there was no room, by the kind of the holder that had used up its share.",
		[]string{"holder"}, nil)
	idleClosedDesc = prometheus.NewDesc("poplarshore_gateway_stop_idle_closed_total",
		"Connections that a planned stop closed while they waited for a request.", nil, nil)
	crossedDesc = prometheus.NewDesc("poplarshore_gateway_stop_crossed_requests_total",
		"Requests that arrived on a connection that a planned stop had just closed as idle; they are refused with status 408, unread.", nil, nil)
)

// stateCollector exports the daemon's state as metrics.
type stateCollector struct {
	daemon *Daemon
}

// Describe implements prometheus.Collector.
func (c *stateCollector) Describe(ch chan<- *prometheus.Desc) {
	ch <- upstreamsDesc
	ch <- evacuatedDesc
	ch <- configDesc
	ch <- readyDesc
	ch <- tableAgeDesc
	ch <- copyAgeDesc
	ch <- retryBudgetDesc
	ch <- dialsDesc
	ch <- keptDesc
	ch <- keepRefusedDesc
	ch <- idleClosedDesc
	ch <- crossedDesc
}

// Collect implements prometheus.Collector.
func (c *stateCollector) Collect(ch chan<- prometheus.Metric) {
	d := c.daemon
	for key, n := range d.directory.Counts() {
		ch <- prometheus.MustNewConstMetric(upstreamsDesc, prometheus.GaugeValue, float64(n), key[0], key[1])
	}
	for service, n := range d.directory.EvacuatedCounts() {
		ch <- prometheus.MustNewConstMetric(evacuatedDesc, prometheus.GaugeValue, float64(n), service)
	}
	for _, table := range d.tables {
		if age, read := table.Age(); read {
			ch <- prometheus.MustNewConstMetric(tableAgeDesc, prometheus.GaugeValue, age.Seconds(), table.Table())
		}
		if age, known := table.CopyAge(); known {
			ch <- prometheus.MustNewConstMetric(copyAgeDesc, prometheus.GaugeValue, age.Seconds(), table.Table())
		}
	}
	version := 0.0
	if table := d.operatorSink.Table(); table != nil {
		version = float64(table.Version())
	}
	ch <- prometheus.MustNewConstMetric(configDesc, prometheus.GaugeValue, version)
	ready := 0.0
	if d.Ready() {
		ready = 1
	}
	ch <- prometheus.MustNewConstMetric(readyDesc, prometheus.GaugeValue, ready)
	ch <- prometheus.MustNewConstMetric(dialsDesc, prometheus.CounterValue, float64(d.pool.Dials()))
	for service, counts := range d.retryBudgets.Counts(retry.UpstreamScope, d.clock.Now()) {
		ch <- prometheus.MustNewConstMetric(retryBudgetDesc, prometheus.GaugeValue, float64(counts.First), service, "first")
		ch <- prometheus.MustNewConstMetric(retryBudgetDesc, prometheus.GaugeValue, float64(counts.Additional), service, "additional")
		ch <- prometheus.MustNewConstMetric(retryBudgetDesc, prometheus.GaugeValue, counts.Allowance.Slack, service, "slack")
	}
	usage := d.memory.Usage()
	ch <- prometheus.MustNewConstMetric(keptDesc, prometheus.GaugeValue, float64(usage.Bytes))
	for kind, n := range usage.Refused {
		ch <- prometheus.MustNewConstMetric(keepRefusedDesc, prometheus.CounterValue, float64(n), string(kind))
	}
	closed := d.closedIdle()
	ch <- prometheus.MustNewConstMetric(idleClosedDesc, prometheus.CounterValue, float64(closed.Connections))
	ch <- prometheus.MustNewConstMetric(crossedDesc, prometheus.CounterValue, float64(closed.Crossed))
}
