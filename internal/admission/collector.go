package admission

import "github.com/prometheus/client_golang/prometheus"

var gateDesc = prometheus.NewDesc("poplarshore_admission_gate",
	"Requests in flight and waiting, and the limit on those in flight, 0 for none, by service.", []string{"service", "number"}, nil)

// collector reads the numbers of the gates.
type collector struct{ services *Services }

// Describe implements prometheus.Collector.
func (c *collector) Describe(ch chan<- *prometheus.Desc) { ch <- gateDesc }

// Collect implements prometheus.Collector.
func (c *collector) Collect(ch chan<- prometheus.Metric) {
	s := c.services
	s.mu.RLock()
	defer s.mu.RUnlock()
	for service, known := range s.services {
		stats := known.gate.Stats()
		send := func(number string, value float64) {
			ch <- prometheus.MustNewConstMetric(gateDesc, prometheus.GaugeValue, value, service, number)
		}
		send("in_flight", float64(stats.InFlight))
		send("waiting", float64(stats.Waiting))
		send("limit", stats.Limit)
	}
}
