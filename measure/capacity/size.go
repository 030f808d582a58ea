// Package capacity calculates what each role of the system costs at a large
// size, by extrapolation of measured series, and generates the tables of
// docs/CAPACITY.md.
package capacity

// Conversion factors.
const (
	secondsPerDay  = 86400
	secondsPerHour = 3600
	microsecond    = 1e-6
	kilobyte       = 1e3
	megabyte       = 1e6
	percent        = 100
)

// Size is a size of the system, with its load and its rate of changes.
type Size struct {
	Nodes             float64
	Engines           float64
	RequestsPerSecond float64
	TokensPerSecond   float64
	Versions          float64
	Regions           float64
	Domains           float64
	ChangesPerDay     float64
	FailuresPerDay    float64
	ReplacedPerDay    float64
	Accounts          float64
	// FirstToken is the time to first token and TokenGap the time between
	// tokens, in seconds.
	FirstToken, TokenGap float64
}

// FullSize returns the size that the system is designed for.
func FullSize() Size {
	return Size{
		Nodes: 2000, Engines: 10000, RequestsPerSecond: 42000, TokensPerSecond: 12e6, Versions: 26,
		Regions: 7, Domains: 18, ChangesPerDay: 11000, FailuresPerDay: 130, ReplacedPerDay: 1500, Accounts: 10, FirstToken: 0.47, TokenGap: 0.032,
	}
}

// OpenStreams returns the mean number of open streams on one node, if each has
// the mean number of tokens and the delays of FirstToken and TokenGap.
func (s Size) OpenStreams() float64 {
	seconds := s.FirstToken + s.TokensPerSecond/s.RequestsPerSecond*s.TokenGap
	return s.RequestsPerSecond / s.Nodes * seconds
}

// ChangesPerSecond returns the mean rate of accepted configuration changes.
func (s Size) ChangesPerSecond() float64 { return s.ChangesPerDay / secondsPerDay }

// Limits are the maximum costs of the control plane.
type Limits struct {
	// CPU is the fraction of one core per node.
	CPU float64
	// Memory is in bytes per node.
	Memory float64
	// Bytes is the sum of bytes sent and received, per node and second.
	Bytes float64
	// StoreReads and StoreWrites are per second, for all nodes together.
	StoreReads, StoreWrites float64
	// InForce is the time in seconds from the acceptance of a configuration until
	// it is in force on all nodes.
	InForce float64
}

// FullLimits returns the limits at FullSize. The store accepts several hundred
// writes per second, of which 300 are assumed to be usable.
func FullLimits() Limits {
	return Limits{CPU: 0.034, Memory: 256 * megabyte, Bytes: 23 * kilobyte, StoreReads: 2000, StoreWrites: 300, InForce: 6}
}

// Cost is the cost of one mechanism.
type Cost struct {
	// CPU is the fraction of one core on each node that runs the mechanism.
	CPU float64
	// Memory is in bytes on each of these nodes.
	Memory float64
	// Bytes and Messages are sent and received per second on each of these nodes.
	Bytes, Messages float64
	// StoreReads and StoreWrites are per second, for all nodes together.
	StoreReads, StoreWrites float64
}

func (c Cost) plus(d Cost) Cost {
	return Cost{
		CPU: c.CPU + d.CPU, Memory: c.Memory + d.Memory, Bytes: c.Bytes + d.Bytes, Messages: c.Messages + d.Messages,
		StoreReads: c.StoreReads + d.StoreReads, StoreWrites: c.StoreWrites + d.StoreWrites,
	}
}
