package entryd

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/coord/once"
)

// claimObserver counts the events of claims on non-idempotent calls, by kind. It
// implements once.Observer.
type claimObserver struct {
	counter *prometheus.CounterVec
}

// OnceEvent implements once.Observer.
func (o claimObserver) OnceEvent(e once.Event) {
	o.counter.WithLabelValues(string(e)).Inc()
}
