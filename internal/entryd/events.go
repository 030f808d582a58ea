package entryd

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/coord/once"
)

// claimEvents counts the events of claims. It implements once.Observer.
type claimEvents struct {
	counter *prometheus.CounterVec
}

// OnceEvent implements once.Observer.
func (c claimEvents) OnceEvent(e once.Event) {
	c.counter.WithLabelValues(string(e)).Inc()
}
