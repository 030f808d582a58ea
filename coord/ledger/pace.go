package ledger

import "time"

// Pace decides when the open batch is sealed. A batch after a quiet time is
// sealed at once; under load one is sealed per interval, which follows the
// store's latency.
type Pace struct {
	// Factor times the mean persist latency is the interval aimed at. Default 2.
	Factor float64
	// MinInterval and MaxInterval bound the interval. Defaults 50 ms and 500 ms.
	MinInterval time.Duration
	MaxInterval time.Duration
	// Writers, if set, returns the number of writers that share the store. The
	// interval is then long enough for all of them to make at most GroupWrites
	// writes per second, whatever MaxInterval says. Default of GroupWrites: 200.
	Writers     func() int
	GroupWrites float64
}

const (
	defaultFactor      = 2
	defaultMinInterval = 50 * time.Millisecond
	defaultMaxInterval = 500 * time.Millisecond
	defaultGroupWrites = 200
	emaWeight          = 0.25 // weight of the newest latency in the mean
)

func (p Pace) withDefaults() Pace {
	if p.Factor <= 0 {
		p.Factor = defaultFactor
	}
	if p.MinInterval <= 0 {
		p.MinInterval = defaultMinInterval
	}
	if p.MaxInterval <= 0 {
		p.MaxInterval = defaultMaxInterval
	}
	if p.GroupWrites <= 0 {
		p.GroupWrites = defaultGroupWrites
	}
	p.MaxInterval = max(p.MaxInterval, p.MinInterval)
	return p
}

// Delay returns how long to go on collecting, given the mean persist latency
// and the time since the last seal.
func (p Pace) Delay(mean, sinceSeal time.Duration) time.Duration {
	interval := time.Duration(p.Factor * float64(mean))
	interval = min(max(interval, p.MinInterval), p.MaxInterval)
	return max(max(interval, p.share())-sinceSeal, 0)
}

// share returns the interval at which all writers together keep to GroupWrites.
func (p Pace) share() time.Duration {
	if p.Writers == nil {
		return 0
	}
	return time.Duration(float64(p.Writers()) / p.GroupWrites * float64(time.Second))
}

// average returns the exponential moving average after one more latency.
func average(mean, latency time.Duration) time.Duration {
	if mean == 0 {
		return latency
	}
	return mean + time.Duration(emaWeight*float64(latency-mean))
}
