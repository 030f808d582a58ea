package ledger

import "time"

// BatchPolicy decides when a Writer seals the open batch and starts to commit it. A batch that opens
// longer than one interval after the last seal is sealed at once, so that a single request isn't
// delayed; under load one batch is sealed per interval. The interval follows the store's latency. In
// WriterOptions, zero fields have the defaults below.
type BatchPolicy struct {
	// LatencyFactor times the mean latency of a commit is the target interval. Default 2.
	LatencyFactor float64
	// MinInterval and MaxInterval bound the interval. Defaults 50 ms and 500 ms.
	MinInterval time.Duration
	MaxInterval time.Duration
	// WriterCount, if set, returns the number of writers that share the store, this one included. The
	// interval is then long enough, even beyond MaxInterval, that all of them together make at most
	// MaxWritesPerSecond writes. It must not block: the Writer calls it with a lock held.
	WriterCount func() int
	// MaxWritesPerSecond is the limit for all writers together; it has no effect unless WriterCount is
	// set. Default 200.
	MaxWritesPerSecond float64
}

// Defaults of BatchPolicy, and the weight of the moving average of the commit latency.
const (
	defaultLatencyFactor      = 2
	defaultMinInterval        = 50 * time.Millisecond
	defaultMaxInterval        = 500 * time.Millisecond
	defaultMaxWritesPerSecond = 200
	latencyWeight             = 0.25 // weight of the newest latency in the mean
)

func (p BatchPolicy) withDefaults() BatchPolicy {
	if p.LatencyFactor <= 0 {
		p.LatencyFactor = defaultLatencyFactor
	}
	if p.MinInterval <= 0 {
		p.MinInterval = defaultMinInterval
	}
	if p.MaxInterval <= 0 {
		p.MaxInterval = defaultMaxInterval
	}
	if p.MaxWritesPerSecond <= 0 {
		p.MaxWritesPerSecond = defaultMaxWritesPerSecond
	}
	p.MaxInterval = max(p.MaxInterval, p.MinInterval)
	return p
}

// Delay returns how much longer to collect entries, given the mean commit latency and the time since
// the last seal. Zero means that the batch is due. It applies no defaults: p must have its fields
// set, as in a Writer.
func (p BatchPolicy) Delay(mean, sinceSeal time.Duration) time.Duration {
	interval := time.Duration(p.LatencyFactor * float64(mean))
	interval = min(max(interval, p.MinInterval), p.MaxInterval)
	return max(max(interval, p.groupInterval())-sinceSeal, 0)
}

// groupInterval returns the interval at which all writers together make MaxWritesPerSecond writes,
// or 0 if WriterCount is not set.
func (p BatchPolicy) groupInterval() time.Duration {
	if p.WriterCount == nil {
		return 0
	}
	return time.Duration(float64(p.WriterCount()) / p.MaxWritesPerSecond * float64(time.Second))
}

// updateMean returns the exponentially weighted moving average after one more latency.
func updateMean(mean, latency time.Duration) time.Duration {
	if mean == 0 {
		return latency
	}
	return mean + time.Duration(latencyWeight*float64(latency-mean))
}
